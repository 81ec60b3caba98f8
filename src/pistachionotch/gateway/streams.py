"""Streams to clients: events are passed on as they come, and a broken stream goes on elsewhere."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import attrs

from ..clock import Clock
from ..http_client import ExchangeError
from .exchange import Exchange, UpstreamClient
from .upstream_protocol import UpstreamProtocol

# Wait of a stream's next event, until its server counts as silent.
EVENT_TIMEOUT_MS = 4_000
# The same if another server may go on with the stream; clients wait two seconds at least.
RESUMABLE_EVENT_TIMEOUT_MS = 1_000

# Opens the stream at another server after an event; None if no server is left.
ResumeStream = Callable[[int | None], Exchange | None]


@attrs.define
class StreamRelay:
    """Pass one stream on."""

    clock: Clock
    client: UpstreamClient
    protocol: UpstreamProtocol
    log: Any
    request_id: str
    # Number of the last event that was passed on as a whole.
    last: int | None
    # None if the stream must not go on at another server.
    resume: ResumeStream | None

    def chunks(self, exchange: Exchange) -> Iterator[bytes]:
        """Yield the bytes of the stream; raises ``ExchangeError`` if it breaks for good."""
        current: Exchange | None = exchange
        try:
            while current is not None:
                try:
                    yield from self._events(current)
                    return
                except (ExchangeError, ValueError) as error:
                    self._close(current)
                    broken, current = current, None
                    current = self._resume_elsewhere(broken, error)
        finally:
            if current is not None:
                self._close(current)

    def _events(self, exchange: Exchange) -> Iterator[bytes]:
        reader = self.protocol.event_reader()
        least_ms = EVENT_TIMEOUT_MS if self.resume is None else RESUMABLE_EVENT_TIMEOUT_MS
        patience_ms = exchange.upstream.event_timeout_ms(least_ms)
        rest = b""
        waiting_since_ms = self.clock.now_ms()
        while True:
            # Bytes that complete no event do not extend the wait.
            left_ms = waiting_since_ms + patience_ms - self.clock.now_ms()
            if left_ms <= 0:
                raise ExchangeError(f"no event for {patience_ms} ms", sent=True)
            part = exchange.connection.read_part(left_ms)
            if not part:
                break
            for event in reader.feed(part):
                self.last = event.number
                waiting_since_ms = self.clock.now_ms()
            # A server may break off within an event, which another one then sends as a whole.
            held = len(reader.incomplete) if self.resume is not None else 0
            text = rest + part
            rest = text[len(text) - held :]
            if len(text) > held:
                yield text[: len(text) - held]
        if rest:
            yield rest
        self.client.release(exchange)
        self.log.info("stream ended", request=self.request_id, last_event=self.last)

    def _close(self, exchange: Exchange) -> None:
        if not exchange.connection.body_ended:
            exchange.connection.close()
        exchange.upstream.in_flight -= 1

    def _resume_elsewhere(self, broken: Exchange, error: Exception) -> Exchange:
        broken.upstream.record_failure(self.clock.now_ms())
        found = self.resume(self.last) if self.resume is not None else None
        self.log.warning(
            "stream broken",
            request=self.request_id,
            upstream=broken.upstream.record.instance,
            reason=str(error),
            last_event=self.last,
            goes_on_at=found.upstream.record.instance if found is not None else "",
        )
        if found is None:
            raise ExchangeError(str(error), sent=True) from error
        return found
