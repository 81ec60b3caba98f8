"""The agent, which admits, runs and reports all calls to one upstream."""
