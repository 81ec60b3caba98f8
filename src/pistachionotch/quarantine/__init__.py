"""Requests under which upstreams crashed: suspicion, trial and condemnation."""
