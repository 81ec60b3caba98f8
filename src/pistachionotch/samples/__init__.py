"""Samples of training steps: version labels, staleness, step ledger, delivery and step policy."""
