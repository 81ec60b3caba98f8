"""One request to one upstream, up to the start of its response."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import attrs

from ..clock import Clock
from ..http_client import Connection, ConnectionPool, ExchangeError
from .upstream_protocol import UpstreamProtocol, UpstreamRequest, UpstreamResponse
from .upstreams import Upstream

# Longest time to connect; the platform's links take at most 24 ms for a round trip.
CONNECT_TIMEOUT_MS = 500


@attrs.frozen
class Exchange:
    """Hold an open response together with its connection."""

    connection: Connection
    response: UpstreamResponse
    upstream: Upstream


@attrs.define
class UpstreamClient:
    """Send requests to upstreams over kept connections."""

    clock: Clock
    protocol: UpstreamProtocol
    pool: ConnectionPool

    def send_request(
        self,
        upstream: Upstream,
        request: UpstreamRequest,
        timeout_ms: int,
        repeatable: bool,
        may_send: Callable[[], bool] | None = None,
    ) -> Exchange:
        """Send a request and wait for the start of its response; raises ``ExchangeError``.

        What needs a permission is not sent if ``permitted`` says no once the connection stands.

        A kept connection may have been closed by its server a moment ago. A repeatable request is
        then sent again on a new connection; any other one uses a new connection at once.
        """
        started_ms = self.clock.now_ms()
        record = upstream.record
        connect_ms = min(timeout_ms, CONNECT_TIMEOUT_MS)
        connection = self.pool.take(record.address, record.incarnation, connect_ms, not repeatable)
        if may_send is not None and not may_send():
            connection.close()
            raise ExchangeError("no longer permitted", sent=False)
        kept = connection.exchanges > 0
        try:
            return self._send(connection, upstream, request, timeout_ms)
        except ExchangeError:
            closed_early = self.clock.now_ms() - started_ms < timeout_ms
            if not (kept and closed_early and connection.parser.get_code() == 0):
                raise
        left_ms = timeout_ms - (self.clock.now_ms() - started_ms)
        connection = self.pool.take(record.address, record.incarnation, connect_ms, fresh=True)
        return self._send(connection, upstream, request, left_ms)

    def _send(
        self, connection: Connection, upstream: Upstream, request: UpstreamRequest, timeout_ms: int
    ) -> Exchange:
        try:
            headers = self.protocol.request_headers(request)
            connection.send(request.method, request.target, headers, request.body, timeout_ms)
            response = self.protocol.read_response(request, connection.read_head(timeout_ms))
            if not response.matches:
                raise ExchangeError("the response belongs to another request", sent=True)
            if response.leaving:
                # The listing may say so later, or never while the object API is out.
                upstream.announced_leaving = True
            # Reports and orders have no request id and no proof.
            success = HTTPStatus.OK <= response.head.status < HTTPStatus.MULTIPLE_CHOICES
            if request.request_id and success and not response.proof:
                raise ExchangeError("a success without the upstream's proof", sent=True)
        except BaseException:
            connection.close()
            raise
        return Exchange(connection, response, upstream)

    def release(self, exchange: Exchange) -> None:
        """Keep the connection of a complete exchange."""
        record = exchange.upstream.record
        self.pool.give_back(exchange.connection, record.incarnation, exchange.response.head)
