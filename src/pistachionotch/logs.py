"""Structured logs: one JSON object a line, each with the prefix of its part."""

from __future__ import annotations

import sys
from collections.abc import MutableMapping
from typing import Any, TextIO

import structlog


def _add_prefix(
    _logger: Any, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    part = event.pop("part", "main")
    event["event"] = f"{part}: {event['event']}"
    return event


def configure_logs(stream: TextIO | None = None) -> None:
    """Send log lines as JSON to ``stream``, standard error by default."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _add_prefix,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )


def logger(part: str) -> Any:
    """Return a logger whose sentences start with ``part``."""
    return structlog.get_logger(part=part)
