"""Stand-ins for external systems, for the demo and tests."""
