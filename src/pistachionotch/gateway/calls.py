"""Forwarding of client calls, with retries at other upstreams until the deadline."""

from __future__ import annotations

import functools
import random
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from ..clock import Clock
from ..http_client import ExchangeError
from ..limits.pacer import PermitWant
from ..measures import Measures
from ..quarantine.board import CrashBoard, Verdict
from .account_gate import AccountGate
from .call_log import CallLog
from .call_progress import MIN_FIRST_BYTE_TIMEOUT_MS, CallProgress, deadline_ms
from .call_selection import CallSelector
from .catalog import Route
from .exchange import Exchange, UpstreamClient
from .load_balancing import NoCapacity
from .origin_guard import OriginGuard
from .permits import NotPermittedError, RateLimitedError
from .response_bodies import ResponseBodies
from .responses import (
    BufferedResponse,
    CallFailure,
    ClientCall,
    ClientResponse,
    FailureCause,
    RejoinedParts,
    StreamingResponse,
)
from .stream_origins import StreamOrigins
from .streams import StreamRelay
from .suspects import SuspectGuard
from .upstream_protocol import RunObserver, UpstreamProtocol, UpstreamRequest
from .upstreams import Upstream, UpstreamRecord, UpstreamTable

# Minimum remaining time for an attempt.
MIN_ATTEMPT_MS = 10
OK = 200
SERVER_ERROR = 500
# Limit on the body of a response that states that the request was not run; these bodies are short.
MAX_REFUSAL_BYTES = 64 * 1024


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
    suspects: SuspectGuard = attrs.field()
    accounts: AccountGate = attrs.field()
    # Whether calls prefer upstreams of their zone.
    zone_spillover: bool = False
    # Number of calls that have arrived, by service.
    arrivals: Counter[str] = attrs.field(factory=Counter)
    # Returns what counts the runs of an account's call at a service.
    observe_runs: Callable[[ClientCall, str], RunObserver | None] = lambda _call, _service: None
    selector: CallSelector = attrs.field(init=False)
    guard: OriginGuard = attrs.field(init=False)
    call_log: CallLog = attrs.field(init=False)
    bodies: ResponseBodies = attrs.field(init=False)

    @suspects.default
    def _local_suspects(self) -> SuspectGuard:
        pool = self.client.pool
        return SuspectGuard(self.clock, self.table, pool, CrashBoard(), self.log, self.measures)

    @accounts.default
    def _local_accounts(self) -> AccountGate:
        return AccountGate(self.clock, self.rng, self.log, self.measures)

    def __attrs_post_init__(self) -> None:
        self.call_log = CallLog(
            self.clock, self.table, self.log, self.measures, self.zone_spillover
        )
        self.selector = CallSelector(
            self.clock, self.rng, self.zone, self.regions, self.table, self.zone_spillover
        )
        self.guard = OriginGuard(self.clock, self.origins, self.measures)
        self.bodies = ResponseBodies(
            self.clock, self.client, self.suspects.record_success, self._record_failure
        )

    def forward(self, call: ClientCall, route: Route) -> ClientResponse:
        """Return the response to a call, retrying at other upstreams if the route allows it."""
        service = route.choose_service(self.rng)
        self.arrivals[service] += 1
        progress = CallProgress(call, route, deadline_ms(call, route), service)
        refusal = self.guard.check(progress)
        if refusal is not None:
            return refusal
        while progress.may_try_again():
            left_ms = progress.deadline_ms - self.clock.now_ms()
            if left_ms < MIN_ATTEMPT_MS:
                return self._timed_out(progress)
            if not self._admit(progress, left_ms):
                break
            upstream = self._select_upstream(progress)
            if upstream is None:
                break
            progress.tried.add(upstream.record.instance)
            answer = self._attempt(progress, upstream)
            if isinstance(answer, StreamingResponse):
                return self._begin_response(progress, answer)
            if answer is not None:
                return answer
            if progress.may_have_run and not route.repeatable():
                break
        return self._fail(progress)

    def upstreams(self, route: Route) -> list[Upstream]:
        """Return the upstreams of all services of a route that accept calls."""
        return [each for share in route.shares for each in self.table.available_for(share.service)]

    def _begin_response(self, progress: CallProgress, answer: StreamingResponse) -> ClientResponse:
        """Wait for the first part, so that a client that has got nothing gets a status."""
        parts = self.accounts.counted(progress, answer.parts)
        try:
            first = next(parts, b"")
        except ExchangeError as error:
            progress.may_have_run = True
            progress.reason = progress.reason or error.reason
            return self._fail(progress)
        return attrs.evolve(answer, parts=RejoinedParts(first, parts))

    def _admit(self, progress: CallProgress, left_ms: int) -> bool:
        """Return whether another attempt is allowed as far as crashes of upstreams matter."""
        call = progress.call
        ruling = self.suspects.admit(call.request_id, call.content, progress.service, left_ms)
        progress.ruling = ruling
        if ruling.verdict in (Verdict.ORDINARY, Verdict.TRY_ALONE):
            return True
        progress.reason = ruling.reason
        progress.retry_after_ms = ruling.retry_after_ms
        return False

    def _select_upstream(self, progress: CallProgress) -> Upstream | None:
        now_ms = self.clock.now_ms()
        service = progress.service
        want = self._permit_want(progress, now_ms)
        spill = self.selector.spill_request(progress.call, progress.route, progress.deadline_ms)
        for strictly in (True, False):
            choice = self.selector.select(
                service,
                want,
                progress.tried,
                progress.rate_limited,
                functools.partial(self._accepts, progress, strictly),
                spill,
            )
            if not isinstance(choice, NoCapacity):
                break
        if isinstance(choice, NoCapacity):
            progress.reason = progress.reason or choice.reason
            progress.retry_after_ms = choice.retry_after_ms
            if choice.left:
                self.accounts.record_full(progress)
            return None
        refusal = self.accounts.refusal(progress, progress.deadline_ms - now_ms)
        if refusal is not None:
            progress.reason, progress.retry_after_ms = refusal.reason, refusal.retry_after_ms
            return None
        self.call_log.placed(progress, choice)
        return choice.upstream

    def _accepts(self, progress: CallProgress, strictly: bool, record: UpstreamRecord) -> bool:
        return self.guard.may_serve(progress, record) and self.suspects.accepts(
            record, progress.ruling, strictly
        )

    def _attempt(self, progress: CallProgress, upstream: Upstream) -> ClientResponse | None:
        """Return the response of one attempt, or None if another attempt may follow."""
        upstream.in_flight += 1
        self.accounts.begin(progress)
        answer: ClientResponse | None = None
        streaming = False
        is_trial = self.suspects.begin(progress.call.content, upstream, progress.ruling)
        try:
            answer = self._exchange(progress, upstream)
            streaming = isinstance(answer, StreamingResponse)
            return answer
        except RateLimitedError as error:
            self._record_rejection(progress, upstream, error)
            return None
        except NotPermittedError as error:
            progress.reason = error.reason
            return None
        except ExchangeError as error:
            progress.may_have_run = progress.may_have_run or error.sent
            progress.reason = error.reason
            progress.retry_after_ms = None
            self._record_failure(progress, upstream, error)
            return None
        finally:
            if is_trial:
                self.suspects.end(progress.call.content, upstream)
            if not streaming:
                upstream.in_flight -= 1
                self.accounts.end(progress, served=answer is not None)

    def _record_failure(
        self, progress: CallProgress, upstream: Upstream, error: ExchangeError
    ) -> None:
        upstream.record_failure(self.clock.now_ms())
        progress.unreachable += not error.sent
        self.call_log.failed(progress, upstream, error.reason, error.sent, error.closed)
        call = progress.call
        self.suspects.record_failure(call.request_id, call.content, upstream, error)

    def _record_rejection(
        self, progress: CallProgress, upstream: Upstream, error: RateLimitedError
    ) -> None:
        """Exclude an upstream that has no permit for the call; this is no attempt."""
        progress.tried.discard(upstream.record.instance)
        progress.rate_limited[upstream.record.instance] = error.retry_ms
        progress.reason = error.reason

    def _exchange(self, progress: CallProgress, upstream: Upstream) -> ClientResponse | None:
        started_ms = self.clock.now_ms()
        left_ms = progress.deadline_ms - started_ms
        request = self._upstream_request(progress, upstream, left_ms)
        repeatable = progress.route.repeatable()
        patience_ms = progress.first_byte_timeout_ms(upstream, left_ms)
        may_send = progress.call.may_send
        exchange = self.client.send_request(upstream, request, patience_ms, repeatable, may_send)
        self.suspects.record_answer(upstream)
        done = False
        try:
            response = exchange.response
            if response.not_run:
                exchange.connection.read_body(patience_ms, MAX_REFUSAL_BYTES)
                self.client.release(exchange)
                done = True
                upstream.record_full(self.clock.now_ms())
                self.accounts.record_full(progress)
                progress.reason = f"status {response.head.status}, not run"
                progress.retry_after_ms = progress.retry_after_ms or 0
                self.call_log.failed(progress, upstream, progress.reason, False)
                return None
            headers = tuple(self.protocol.response_headers(response.head))
            if response.is_stream():
                done = True
                parts = self._stream(progress, exchange)
                return StreamingResponse(response.head.status, headers, parts)
            if response.head.status == OK and progress.must_stream():
                raise ExchangeError("the response is no event stream", sent=True)
            body = self.bodies.read_buffered(progress, exchange)
            if not exchange.connection.body_ended:
                done = True
                parts = self.bodies.remaining(progress, exchange, body)
                return StreamingResponse(response.head.status, headers, parts)
            self.client.release(exchange)
            done = True
        finally:
            if not done:
                exchange.connection.close()
        now_ms = self.clock.now_ms()
        if response.head.status >= SERVER_ERROR:
            # Server errors don't count in the response time: a fast failure would attract calls.
            upstream.record_attempt(False, now_ms)
        else:
            spill = self.selector.spill
            upstream.record_response(now_ms - started_ms, now_ms, spill.enabled)
            spill.record_response(progress.service, len(body))
        progress.server_errors += response.head.status == SERVER_ERROR
        reply = BufferedResponse(
            response.head.status, headers, body, response.proof, progress.server_errors
        )
        progress.may_have_run = True
        self.suspects.record_success(progress.call.content)
        if reply.status >= SERVER_ERROR and repeatable:
            progress.failure = reply
            progress.reason = f"status {reply.status}"
            self.call_log.failed(progress, upstream, progress.reason, True)
            return None
        self.call_log.answered(progress, upstream, reply.status, started_ms)
        return reply

    def _stream(self, progress: CallProgress, exchange: Exchange) -> Iterator[bytes]:
        resumable = progress.route.resumable
        relay = StreamRelay(
            self.clock,
            self.client,
            self.protocol,
            self.log,
            progress.call.request_id,
            progress.call.resume_after,
            functools.partial(self._resume, progress),
            resumable,
            lambda upstream: self.guard.record_first_event(progress, upstream),
            functools.partial(self.suspects.record_success, progress.call.content),
        )
        return relay.chunks(exchange)

    def _resume(
        self, progress: CallProgress, broken: Upstream, error: Exception, last: int | None
    ) -> Exchange | None:
        """Reopen a broken stream at another upstream, after the last event received."""
        call = progress.call
        if isinstance(error, ExchangeError):
            self.suspects.record_failure(call.request_id, call.content, broken, error)
        if not progress.route.resumable:
            return None
        while progress.may_try_again():
            left_ms = progress.deadline_ms - self.clock.now_ms()
            if left_ms < MIN_ATTEMPT_MS or not self._admit(progress, left_ms):
                return None
            upstream = self._select_upstream(progress)
            if upstream is None:
                return None
            progress.tried.add(upstream.record.instance)
            exchange = self._take_up(progress, upstream, last, left_ms)
            if exchange is None:
                continue
            if exchange.response.is_stream():
                return exchange
            exchange.connection.close()
            upstream.in_flight -= 1
            reason = f"status {exchange.response.head.status}"
            self.call_log.failed(progress, upstream, reason, not exchange.response.not_run)
        return None

    def _take_up(
        self, progress: CallProgress, upstream: Upstream, last: int | None, left_ms: int
    ) -> Exchange | None:
        """Ask an upstream for the rest of a stream; its slot is taken if there is an answer."""
        request = self._upstream_request(progress, upstream, left_ms)
        request = attrs.evolve(request, resume_after=last)
        patience_ms = min(left_ms, MIN_FIRST_BYTE_TIMEOUT_MS)
        exchange = None
        upstream.in_flight += 1
        is_trial = self.suspects.begin(progress.call.content, upstream, progress.ruling)
        try:
            exchange = self.client.send_request(upstream, request, patience_ms, True)
        except RateLimitedError as error:
            self._record_rejection(progress, upstream, error)
        except ExchangeError as error:
            self._record_failure(progress, upstream, error)
        finally:
            # Also if the client leaves meanwhile.
            if exchange is None:
                upstream.in_flight -= 1
            if is_trial:
                self.suspects.end(progress.call.content, upstream)
        return exchange

    def _upstream_request(
        self, progress: CallProgress, upstream: Upstream, left_ms: int
    ) -> UpstreamRequest:
        want = self._permit_want(progress, self.clock.now_ms())
        observer = self.observe_runs(progress.call, progress.service)
        return progress.upstream_request(upstream, left_ms, want, observer)

    def _permit_want(self, progress: CallProgress, now_ms: int) -> PermitWant:
        left_ms = progress.deadline_ms - now_ms
        return self.selector.permit_want(progress.call, progress.route, progress.service, left_ms)

    def _timed_out(self, progress: CallProgress) -> ClientResponse:
        if progress.failure is not None:
            return progress.failure
        cause = FailureCause.TIMEOUT if progress.may_have_run else FailureCause.NOT_RUN
        self.call_log.given_up(progress, cause)
        return CallFailure(cause, progress.reason or "time is up", 0, progress.server_errors)

    def _fail(self, progress: CallProgress) -> ClientResponse:
        if progress.failure is not None:
            return progress.failure
        now_ms = self.clock.now_ms()
        if progress.deadline_ms - now_ms < MIN_ATTEMPT_MS:
            return self._timed_out(progress)
        self.suspects.wait_until_known(progress.call.content, progress.deadline_ms - now_ms)
        cause = FailureCause.UNKNOWN if progress.may_have_run else FailureCause.NOT_RUN
        if progress.is_condemned() and not progress.may_have_run:
            cause = FailureCause.CONDEMNED
            progress.retry_after_ms = None
        elif cause is FailureCause.NOT_RUN:
            progress.retry_after_ms = self.accounts.retry_after_ms(progress)
        self.call_log.given_up(progress, cause)
        return CallFailure(cause, progress.reason, progress.retry_after_ms, progress.server_errors)
