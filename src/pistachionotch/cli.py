"""Command line of pistachionotch."""

from __future__ import annotations


def run() -> None:
    """Run the command that the arguments name."""
    raise SystemExit("no command is built yet")
