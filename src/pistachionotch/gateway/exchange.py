"""Sends a request to an upstream and reads the head of its response."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import attrs
import gevent

from ..clock import Clock
from ..http_client import Connection, ConnectionPool, ExchangeError, OpenCause, ResponseHead
from ..measures import Measures
from .limits import RateLimits
from .permits import NotPermittedError, RateLimitedError, SendPermit
from .upstream_protocol import UpstreamProtocol, UpstreamRequest, UpstreamResponse
from .upstreams import Upstream

# Connect timeout; round trips on the platform's links take at most 24 ms.
CONNECT_TIMEOUT_MS = 500
# Retry-After if this process was held up for longer than its permit was valid.
EXPIRED_PERMIT_RETRY_MS = 100


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
    # None if the upstreams announce no rate limits.
    limits: RateLimits | None = None

    def send_request(
        self,
        upstream: Upstream,
        request: UpstreamRequest,
        timeout_ms: int,
        repeatable: bool,
        may_send: Callable[[], bool] | None = None,
        reuse: bool = False,
    ) -> Exchange:
        """Send a request and read the head of its response; raises ``ExchangeError``.

        The time that a request with a budget waits for its permit counts towards the timeout.

        If ``may_send`` is given, it is called once the connection is established, and the request
        is not sent if it returns False; raises ``NotPermittedError`` then.

        The server may just have closed a keep-alive connection. A repeatable request is then
        resent on a new connection. One that is not repeatable is not, and uses a new connection
        unless ``reuse`` is set.
        """
        started_ms = self.clock.now_ms()
        permit = self._acquire_permit(upstream, request)
        if request.budget_ms is None:
            started_ms = self.clock.now_ms()
        fresh = not (repeatable or reuse)
        connection = self._connect(upstream, request, timeout_ms, fresh, permit)
        if permit is None:
            # The limit may have become known while the connection was being established.
            permit = self._acquire_permit(upstream, request, connection)
        if may_send is not None and not may_send():
            connection.close()
            self._give_back(permit)
            raise NotPermittedError
        if permit is not None and permit.expires_ms <= self.clock.now_ms():
            connection.close()
            raise RateLimitedError(
                "the permit has expired", EXPIRED_PERMIT_RETRY_MS, EXPIRED_PERMIT_RETRY_MS
            )
        kept = connection.exchanges > 0
        try:
            return self._send(connection, upstream, request, timeout_ms, started_ms)
        except ExchangeError as error:
            closed_early = self.clock.now_ms() - started_ms < timeout_ms
            resendable = repeatable and kept and closed_early
            if not resendable or connection.parser.message_begun:
                raise
            first = error
        # The upstream may have counted the first request, so the second one needs its own permit.
        try:
            permit = self._acquire_permit(upstream, request)
            connection = self._connect(
                upstream, request, timeout_ms, True, permit, OpenCause.RESENT
            )
        except (RateLimitedError, ExchangeError) as error:
            # The upstream may have executed the first request.
            reason = f"no second attempt: {error.reason}"
            raise ExchangeError(reason, sent=True, closed=first.closed) from error
        if may_send is not None and not may_send():
            connection.close()
            self._give_back(permit)
            reason = "no second attempt: no longer permitted"
            raise ExchangeError(reason, sent=True, closed=first.closed) from first
        return self._send(connection, upstream, request, timeout_ms, started_ms)

    def _acquire_permit(
        self, upstream: Upstream, request: UpstreamRequest, connection: Connection | None = None
    ) -> SendPermit | None:
        """Return the permit for a request; closes the connection if there is none in time."""
        if self.limits is None:
            return None
        try:
            return self.limits.acquire(upstream.record, request)
        except BaseException:
            if connection is not None:
                connection.close()
            raise

    def _connect(
        self,
        upstream: Upstream,
        request: UpstreamRequest,
        timeout_ms: int,
        fresh: bool,
        permit: SendPermit | None,
        known_cause: OpenCause | None = None,
    ) -> Connection:
        record = upstream.record
        connect_ms = min(timeout_ms, CONNECT_TIMEOUT_MS)
        try:
            connection = self.pool.take(record.address, record.incarnation, connect_ms, fresh)
        except BaseException:
            self._give_back(permit)
            raise
        cause = known_cause or connection.open_cause
        self.measures.count(
            "upstream_connections", f"{request.purpose.value}, {cause.value if cause else 'kept'}"
        )
        return connection

    def _give_back(self, permit: SendPermit | None) -> None:
        if permit is not None and self.limits is not None:
            self.limits.give_back(permit)

    def _send(
        self,
        connection: Connection,
        upstream: Upstream,
        request: UpstreamRequest,
        timeout_ms: int,
        started_ms: int,
    ) -> Exchange:
        """Send on a connection; ``timeout_ms`` and the budget count from ``started_ms``."""
        sent_ms = self.clock.now_ms()
        left_ms = max(1, timeout_ms - (sent_ms - started_ms))
        if request.budget_ms is not None:
            budget_ms = max(1, request.budget_ms - (sent_ms - started_ms))
            request = attrs.evolve(request, budget_ms=budget_ms)
        try:
            headers = self.protocol.request_headers(request)
            self.measures.count("upstream_requests", request.purpose.value)
            connection.send(request.method, request.target, headers, request.body, left_ms)
            head = self._read_head(connection, request, left_ms, sent_ms)
            response = self.protocol.read_response(request, head)
            success = HTTPStatus.OK <= response.head.status < HTTPStatus.MULTIPLE_CHOICES
            if request.observer is not None and not response.not_run:
                request.observer.answered(
                    sent_ms,
                    success=success and response.matches,
                    stream=response.is_stream(),
                    resumed=request.resume_after is not None,
                )
            if not response.matches:
                raise ExchangeError("the response belongs to another request", sent=True)
            if response.leaving:
                # The listing shows this later, or not at all during an outage of the object API.
                upstream.announced_leaving = True
            if self.limits is not None:
                self.limits.record_response(upstream.record, request, response, sent_ms)
            # Report and order requests have neither a request ID nor a proof.
            if request.request_id and success and not response.proof:
                raise ExchangeError("a success without the upstream's proof", sent=True)
        except BaseException:
            connection.close()
            raise
        return Exchange(connection, response, upstream)

    def _read_head(
        self, connection: Connection, request: UpstreamRequest, left_ms: int, sent_ms: int
    ) -> ResponseHead:
        observer = request.observer
        try:
            return connection.read_head(left_ms)
        except ExchangeError as error:
            if observer is not None and error.closed:
                observer.closed(sent_ms, connection.exchanges > 1)
            elif observer is not None and error.malformed:
                observer.answered(sent_ms, success=False)
            raise
        except gevent.GreenletExit:
            if observer is not None:
                observer.abandoned(sent_ms)
            raise

    def release(self, exchange: Exchange) -> None:
        """Return the connection to the pool after the whole body has been read."""
        record = exchange.upstream.record
        self.pool.give_back(exchange.connection, record.incarnation, exchange.response.head)
