"""Tracking of the prompt prefixes that engines have cached; performs no I/O."""
