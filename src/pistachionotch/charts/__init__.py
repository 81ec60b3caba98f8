"""Statecharts in JSON files, and their interpreter, which uses sismic."""
