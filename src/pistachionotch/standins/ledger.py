"""Run ledgers that outlive the process of a stand-in."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable
from typing import Any

Recorder = Callable[[dict[str, Any]], None]


def discard_record(_fields: dict[str, Any]) -> None:
    """Drop a record, for stand-ins that are never killed."""


def file_recorder(path: str) -> Recorder:
    """Return a function that appends one JSON line with the time to a file.

    Each record is one unbuffered write, so a kill loses no record that was made before it. The
    monotonic clock is the same for all processes of the machine.
    """
    file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)

    def record(fields: dict[str, Any]) -> None:
        line = json.dumps({"at": time.monotonic(), **fields})
        os.write(file, line.encode() + b"\n")

    return record


def read_ledger(path: str) -> list[dict[str, Any]]:
    """Return all records of a ledger file, or none if nothing was recorded."""
    if not os.path.exists(path):
        return []
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file]
