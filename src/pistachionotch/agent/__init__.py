"""Agent: the only path to one upstream."""
