"""Polling of the cache and load reports of the agent's engine, once per second."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs

from ..clock import Clock
from ..config.spec import Address
from ..http_client import ConnectionPool, ExchangeError
from ..malformed import MALFORMED, load_json
from ..prefixes.view import CacheEventPage, parse_event_page
from .upstream import EngineUpstream

INTERVAL_MS = 1000
TIMEOUT_MS = 2_000


@attrs.frozen
class EngineLoad:
    """Hold the load of an engine and how long ago the engine measured it."""

    running: int
    waiting: int
    measured_ms_ago: int


@attrs.frozen
class EngineReport:
    """Hold the engine's cache events and load; None for a report that is unavailable."""

    cache: CacheEventPage | None
    load: EngineLoad | None


def parse_load(answer: Any) -> EngineLoad | None:
    """Parse an engine's load report; return None if it is invalid."""
    try:
        values = [int(answer[name]) for name in ("running", "waiting", "measured_ms_ago")]
    except (TypeError, KeyError, ValueError):
        return None
    return EngineLoad(*values) if min(values) >= 0 else None


@attrs.define
class EngineReportReader:
    """Poll the engine's reports and pass them to the agent's core.

    An engine may lack these reports; its requests are then placed without them.
    """

    upstream: EngineUpstream
    clock: Clock
    log: Any
    on_report: Callable[[EngineReport], None]
    # Sequence number of the newest cache event that was read.
    sequence: int = 0
    load: EngineLoad | None = None
    failing_paths: set[str] = attrs.field(factory=set)
    pool: ConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.pool = ConnectionPool(self.clock)

    def run(self) -> None:
        """Poll the reports until the greenlet is killed."""
        while True:
            self.on_report(self.read())
            self.clock.sleep_ms(INTERVAL_MS)

    def read(self) -> EngineReport:
        """Fetch the current reports and the cache events since the last call."""
        answer = self._get(f"/cache/events?after={self.sequence}")
        page = parse_event_page(answer).value_or(None)
        if page is not None:
            self.sequence = page.last
        return EngineReport(page, self._read_load())

    def _read_load(self) -> EngineLoad | None:
        """Return the load that two consecutive reports agree on.

        Requests wait briefly while an engine forms a batch. A concurrency limit that is lowered
        because of them takes a minute to recover.
        """
        previous, current = self.load, parse_load(self._get("/load"))
        self.load = current
        if previous is None or current is None:
            return None
        running, waiting = max(previous.running, current.running), min(
            previous.waiting, current.waiting
        )
        return EngineLoad(running, waiting, current.measured_ms_ago)

    def _get(self, path: str) -> Any:
        """Return the parsed JSON answer, or None if the request failed."""
        address = Address(self.upstream.host, self.upstream.port)
        try:
            head, body = self.pool.ask(address, "GET", path, (), b"", TIMEOUT_MS)
            answer = load_json(body) if head.status == HTTPStatus.OK else None
        except (ExchangeError, *MALFORMED) as error:
            self._log_first_failure(path, repr(error))
            return None
        self._log_first_failure(path, "" if answer is not None else f"status {head.status}")
        return answer

    def _log_first_failure(self, path: str, fault: str) -> None:
        """Log only the first of consecutive failures of a path; an empty ``fault`` is a success."""
        report = path.partition("?")[0]
        if not fault:
            self.failing_paths.discard(report)
        elif report not in self.failing_paths:
            self.failing_paths.add(report)
            self.log.info("engine report unavailable", path=report, reason=fault)
