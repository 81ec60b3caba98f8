"""Batches: submissions whose items run later and whose results keep their positions."""
