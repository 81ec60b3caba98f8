"""Permits for requests to upstreams that have announced a rate limit.

Each such request needs a permit of the gateway that paces this upstream. Requests of this process
that wait at the same time are combined into one message.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

import attrs
import gevent
from gevent.event import AsyncResult

from ..clock import MS_PER_SECOND, Clock
from ..config.spec import Address
from ..http_client import ConnectionPool
from ..limits.announcements import AnnouncementBoard
from ..limits.broker import PermitBroker, PermitReply, PermitRequest
from ..limits.messages import dump_reply, dump_request, load_reply, load_request
from ..limits.pacer import BURST_S, MAX_RETRY_MS, MIN_PER_SECOND, Denial, Permit, PermitWant
from ..malformed import MALFORMED
from ..measures import Measures
from .limit_exchange import ANNOUNCEMENTS_PATH, LIMITS_PREFIX, LimitExchange, post_to_gateway
from .permits import RateLimitedError, SendPermit
from .upstream_protocol import UpstreamRequest, UpstreamResponse
from .upstreams import UpstreamRecord

PERMITS_PATH = LIMITS_PREFIX + "permits"
# Timeout for each part of a request for permits. Round trips take at most 24 ms, and a client waits
# meanwhile.
PERMITS_TIMEOUT_MS = 200
# A permit expires this long after its time, for example if this process was suspended.
PERMIT_VALIDITY_MS = 1_000
# Interval at which state of upstreams that are gone is removed.
EVICTION_INTERVAL_MS = 10_000
# Period over which this gateway's own rate of requests is measured for the log.
OWN_RATE_PERIOD_MS = 4_000


@attrs.define(eq=False)
class _Waiter:
    """A request that waits for the verdict of the pacing gateway."""

    want: PermitWant
    verdict: AsyncResult = attrs.field(factory=AsyncResult)
    abandoned: bool = False


@attrs.define
class _Rejection:
    """The last rejection by a pacing gateway, which also applies to less urgent requests."""

    urgency: int
    until_ms: int
    # Time to return for the next caller that is rejected without asking again.
    return_ms: float


@attrs.define
class RateLimits:
    """The limits that this gateway knows, and its permits."""

    node: str
    clock: Clock
    rng: random.Random
    pool: ConnectionPool
    # Addresses of the other gateways by node.
    addresses: Callable[[], Mapping[str, Address]]
    # Time at which their list was last known to be current; None if it has not been read yet.
    peers_listed_ms: Callable[[], int | None]
    # The watchers by node; None stands for this gateway.
    active_watchers: Callable[[], Mapping[str, Address | None]]
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    # Called after a change of a limit, to wake up gateways that wait for a copy.
    changed: Callable[[], None] = lambda: None
    # Incarnations of the listed upstreams.
    listed: Callable[[], set[str]] = set
    board: AnnouncementBoard = attrs.field(factory=AnnouncementBoard)
    broker: PermitBroker = attrs.field(init=False)
    exchange: LimitExchange = attrs.field(init=False)
    waiting: dict[str, list[_Waiter]] = attrs.field(factory=dict)
    asking: set[str] = attrs.field(factory=set)
    rejections: dict[str, _Rejection] = attrs.field(factory=dict)
    # Permits that were granted but not used, by upstream.
    unused: dict[str, deque[SendPermit]] = attrs.field(factory=dict)
    # Times of this gateway's own requests under a limit.
    sent: dict[str, deque[int]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.broker = PermitBroker(
            self.node,
            self.clock,
            self.rng,
            self.board,
            lambda: self.addresses().keys(),
            self.peers_listed_ms,
            self._ask_gateway,
        )
        self.exchange = LimitExchange(
            self.node,
            self.clock,
            self.pool,
            self.board,
            self.active_watchers,
            self.log,
            self.changed,
        )

    def record_response(
        self,
        upstream: UpstreamRecord,
        request: UpstreamRequest,
        response: UpstreamResponse,
        sent_ms: int,
    ) -> None:
        """Apply what the head of a response states about the upstream's limit."""
        named = response.rate_limit
        if named.questionable:
            self.measures.count("questionable_rate_limits", "used" if named.stated else "ignored")
            self.log.warning(
                "questionable rate limit",
                upstream=upstream.instance,
                request=request.request_id,
                value=named.questionable,
                used=named.per_second,
            )
        if not named.stated:
            return
        key = upstream.incarnation
        former = self.board.limit(key)
        now_ms = self.clock.now_ms()
        if not self.board.record_response(key, named.per_second, sent_ms, now_ms):
            return
        self.log.info(
            "rate limit announced",
            upstream=upstream.instance,
            limit=named.per_second,
            former=former,
            request=request.request_id,
            purpose=request.purpose.value,
            status=response.head.status,
        )
        self.exchange.publish()

    def limit(self, upstream: UpstreamRecord) -> float | None:
        """Return the limit of an upstream in requests per second, None if there is none."""
        return self.board.limit(upstream.incarnation)

    def rejected_for_ms(self, upstream: UpstreamRecord, urgency: int) -> int:
        """Return the time for which requests of this urgency would be rejected, 0 if none."""
        key = upstream.incarnation
        rejection = self.rejections.get(key)
        if rejection is None or urgency < rejection.urgency or self.board.limit(key) is None:
            return 0
        return max(0, rejection.until_ms - self.clock.now_ms())

    def rejects_from(self, upstream: UpstreamRecord, max_wait_ms: int) -> int | None:
        """Return the urgency from which requests that wait no longer are rejected, if any."""
        rejection = self.rejections.get(upstream.incarnation)
        if rejection is None:
            return None
        rejected_ms = self.rejected_for_ms(upstream, rejection.urgency)
        return rejection.urgency if rejected_ms > max_wait_ms else None

    def expected_permits(self, upstream: UpstreamRecord) -> int | None:
        """Return how many requests an upstream may accept now, None if it has no limit."""
        limit = self.board.limit(upstream.incarnation)
        if limit is None:
            return None
        permits = int(limit * BURST_S)
        rejection = self.rejections.get(upstream.incarnation)
        if rejection is not None:
            # One permit became available at the end of the rejection, more of them since then.
            since_ms = max(0, self.clock.now_ms() - rejection.until_ms)
            permits = min(permits, 1 + int(since_ms * limit / MS_PER_SECOND))
        return max(1, permits)

    def acquire(self, upstream: UpstreamRecord, request: UpstreamRequest) -> SendPermit | None:
        """Wait for the permit of a request; returns None if the upstream has no limit.

        Raises ``RateLimitedError`` if there is no permit in time.
        """
        key = upstream.incarnation
        if self.board.limit(key) is None:
            return None
        permit = self._take_unused(key)
        if permit is None:
            self._reject_early(upstream, request)
            permit = self._request_permit(upstream, request)
        if permit is not None:
            self.sent.setdefault(key, deque()).append(self.clock.now_ms())
        return permit

    def give_back(self, permit: SendPermit) -> None:
        """Return a permit whose request was not sent, for this gateway's next request."""
        self.unused.setdefault(permit.upstream, deque()).append(permit)

    def _take_unused(self, key: str) -> SendPermit | None:
        permits = self.unused.get(key)
        while permits:
            permit = permits.popleft()
            if permit.expires_ms > self.clock.now_ms():
                return permit
        return None

    def _reject_early(self, upstream: UpstreamRecord, request: UpstreamRequest) -> None:
        """Reject a request without asking while an earlier rejection applies to it."""
        next_ms = self.rejected_for_ms(upstream, request.want.urgency)
        if next_ms <= request.want.max_wait_ms:
            return
        rejection = self.rejections[upstream.incarnation]
        limit = max(self.board.limit(upstream.incarnation) or 0.0, MIN_PER_SECOND)
        return_ms = min(MAX_RETRY_MS, round(rejection.return_ms - self.clock.now_ms()))
        retry_ms = max(next_ms, return_ms)
        if request.want.alternatives:
            rejection.return_ms += MS_PER_SECOND / limit / request.want.alternatives
        self._reject(upstream, request, Denial(next_ms=next_ms, retry_ms=retry_ms), None)

    def _request_permit(
        self, upstream: UpstreamRecord, request: UpstreamRequest
    ) -> SendPermit | None:
        key = upstream.incarnation
        started_ms = self.clock.now_ms()
        waiter = _Waiter(request.want)
        self.waiting.setdefault(key, []).append(waiter)
        if key not in self.asking:
            self.asking.add(key)
            gevent.spawn(self._ask_permits, key)
        try:
            verdict, reply = waiter.verdict.get()
            if isinstance(verdict, Permit):
                self.clock.sleep_ms(verdict.wait_ms)
        except BaseException:
            waiter.abandoned = True
            if waiter.verdict.ready():
                self._keep_unused(key, waiter.verdict.value[0])
            raise
        if verdict is None:
            return None
        if isinstance(verdict, Denial):
            self._reject(upstream, request, verdict, reply)
        now_ms = self.clock.now_ms()
        self.measures.count("permits", "granted")
        self.measures.time("permits", request.purpose.value, now_ms - started_ms)
        self._log_decision("permit granted", upstream, request, reply, now_ms - started_ms)
        return SendPermit(key, started_ms + verdict.wait_ms + PERMIT_VALIDITY_MS)

    def _keep_unused(self, key: str, verdict: Any) -> None:
        if isinstance(verdict, Permit):
            expires_ms = self.clock.now_ms() + verdict.wait_ms + PERMIT_VALIDITY_MS
            self.give_back(SendPermit(key, expires_ms))

    def _reject(
        self,
        upstream: UpstreamRecord,
        request: UpstreamRequest,
        denial: Denial,
        reply: PermitReply | None,
    ) -> None:
        """Raise the error for a request without a permit."""
        key = upstream.incarnation
        now_ms = self.clock.now_ms()
        if reply is not None:
            interval_ms = MS_PER_SECOND / max(reply.per_second or 0.0, MIN_PER_SECOND)
            self.rejections[key] = _Rejection(
                request.want.urgency,
                now_ms + denial.next_ms,
                now_ms + denial.retry_ms + interval_ms / max(1, request.want.alternatives),
            )
        self.measures.count("permits", "denied" if reply is not None else "denied locally")
        self.measures.count("rate_limited", request.purpose.value)
        self._log_decision("permit denied", upstream, request, reply, denial.retry_ms)
        raise RateLimitedError(
            f"rate limit of {self.board.limit(key)} per second", denial.next_ms, denial.retry_ms
        )

    def _log_decision(
        self,
        event: str,
        upstream: UpstreamRecord,
        request: UpstreamRequest,
        reply: PermitReply | None,
        duration_ms: int,
    ) -> None:
        announcement = self.board.announcements.get(upstream.incarnation)
        now_ms = self.clock.now_ms()
        self.log.info(
            event,
            request=request.request_id,
            purpose=request.purpose.value,
            upstream=upstream.instance,
            limit=None if announcement is None else announcement.per_second,
            age_ms=None if announcement is None else now_ms - announcement.stated_ms,
            own_per_second=self._own_rate(upstream.incarnation, now_ms),
            urgency=request.want.urgency,
            paced_by="" if reply is None else reply.node,
            paced_share=None if reply is None else reply.share,
            **{"wait_ms" if event == "permit granted" else "retry_ms": duration_ms},
        )

    def _own_rate(self, key: str, now_ms: int) -> float:
        times = self.sent.get(key, deque())
        while times and now_ms - times[0] > OWN_RATE_PERIOD_MS:
            times.popleft()
        return round(len(times) * MS_PER_SECOND / OWN_RATE_PERIOD_MS, 2)

    def _ask_permits(self, key: str) -> None:
        """Request verdicts for all waiting requests, the most urgent first, until none waits."""
        waiters: list[_Waiter] = []
        try:
            while waiters := self.waiting.pop(key, []):
                waiters.sort(key=lambda waiter: waiter.want.urgency)
                reply = self.broker.request(key, [waiter.want for waiter in waiters])
                if reply.per_second is None or len(reply.verdicts) != len(waiters):
                    # The limit has ended at the pacing gateway.
                    self._answer_all(waiters, reply)
                    continue
                for waiter, verdict in zip(waiters, reply.verdicts, strict=True):
                    if waiter.abandoned:
                        self._keep_unused(key, verdict)
                        continue
                    waiter.verdict.set((verdict, reply))
        except Exception as error:
            self.measures.count("task_failures", "ask for permits")
            self.log.error("permits not requested", upstream=key, error=repr(error))
        finally:
            self.asking.discard(key)
            # After an unexpected error nobody may wait forever.
            self._answer_all([each for each in waiters if not each.verdict.ready()], None)
            self._answer_all(self.waiting.pop(key, []), None)

    def _answer_all(self, waiters: list[_Waiter], reply: PermitReply | None) -> None:
        verdict = None
        if reply is None or reply.per_second is not None:
            verdict = Denial(next_ms=PERMITS_TIMEOUT_MS, retry_ms=MS_PER_SECOND)
        for waiter in waiters:
            waiter.verdict.set((verdict, reply))

    def _ask_gateway(self, node: str, request: PermitRequest) -> PermitReply | None:
        address = self.addresses().get(node)
        if address is None:
            return None
        body = post_to_gateway(
            self.pool, address, PERMITS_PATH, dump_request(request), PERMITS_TIMEOUT_MS, self.log
        )
        if body is None:
            self.measures.count("permit_requests", "unanswered")
            return None
        try:
            reply = load_reply(body)
        except MALFORMED as error:
            self.log.warning("malformed permits", peer=node, error=repr(error))
            self.measures.count("permit_requests", "malformed")
            return None
        self.measures.count("permit_requests", "relayed" if request.relayed else "answered")
        return reply

    def answer(self, path: str, body: bytes) -> tuple[HTTPStatus, bytes]:
        """Answer a request of another gateway; raises one of ``MALFORMED``."""
        if path == PERMITS_PATH:
            version = self.board.version
            reply = self.broker.handle(load_request(body))
            self.exchange.publish_since(version)
            return HTTPStatus.OK, dump_reply(reply)
        if path == ANNOUNCEMENTS_PATH:
            return HTTPStatus.OK, self.exchange.answer(body)
        return HTTPStatus.NOT_FOUND, b""

    def evict(self) -> None:
        """Remove the state of upstreams that are gone, forever."""
        while True:
            self.clock.sleep_ms(EVICTION_INTERVAL_MS)
            self.broker.evict(self.listed())
            for state in (self.rejections, self.unused, self.sent):
                for key in list(state):
                    if key not in self.board.announcements:
                        del state[key]
