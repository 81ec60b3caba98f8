"""Reports of the engine beside the agent, read once a second."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import attrs
from geventhttpclient import HTTPClient

from ..clock import Clock
from ..prefixes.view import CachePage, parse_page
from .upstream import EngineUpstream

PERIOD_MS = 1000
TIMEOUT_S = 2.0


@attrs.frozen
class EngineReport:
    """Report what the engine said of its cache; none where it did not say."""

    cache: CachePage | None


@attrs.define
class EngineReports:
    """Read the engine's reports and hand them to the agent's core.

    An engine without these reports is only asked in vain: placement then works without them.
    """

    upstream: EngineUpstream
    clock: Clock
    log: Any
    on_report: Callable[[EngineReport], None]
    # The newest cache event that was read.
    sequence: int = 0
    answering: bool = True
    client: HTTPClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.client = HTTPClient(
            self.upstream.host,
            self.upstream.port,
            concurrency=1,
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )

    def run(self) -> None:
        """Read until the greenlet is killed."""
        while True:
            self.on_report(self.read())
            self.clock.sleep_ms(PERIOD_MS)

    def read(self) -> EngineReport:
        """Read what the engine reports now."""
        answer = self._get(f"/cache/events?after={self.sequence}")
        page = parse_page(answer).value_or(None)
        if page is not None:
            self.sequence = page.last
        return EngineReport(page)

    def _get(self, path: str) -> Any:
        """Return the JSON answer, none if there is no usable one."""
        try:
            response = self.client.get(path)
            body = response.read()
            answer = json.loads(body) if response.status_code == 200 else None
        except Exception as error:  # the client raises parser, socket and time-out types of its own
            self.client.close()
            self._note(path, repr(error))
            return None
        self._note(path, "" if answer is not None else f"status {response.status_code}")
        return answer

    def _note(self, path: str, fault: str) -> None:
        if fault and self.answering:
            self.log.info("engine does not report", path=path, reason=fault)
        self.answering = not fault
