"""Leases with fencing numbers, kept in the object API."""
