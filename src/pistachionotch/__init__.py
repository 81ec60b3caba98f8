"""Rollout service for reinforcement learning whose callers send their work late."""

__version__ = "0.1.0"
