"""Structured logs: one JSON object a line, each with the prefix of its part."""

from __future__ import annotations

import json
import sys
from collections import deque
from collections.abc import MutableMapping
from typing import Any, TextIO

import gevent
import gevent.os as gevent_os
import structlog

# Bounds the memory of a process whose output is not read: some thousand lines.
MAX_BUFFERED_CHARACTERS = 1_000_000
# Joins the lines of a moment into one system call.
WRITE_PAUSE_S = 0.1


def _add_prefix(
    _logger: Any, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    part = event.pop("part", "main")
    event["event"] = f"{part}: {event['event']}"
    return event


class BoundedStream:
    """Buffer log lines and write them from a task of their own, so that no caller waits.

    Lines beyond ``MAX_BUFFERED_CHARACTERS`` are dropped and counted; the count is logged.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: deque[str] = deque()
        self.buffered = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Take one line."""
        if self.buffered + len(text) > MAX_BUFFERED_CHARACTERS:
            self.dropped += 1
            return
        self.lines.append(text)
        self.buffered += len(text)

    def flush(self) -> None:
        """Do nothing: ``run`` writes."""

    def run(self) -> None:
        """Write for ever."""
        gevent_os.make_nonblocking(self.descriptor)
        while True:
            gevent.sleep(WRITE_PAUSE_S)
            self.write_out()

    def write_out(self) -> None:
        """Write what is buffered, waiting for the reader of the output if it is slow."""
        if self.dropped:
            line = {"event": "logs: lines dropped", "level": "warning", "lines": self.dropped}
            self.lines.append(json.dumps(line) + "\n")
            self.dropped = 0
        data = "".join(self.lines).encode()
        self.lines.clear()
        self.buffered = 0
        while data:
            data = data[gevent_os.nb_write(self.descriptor, data) :]


def configure_logs(stream: TextIO | BoundedStream | None = None, node: str = "") -> None:
    """Send log lines as JSON to ``stream``, standard error by default; each names the node."""

    def add_node(
        _logger: Any, _method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        if node:
            event["node"] = node
        return event

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _add_prefix,
            add_node,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )


def logger(part: str) -> Any:
    """Return a logger whose sentences start with ``part``."""
    return structlog.get_logger(part=part)
