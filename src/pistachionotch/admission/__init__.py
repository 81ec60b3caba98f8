"""Admission to one upstream: its queue, its concurrency limit and the load it reports."""
