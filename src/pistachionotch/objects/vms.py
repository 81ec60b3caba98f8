"""Client of the platform's VM list, which lags behind the actual state."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

import attrs
from gevent.lock import BoundedSemaphore

from ..clock import Clock, SystemClock
from ..config.spec import Address
from ..http_client import ConnectionPool, ExchangeError
from ..http_reads import read_kept
from ..malformed import MALFORMED, load_json
from ..membership.directory import MemberState

CONNECT_TIMEOUT_MS = 1_000
RESPONSE_TIMEOUT_MS = 3_000
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
    pool: ConnectionPool = attrs.field(factory=lambda: ConnectionPool(SystemClock()))
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
            except (ExchangeError, OSError, *MALFORMED):
                states = None
            self.last_read_ms = now_ms
            if states is None:
                # The failure counts from now, so that callers waiting for the lock reuse it instead
                # of each running into the same timeout in turn.
                self.last_read_ms = self.clock.now_ms()
                self.etag = ""
                address = Address(self.host, self.port)
                self.pool.forget(address, str(address))
            self.states = states
            return states

    def _fetch(self) -> dict[str, MemberState] | None:
        headers = [("If-None-Match", self.etag)] if self.etag else []
        address = Address(self.host, self.port)
        head, text = read_kept(
            self.pool, address, "/vms", headers, CONNECT_TIMEOUT_MS, RESPONSE_TIMEOUT_MS
        )
        if head.status == HTTPStatus.NOT_MODIFIED:
            return self.states
        if head.status != HTTPStatus.OK:
            return None
        items = load_json(text)
        self.etag = head.get("etag")
        return {str(item["name"]): MemberState(item["state"]) for item in items}
