"""Client of the platform's VM list, which lags behind the actual state."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

import attrs
from gevent.lock import BoundedSemaphore
from geventhttpclient import HTTPClient

from ..clock import Clock, SystemClock
from ..malformed import load_json
from ..membership.directory import MemberState

CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 3.0
# Small compared with the lag of the list itself and with the 3 s limit for a leaving VM.
MAX_AGE_MS = 500


class VmList(Protocol):
    """Interface that reads the states of VMs by node name."""

    def read(self) -> dict[str, MemberState] | None:
        """Return the states, or None if the list cannot be read now."""


@attrs.define
class HttpVmList:
    """HTTP client of the VM list; sends the ``ETag`` so that only a changed list is transferred.

    With 1,100 VMs, transferring the whole list every second would take about 90 KB/s.
    """

    host: str
    port: int
    clock: Clock = attrs.field(factory=SystemClock)
    etag: str = ""
    states: dict[str, MemberState] | None = None
    last_read_ms: int | None = None
    client: HTTPClient | None = None
    read_lock: BoundedSemaphore = attrs.field(factory=BoundedSemaphore)

    def read(self) -> dict[str, MemberState] | None:
        """Return the states, or None if the list cannot be read now."""
        # The duties of several zones share a read; callers during a read wait for its result.
        with self.read_lock:
            now_ms = self.clock.now_ms()
            if self.last_read_ms is not None and now_ms - self.last_read_ms < MAX_AGE_MS:
                return self.states
            try:
                states = self._fetch()
            except Exception:  # the client raises its own parser, socket and timeout errors
                states = None
            self.last_read_ms = now_ms
            if states is None:
                # The failure counts from now, so that callers waiting for the lock reuse it instead
                # of each running into the same timeout in turn.
                self.last_read_ms = self.clock.now_ms()
                self.etag = ""
                self._close_connection()
            self.states = states
            return states

    def _fetch(self) -> dict[str, MemberState] | None:
        if self.client is None:
            self.client = HTTPClient(
                self.host,
                self.port,
                concurrency=1,
                connection_timeout=CONNECT_TIMEOUT_S,
                network_timeout=RESPONSE_TIMEOUT_S,
            )
        headers = {"If-None-Match": self.etag} if self.etag else {}
        response = self.client.get("/vms", headers)
        text = response.read()
        if response.status_code == HTTPStatus.NOT_MODIFIED:
            return self.states
        if response.status_code != HTTPStatus.OK:
            return None
        items = load_json(text)
        self.etag = str(response.get("etag") or "")
        return {str(item["name"]): MemberState(item["state"]) for item in items}

    def _close_connection(self) -> None:
        if self.client is not None:
            self.client.close()
        self.client = None
