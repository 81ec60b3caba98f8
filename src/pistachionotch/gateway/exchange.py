"""Sends a request to an upstream and reads the head of its response."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs

from ..clock import Clock
from ..http_client import Connection, ConnectionPool, ExchangeError
from ..logs import logger
from ..measures import Measures
from .upstream_protocol import UpstreamProtocol, UpstreamRequest, UpstreamResponse
from .upstreams import Upstream

# Connect timeout; round trips on the platform's links take at most 24 ms.
CONNECT_TIMEOUT_MS = 500


@attrs.frozen
class Exchange:
    """A response whose body has not been read yet, with its connection."""

    connection: Connection
    response: UpstreamResponse
    upstream: Upstream


@attrs.define
class UpstreamClient:
    """HTTP client for upstreams that reuses keep-alive connections."""

    clock: Clock
    protocol: UpstreamProtocol
    pool: ConnectionPool
    measures: Measures = attrs.field(factory=Measures)
    log: Any = attrs.field(factory=lambda: logger("limits"))

    def send_request(
        self,
        upstream: Upstream,
        request: UpstreamRequest,
        timeout_ms: int,
        repeatable: bool,
        may_send: Callable[[], bool] | None = None,
    ) -> Exchange:
        """Send a request and read the head of its response; raises ``ExchangeError``.

        If ``may_send`` is given, it is called once the connection is established, and the request
        is not sent if it returns False.

        The server may just have closed a keep-alive connection. A repeatable request is then
        resent on a new connection; a request that is not repeatable always uses a new connection.
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
            self.measures.count("upstream_requests", request.purpose.value)
            connection.send(request.method, request.target, headers, request.body, timeout_ms)
            response = self.protocol.read_response(request, connection.read_head(timeout_ms))
            if not response.matches:
                raise ExchangeError("the response belongs to another request", sent=True)
            if response.leaving:
                # The listing shows this later, or not at all during an outage of the object API.
                upstream.announced_leaving = True
            self._record_rate_limit(upstream, request, response)
            # Report and order requests have neither a request ID nor a proof.
            success = HTTPStatus.OK <= response.head.status < HTTPStatus.MULTIPLE_CHOICES
            if request.request_id and success and not response.proof:
                raise ExchangeError("a success without the upstream's proof", sent=True)
        except BaseException:
            connection.close()
            raise
        return Exchange(connection, response, upstream)

    def _record_rate_limit(
        self, upstream: Upstream, request: UpstreamRequest, response: UpstreamResponse
    ) -> None:
        named = response.rate_limit
        if named.questionable:
            self.log.warning(
                "questionable rate limit",
                upstream=upstream.record.instance,
                request=request.request_id,
                value=named.questionable,
                used=named.per_second,
            )
        if named.per_second == upstream.announced_limit:
            return
        self.log.info(
            "rate limit announced",
            upstream=upstream.record.instance,
            limit=named.per_second,
            former=upstream.announced_limit,
            request=request.request_id,
            purpose=request.purpose.value,
            status=response.head.status,
        )
        upstream.announced_limit = named.per_second

    def release(self, exchange: Exchange) -> None:
        """Return the connection to the pool after the whole body has been read."""
        record = exchange.upstream.record
        self.pool.give_back(exchange.connection, record.incarnation, exchange.response.head)
