"""Ledger files that record what a stand-in ran and outlive its process."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable
from typing import Any

Recorder = Callable[[dict[str, Any]], None]


def discard_record(_fields: dict[str, Any]) -> None:
    """Discard a record; for stand-ins whose process is never killed."""


def file_recorder(path: str) -> Recorder:
    """Return a function that appends a record and its time to a file as one JSON line.

    Each record is one unbuffered write, so killing the process loses no earlier record. Times of
    several processes can be compared, because a machine's processes share the monotonic clock.
    """
    file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)

    def record(fields: dict[str, Any]) -> None:
        line = json.dumps({"at": time.monotonic(), **fields})
        os.write(file, line.encode() + b"\n")

    return record


def read_ledger(path: str) -> list[dict[str, Any]]:
    """Return all records of a ledger file; a missing file has none."""
    if not os.path.exists(path):
        return []
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file]
