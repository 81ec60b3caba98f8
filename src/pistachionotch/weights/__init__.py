"""Decisions on weights: publishing, roll-out waves, and the order gate at the agent."""
