"""Reading of the bodies of upstreams' responses until the deadline of their call."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from ..clock import Clock
from ..http_client import ExchangeError
from .call_progress import CallProgress
from .exchange import Exchange, UpstreamClient
from .upstreams import Upstream

# Larger bodies are streamed to the client, which rules out a retry.
MAX_BUFFERED_BYTES = 1024 * 1024


@attrs.frozen
class ResponseBodies:
    """Reads bodies, into memory up to a limit and part by part beyond it."""

    clock: Clock
    client: UpstreamClient
    # Called with the content of a call whose body is complete.
    record_success: Callable[[str], None]
    record_failure: Callable[[CallProgress, Upstream, ExchangeError], None]

    def read_buffered(self, progress: CallProgress, exchange: Exchange) -> bytes:
        """Return the body, or its beginning if it exceeds the buffer limit."""
        parts = []
        size = 0
        while size < MAX_BUFFERED_BYTES:
            part = exchange.connection.read_part(progress.deadline_ms - self.clock.now_ms())
            if not part:
                break
            if self.clock.now_ms() >= progress.deadline_ms:
                raise ExchangeError("body: time is up", sent=True)
            progress.call.hold_answer(len(part))
            size += len(part)
            parts.append(part)
        return b"".join(parts)

    def remaining(self, progress: CallProgress, exchange: Exchange, held: bytes) -> Iterator[bytes]:
        """Yield a large body; raises ``ExchangeError`` if it is incomplete at the deadline."""
        try:
            yield held
            held = b""
            while True:
                left_ms = progress.deadline_ms - self.clock.now_ms()
                if left_ms <= 0:
                    raise ExchangeError("body: time is up", sent=True)
                part = exchange.connection.read_part(left_ms)
                if not part:
                    break
                yield part
            self.client.release(exchange)
            self.record_success(progress.call.content)
        except ExchangeError as error:
            self.record_failure(progress, exchange.upstream, error)
            raise
        finally:
            if not exchange.connection.body_ended:
                exchange.connection.close()
            exchange.upstream.in_flight -= 1
