"""Admission control of one upstream: its queue, concurrency limit and load report."""
