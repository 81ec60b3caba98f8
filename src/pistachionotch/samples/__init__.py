"""Decisions on samples: version labels, staleness, the step ledger, delivery and step policy."""
