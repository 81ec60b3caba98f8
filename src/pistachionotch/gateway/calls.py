"""Forwarding of client calls, with retries at other upstreams until the deadline."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Any

import attrs

from ..clock import Clock
from ..http_client import ExchangeError
from ..limits.pacer import PermitWant
from ..measures import Measures
from .call_progress import CallProgress, deadline_ms
from .call_selection import CallSelector
from .catalog import Route
from .exchange import Exchange, UpstreamClient
from .load_balancing import NoCapacity
from .origin_guard import OriginGuard
from .permits import RateLimitedError
from .responses import (
    BufferedResponse,
    CallFailure,
    ClientCall,
    ClientResponse,
    FailureCause,
    StreamingResponse,
)
from .stream_origins import StreamOrigins
from .streams import StreamRelay
from .upstream_protocol import UpstreamProtocol, UpstreamRequest
from .upstreams import Upstream, UpstreamTable

# Minimum remaining time for an attempt.
MIN_ATTEMPT_MS = 10
# Timeout for the response head of a repeatable attempt, as a multiple of the upstream's average
# response time. An unresponsive upstream then costs one attempt instead of the whole time budget.
FIRST_BYTE_TIMEOUT_FACTOR = 8
MIN_FIRST_BYTE_TIMEOUT_MS = 600
OK = 200
SERVER_ERROR = 500
# Limit on the body of a response that states that the request was not run; these bodies are short.
MAX_REFUSAL_BYTES = 64 * 1024
# Larger bodies are streamed to the client, which rules out a retry.
MAX_BUFFERED_BYTES = 1024 * 1024
LOWEST_SERVER_ERROR = 500


@attrs.define
class CallForwarder:
    """Forwards calls to the upstreams of their routes."""

    clock: Clock
    rng: random.Random
    zone: str
    regions: dict[str, str]
    table: UpstreamTable
    client: UpstreamClient
    protocol: UpstreamProtocol
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    # None if no client takes up a stream.
    origins: StreamOrigins | None = None
    selector: CallSelector = attrs.field(init=False)
    guard: OriginGuard = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.selector = CallSelector(self.clock, self.rng, self.zone, self.regions, self.table)
        self.guard = OriginGuard(self.clock, self.origins, self.measures)

    def forward(self, call: ClientCall, route: Route) -> ClientResponse:
        """Return the response to a call, retrying at other upstreams if the route allows it."""
        service = route.choose_service(self.rng)
        progress = CallProgress(call, route, deadline_ms(call, route), service)
        refusal = self.guard.check(progress)
        if refusal is not None:
            return refusal
        while progress.may_try_again():
            if progress.deadline_ms - self.clock.now_ms() < MIN_ATTEMPT_MS:
                return self._timed_out(progress)
            upstream = self._select_upstream(progress)
            if upstream is None:
                break
            progress.tried.add(upstream.record.instance)
            answer = self._attempt(progress, upstream)
            if answer is not None:
                return answer
            if progress.may_have_run and not route.repeatable():
                break
        return self._fail(progress)

    def _select_upstream(self, progress: CallProgress) -> Upstream | None:
        now_ms = self.clock.now_ms()
        service = progress.service
        want = self._permit_want(progress, now_ms)
        choice = self.selector.select(
            service,
            want,
            progress.tried,
            progress.rate_limited,
            lambda record: self.guard.may_serve(progress, record),
        )
        if isinstance(choice, NoCapacity):
            progress.reason = progress.reason or choice.reason
            progress.retry_after_ms = choice.retry_after_ms
            return None
        self.log.info(
            "call placed",
            request=progress.call.request_id,
            route=progress.route.name,
            upstream=choice.upstream.record.instance,
            software=choice.upstream.record.software,
            content=progress.call.content,
            begun_by=progress.call.begun_by,
            begun_with=progress.origin.software if progress.origin is not None else "",
            resume_after=progress.call.resume_after,
            expected_ms=round(choice.expected_ms),
            in_flight=choice.upstream.in_flight,
            listing=self.table.revision,
            candidates=len(self.table.available_for(service)),
            limit=self.table.rate_limits.limit(choice.upstream.record),
            left_ms=progress.deadline_ms - now_ms,
            reason=choice.reason,
        )
        return choice.upstream

    def _attempt(self, progress: CallProgress, upstream: Upstream) -> ClientResponse | None:
        """Return the response of one attempt, or None if another attempt may follow."""
        upstream.in_flight += 1
        streaming = False
        try:
            answer = self._exchange(progress, upstream)
            streaming = isinstance(answer, StreamingResponse)
            return answer
        except RateLimitedError as error:
            self._record_rejection(progress, upstream, error)
            return None
        except ExchangeError as error:
            upstream.record_failure(self.clock.now_ms())
            progress.may_have_run = progress.may_have_run or error.sent
            progress.unreachable += not error.sent
            progress.reason = error.reason
            progress.retry_after_ms = None
            self._log_failure(progress, upstream, error.reason, error.sent, error.closed)
            return None
        finally:
            if not streaming:
                upstream.in_flight -= 1

    def _record_rejection(
        self, progress: CallProgress, upstream: Upstream, error: RateLimitedError
    ) -> None:
        """Exclude an upstream that has no permit for the call; this is no attempt."""
        progress.tried.discard(upstream.record.instance)
        progress.rate_limited[upstream.record.instance] = error.retry_ms
        progress.reason = error.reason

    def _log_failure(
        self,
        progress: CallProgress,
        upstream: Upstream,
        reason: str,
        may_have_run: bool,
        closed: bool = False,
    ) -> None:
        self.measures.count("attempts_failed", "may have run" if may_have_run else "not run")
        self.log.warning(
            "attempt failed",
            request=progress.call.request_id,
            content=progress.call.content,
            upstream=upstream.record.instance,
            reason=reason,
            may_have_run=may_have_run,
            # Whether the upstream ended the connection, and the other calls that it took with it.
            closed=closed,
            in_flight=upstream.in_flight,
            left_ms=progress.deadline_ms - self.clock.now_ms(),
        )

    def _exchange(self, progress: CallProgress, upstream: Upstream) -> ClientResponse | None:
        started_ms = self.clock.now_ms()
        left_ms = progress.deadline_ms - started_ms
        request = self._upstream_request(progress, upstream, left_ms)
        repeatable = progress.route.repeatable()
        patience_ms = self._first_byte_timeout_ms(progress, upstream, left_ms)
        exchange = self.client.send_request(upstream, request, patience_ms, repeatable)
        done = False
        try:
            response = exchange.response
            if response.not_run:
                exchange.connection.read_body(patience_ms, MAX_REFUSAL_BYTES)
                self.client.release(exchange)
                done = True
                upstream.record_full(self.clock.now_ms())
                progress.reason = f"status {response.head.status}, not run"
                progress.retry_after_ms = progress.retry_after_ms or 0
                self._log_failure(progress, upstream, progress.reason, False)
                return None
            headers = tuple(self.protocol.response_headers(response.head))
            if response.is_stream():
                done = True
                parts = self._stream(progress, exchange)
                return StreamingResponse(response.head.status, headers, parts)
            if response.head.status == OK and progress.must_stream():
                raise ExchangeError("the response is no event stream", sent=True)
            body = self._read_buffered(progress, exchange)
            if not exchange.connection.body_ended:
                done = True
                return StreamingResponse(
                    response.head.status, headers, self._remaining_body(progress, exchange, body)
                )
            self.client.release(exchange)
            done = True
        finally:
            if not done:
                exchange.connection.close()
        now_ms = self.clock.now_ms()
        if response.head.status >= LOWEST_SERVER_ERROR:
            # Server errors don't count in the response time: a fast failure would attract calls.
            upstream.record_attempt(False, now_ms)
        else:
            upstream.record_response(now_ms - started_ms, now_ms)
        progress.server_errors += response.head.status == SERVER_ERROR
        reply = BufferedResponse(
            response.head.status, headers, body, response.proof, progress.server_errors
        )
        progress.may_have_run = True
        if reply.status >= LOWEST_SERVER_ERROR and repeatable:
            progress.failure = reply
            progress.reason = f"status {reply.status}"
            self._log_failure(progress, upstream, progress.reason, True)
            return None
        self._log_answer(progress, upstream, reply.status, started_ms)
        return reply

    def _read_buffered(self, progress: CallProgress, exchange: Exchange) -> bytes:
        """Return the body, or its beginning if it exceeds the buffer limit."""
        parts = []
        size = 0
        while size < MAX_BUFFERED_BYTES:
            part = exchange.connection.read_part(progress.deadline_ms - self.clock.now_ms())
            if not part:
                break
            if self.clock.now_ms() >= progress.deadline_ms:
                raise ExchangeError("body: time is up", sent=True)
            size += len(part)
            parts.append(part)
        return b"".join(parts)

    def _remaining_body(
        self, progress: CallProgress, exchange: Exchange, held: bytes
    ) -> Iterator[bytes]:
        """Yield a large body; raises ``ExchangeError`` if it is incomplete at the deadline."""
        try:
            yield held
            while True:
                left_ms = progress.deadline_ms - self.clock.now_ms()
                if left_ms <= 0:
                    raise ExchangeError("body: time is up", sent=True)
                part = exchange.connection.read_part(left_ms)
                if not part:
                    break
                yield part
            self.client.release(exchange)
        except ExchangeError as error:
            exchange.upstream.record_failure(self.clock.now_ms())
            self._log_failure(progress, exchange.upstream, error.reason, True)
            raise
        finally:
            if not exchange.connection.body_ended:
                exchange.connection.close()
            exchange.upstream.in_flight -= 1

    def _log_answer(
        self, progress: CallProgress, upstream: Upstream, status: int, started_ms: int
    ) -> None:
        now_ms = self.clock.now_ms()
        self.measures.time("calls", progress.route.kind, now_ms - progress.call.received_ms)
        self.log.info(
            "call answered",
            request=progress.call.request_id,
            upstream=upstream.record.instance,
            status=status,
            attempt_ms=now_ms - started_ms,
            total_ms=now_ms - progress.call.received_ms,
            attempts=len(progress.tried),
        )

    def _first_byte_timeout_ms(
        self, progress: CallProgress, upstream: Upstream, left_ms: int
    ) -> int:
        if not (progress.route.repeatable() and progress.may_try_again()):
            return left_ms
        expected_ms = upstream.response_ms or 0.0
        return min(
            left_ms, max(MIN_FIRST_BYTE_TIMEOUT_MS, int(expected_ms * FIRST_BYTE_TIMEOUT_FACTOR))
        )

    def _stream(self, progress: CallProgress, exchange: Exchange) -> Iterator[bytes]:
        resumable = progress.route.resumable
        relay = StreamRelay(
            self.clock,
            self.client,
            self.protocol,
            self.log,
            progress.call.request_id,
            progress.call.resume_after,
            (lambda last: self._resume(progress, last)) if resumable else None,
            lambda upstream: self.guard.record_first_event(progress, upstream),
        )
        return relay.chunks(exchange)

    def _resume(self, progress: CallProgress, last: int | None) -> Exchange | None:
        """Reopen a broken stream at another upstream, after the last event received."""
        while progress.may_try_again():
            left_ms = progress.deadline_ms - self.clock.now_ms()
            upstream = self._select_upstream(progress)
            if upstream is None or left_ms < MIN_ATTEMPT_MS:
                return None
            progress.tried.add(upstream.record.instance)
            request = self._upstream_request(progress, upstream, left_ms)
            request = attrs.evolve(request, resume_after=last)
            upstream.in_flight += 1
            try:
                exchange = self.client.send_request(
                    upstream, request, min(left_ms, MIN_FIRST_BYTE_TIMEOUT_MS), True
                )
            except RateLimitedError as error:
                upstream.in_flight -= 1
                self._record_rejection(progress, upstream, error)
                continue
            except ExchangeError as error:
                upstream.in_flight -= 1
                progress.unreachable += not error.sent
                upstream.record_failure(self.clock.now_ms())
                self._log_failure(progress, upstream, error.reason, error.sent, error.closed)
                continue
            if exchange.response.is_stream():
                return exchange
            exchange.connection.close()
            upstream.in_flight -= 1
            reason = f"status {exchange.response.head.status}"
            self._log_failure(progress, upstream, reason, not exchange.response.not_run)
        return None

    def _upstream_request(
        self, progress: CallProgress, upstream: Upstream, left_ms: int
    ) -> UpstreamRequest:
        call = progress.call
        return UpstreamRequest(
            request_id=call.request_id,
            method=call.method,
            target=call.target,
            host=call.host,
            headers=call.headers,
            body=call.body,
            instance=upstream.record.instance,
            budget_ms=left_ms,
            resume_after=call.resume_after,
            purpose=call.purpose,
            want=self._permit_want(progress, self.clock.now_ms()),
        )

    def _permit_want(self, progress: CallProgress, now_ms: int) -> PermitWant:
        left_ms = progress.deadline_ms - now_ms
        return self.selector.permit_want(progress.call, progress.route, progress.service, left_ms)

    def _timed_out(self, progress: CallProgress) -> ClientResponse:
        if progress.failure is not None:
            return progress.failure
        cause = FailureCause.TIMEOUT if progress.may_have_run else FailureCause.NOT_RUN
        self._log_failed_call(progress, cause)
        return CallFailure(cause, progress.reason or "time is up", 0, progress.server_errors)

    def _fail(self, progress: CallProgress) -> ClientResponse:
        if progress.failure is not None:
            return progress.failure
        if progress.deadline_ms - self.clock.now_ms() < MIN_ATTEMPT_MS:
            return self._timed_out(progress)
        cause = FailureCause.UNKNOWN if progress.may_have_run else FailureCause.NOT_RUN
        self._log_failed_call(progress, cause)
        return CallFailure(cause, progress.reason, progress.retry_after_ms, progress.server_errors)

    def _log_failed_call(self, progress: CallProgress, cause: FailureCause) -> None:
        self.measures.count("calls_given_up", cause.value)
        self.log.warning(
            "call given up",
            request=progress.call.request_id,
            route=progress.route.name,
            cause=cause.value,
            reason=progress.reason,
            attempts=len(progress.tried),
            listing=self.table.revision,
            total_ms=self.clock.now_ms() - progress.call.received_ms,
        )
