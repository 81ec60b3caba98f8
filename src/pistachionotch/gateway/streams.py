"""Relay of event streams to clients, with resumption of broken streams at another upstream."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import attrs

from ..clock import Clock
from ..http_client import ExchangeError
from .exchange import Exchange, UpstreamClient
from .upstream_protocol import UpstreamProtocol, check_sequence
from .upstreams import Upstream

# Timeout for the next event of a stream that can't be resumed at another upstream.
EVENT_TIMEOUT_MS = 4_000
# Timeout for the next event of a resumable stream; clients wait at least 2 s for an event.
RESUMABLE_EVENT_TIMEOUT_MS = 1_000

# Reopens a stream that broke at an upstream with an error, after the given event; returns None if
# no upstream is left.
ResumeStream = Callable[[Upstream, Exception, int | None], Exchange | None]


@attrs.define
class StreamRelay:
    """Relays one event stream to its client."""

    clock: Clock
    client: UpstreamClient
    protocol: UpstreamProtocol
    log: Any
    request_id: str
    # Number of the last event that was received completely.
    last: int | None
    resume: ResumeStream
    # Whether the stream may go on at another upstream.
    resumable: bool
    # Called with the upstream that brings the first event, before it is sent to the client.
    begun: Callable[[Upstream], None] = lambda _upstream: None
    # Called when the stream has ended as a whole.
    ended: Callable[[], None] = lambda: None
    has_begun: bool = False

    def chunks(self, exchange: Exchange) -> Iterator[bytes]:
        """Yield the bytes of the stream; raises ``ExchangeError`` if it can't be resumed."""
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
        least_ms = RESUMABLE_EVENT_TIMEOUT_MS if self.resumable else EVENT_TIMEOUT_MS
        patience_ms = exchange.upstream.event_timeout_ms(least_ms)
        rest = b""
        waiting_since_ms = self.clock.now_ms()
        while True:
            # Bytes that don't complete an event don't extend the timeout.
            left_ms = waiting_since_ms + patience_ms - self.clock.now_ms()
            if left_ms <= 0:
                raise ExchangeError(f"no event for {patience_ms} ms", sent=True)
            part = exchange.connection.read_part(left_ms)
            if not part:
                break
            events = reader.feed(part)
            self.last = check_sequence(self.last, events)
            if events:
                waiting_since_ms = self.clock.now_ms()
                if not self.has_begun:
                    self.has_begun = True
                    self.begun(exchange.upstream)
            # If the connection breaks within an event, another upstream resends that whole event.
            held = len(reader.incomplete)
            text = rest + part
            rest = text[len(text) - held :]
            if len(text) > held:
                yield text[: len(text) - held]
        if rest:
            raise ExchangeError("the stream ends within an event", sent=True)
        self.client.release(exchange)
        self.ended()
        self.log.info("stream ended", request=self.request_id, last_event=self.last)

    def _close(self, exchange: Exchange) -> None:
        if not exchange.connection.body_ended:
            exchange.connection.close()
        exchange.upstream.in_flight -= 1

    def _resume_elsewhere(self, broken: Exchange, error: Exception) -> Exchange:
        broken.upstream.record_failure(self.clock.now_ms())
        found = self.resume(broken.upstream, error, self.last)
        self.log.warning(
            "stream broken",
            request=self.request_id,
            upstream=broken.upstream.record.instance,
            software=broken.upstream.record.software,
            reason=str(error),
            last_event=self.last,
            goes_on_at=found.upstream.record.instance if found is not None else "",
            goes_on_with=found.upstream.record.software if found is not None else "",
        )
        if found is None:
            raise ExchangeError(str(error), sent=True) from error
        return found
