"""Structured logging: one JSON object per line, each prefixed with its component."""

from __future__ import annotations

import json
import sys
from collections import deque
from collections.abc import MutableMapping
from typing import Any, TextIO

import gevent
import gevent.os as gevent_os
import structlog

# Limits memory use when nobody reads the output; enough for a few thousand lines.
MAX_BUFFERED_CHARACTERS = 1_000_000
# Lines logged within this interval are written with one system call.
FLUSH_INTERVAL_S = 0.1


def _add_prefix(
    _logger: Any, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    part = event.pop("part", "main")
    event["event"] = f"{part}: {event['event']}"
    return event


class BoundedStream:
    """A buffer for log lines that a separate task writes, so that logging never blocks.

    Lines beyond ``MAX_BUFFERED_CHARACTERS`` are dropped and counted; the count is logged.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: deque[str] = deque()
        self.buffered = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Buffer one line, or drop it if the buffer is full."""
        if self.buffered + len(text) > MAX_BUFFERED_CHARACTERS:
            self.dropped += 1
            return
        self.lines.append(text)
        self.buffered += len(text)

    def flush(self) -> None:
        """Do nothing; ``run`` writes the buffer."""

    def run(self) -> None:
        """Write the buffered lines at regular intervals, without end."""
        gevent_os.make_nonblocking(self.descriptor)
        while True:
            gevent.sleep(FLUSH_INTERVAL_S)
            self.write_out()

    def write_out(self) -> None:
        """Write all buffered lines, waiting if the reader of the output is slow."""
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
    """Send log lines as JSON to ``stream``, standard error by default, with the node name."""

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
    """Return a logger whose messages are prefixed with ``part``."""
    return structlog.get_logger(part=part)
