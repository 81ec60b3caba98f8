"""Placement, retries and hedges, decided from facts and their age."""
