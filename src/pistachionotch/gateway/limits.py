"""Permits for requests to rate-limited upstreams, and the exchange of limits between gateways.

A request to an upstream that has announced a limit needs a permit of the gateway that paces this
upstream. Announcements are pushed to the watchers, and reach the other gateways with the listing
copies that these fetch from the watchers.
"""

from __future__ import annotations

import random
import secrets
from collections import deque
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

import attrs
import cbor2
import gevent
from gevent.event import AsyncResult, Event

from ..clock import MS_PER_SECOND, Clock
from ..config.spec import Address
from ..http_client import ConnectionPool, ExchangeError
from ..limits.announcements import AnnouncementBoard
from ..limits.broker import PermitBroker, PermitReply, PermitRequest
from ..limits.messages import (
    announcement_fields,
    dump_reply,
    dump_request,
    load_reply,
    load_request,
    read_announcements,
)
from ..limits.pacer import MIN_PER_SECOND, Denial, Permit, PermitWant
from ..malformed import MALFORMED, load_cbor
from ..measures import Measures
from .upstream_protocol import UpstreamRequest, UpstreamResponse
from .upstreams import UpstreamRecord

LIMITS_PREFIX = "/limits/"
PERMITS_PATH = LIMITS_PREFIX + "permits"
ANNOUNCEMENTS_PATH = LIMITS_PREFIX + "announcements"
# Timeout for each part of a request for permits. Round trips take at most 24 ms, and a client waits
# meanwhile.
PERMITS_TIMEOUT_MS = 200
ANNOUNCEMENTS_TIMEOUT_MS = 400
# A permit expires this long after its time, for example if this process was suspended.
PERMIT_VALIDITY_MS = 1_000
# Pause between two pushes of announcements, to coalesce bursts of changes.
PUSH_PAUSE_MS = 100
# Interval at which the watchers compare their announcements.
COMPARE_INTERVAL_MS = 1_000
# Interval at which state of upstreams that are gone is removed.
EVICTION_INTERVAL_MS = 10_000
# Period over which this gateway's own rate of requests is measured for the log.
OWN_RATE_PERIOD_MS = 4_000
CBOR_TYPE = ("Content-Type", "application/cbor")


class RateLimitedError(ExchangeError):
    """The request was not sent because of the upstream's rate limit.

    A permit can be expected after ``next_ms``; the caller should return after ``retry_ms``.
    """

    def __init__(self, reason: str, next_ms: int, retry_ms: int) -> None:
        super().__init__(reason, sent=False)
        self.next_ms = next_ms
        self.retry_ms = retry_ms


@attrs.frozen
class SendPermit:
    """A permit for one request; it must be sent before ``expires_ms``."""

    upstream: str
    expires_ms: int


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
    # The watchers by node; None stands for this gateway.
    active_watchers: Callable[[], Mapping[str, Address | None]]
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    # Called after a change of a limit, to wake up gateways that wait for a copy.
    changed: Callable[[], None] = lambda: None
    # Incarnations of the listed upstreams.
    listed: Callable[[], set[str]] = set
    # Distinguishes the versions of this board from those of earlier starts.
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(4))
    board: AnnouncementBoard = attrs.field(factory=AnnouncementBoard)
    broker: PermitBroker = attrs.field(init=False)
    waiting: dict[str, list[_Waiter]] = attrs.field(factory=dict)
    asking: set[str] = attrs.field(factory=set)
    rejections: dict[str, _Rejection] = attrs.field(factory=dict)
    # Permits that were granted but not used, by upstream.
    unused: dict[str, deque[SendPermit]] = attrs.field(factory=dict)
    # Times of this gateway's own requests under a limit.
    sent: dict[str, deque[int]] = attrs.field(factory=dict)
    # Version of the board that each watcher has, and the state last received from it.
    pushed: dict[str, int] = attrs.field(factory=dict)
    tokens: dict[str, str] = attrs.field(factory=dict)
    dirty: Event = attrs.field(factory=Event)

    def __attrs_post_init__(self) -> None:
        self.broker = PermitBroker(
            self.node,
            self.clock,
            self.rng,
            self.board,
            lambda: self.addresses().keys(),
            self._ask_gateway,
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
        self._publish()

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

    def acquire(self, upstream: UpstreamRecord, request: UpstreamRequest) -> SendPermit | None:
        """Wait for the permit of a request; returns None if the upstream has no limit.

        Raises ``RateLimitedError`` if there is no permit in time.
        """
        key = upstream.incarnation
        if self.board.limit(key) is None:
            return None
        self._reject_early(upstream, request)
        permit = self._take_unused(key)
        if permit is None:
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
        retry_ms = max(next_ms, round(rejection.return_ms - self.clock.now_ms()))
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
        finally:
            self.asking.discard(key)
            # After an unexpected error nobody may wait forever; the requests are sent unpaced only
            # if the limit has ended.
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
        body = self._post(address, PERMITS_PATH, dump_request(request), PERMITS_TIMEOUT_MS)
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

    def _post(self, address: Address, path: str, body: bytes, timeout_ms: int) -> bytes | None:
        try:
            head, reply = self.pool.ask(address, "POST", path, (CBOR_TYPE,), body, timeout_ms)
        except ExchangeError as error:
            self.log.warning("gateway unreachable", peer=str(address), reason=error.reason)
            return None
        if head.status != HTTPStatus.OK:
            self.log.warning("request to a gateway failed", peer=str(address), status=head.status)
            return None
        return reply

    def answer(self, path: str, body: bytes) -> tuple[HTTPStatus, bytes]:
        """Answer a request of another gateway; raises one of ``MALFORMED``."""
        if path == PERMITS_PATH:
            version = self.board.version
            reply = self.broker.handle(load_request(body))
            self._publish_since(version)
            return HTTPStatus.OK, dump_reply(reply)
        if path == ANNOUNCEMENTS_PATH:
            token, fields = load_cbor(body)
            self._merge(fields, "pushed")
            return HTTPStatus.OK, cbor2.dumps(self.changes(str(token)))
        return HTTPStatus.NOT_FOUND, b""

    def has_changes(self, token: str) -> bool:
        """Return whether limits have changed since the state that a token identifies."""
        return token != self._token()

    def changes(self, token: str) -> list[Any]:
        """Return the token of the current state, and the changes since that of ``token``."""
        incarnation, _, number = token.partition(":")
        known = incarnation == self.incarnation and number.isdigit()
        since = self.board.since(int(number) if known else 0)
        return [self._token(), announcement_fields(since, self.clock.now_ms())]

    def apply_changes(self, node: str, changes: Any) -> None:
        """Apply the changes received from another gateway; raises one of ``MALFORMED``."""
        token, fields = changes
        self._merge(fields, "copied")
        self.tokens[node] = str(token)

    def _token(self) -> str:
        return f"{self.incarnation}:{self.board.version}"

    def _merge(self, fields: Any, source: str) -> None:
        version = self.board.version
        for upstream, stated in read_announcements(fields, self.clock.now_ms()).items():
            former = self.board.limit(upstream)
            if not self.board.merge(upstream, stated):
                continue
            self.log.info(
                "rate limit received",
                upstream=upstream,
                limit=stated.per_second,
                former=former,
                age_ms=self.clock.now_ms() - stated.stated_ms,
                source=source,
            )
        self._publish_since(version)

    def _publish_since(self, version: int) -> None:
        if self.board.version != version:
            self._publish()

    def _publish(self) -> None:
        self.dirty.set()
        self.changed()

    def exchange(self) -> None:
        """Push changed limits to the watchers, and compare the watchers' limits, forever."""
        while True:
            self.dirty.wait(COMPARE_INTERVAL_MS / MS_PER_SECOND)
            self.dirty.clear()
            self.push_announcements()
            self.clock.sleep_ms(PUSH_PAUSE_MS)

    def push_announcements(self) -> None:
        """Send each watcher what it may not know; watchers also fetch what they miss."""
        watchers = self.active_watchers()
        for node, address in watchers.items():
            if address is None:
                continue
            version = self.board.version
            if self.pushed.get(node) == version and self.node not in watchers:
                continue
            self._push(node, address, version)

    def _push(self, node: str, address: Address, version: int) -> None:
        since = self.board.since(self.pushed.get(node, 0))
        fields = announcement_fields(since, self.clock.now_ms())
        body = cbor2.dumps([self.tokens.get(node, ""), fields])
        reply = self._post(address, ANNOUNCEMENTS_PATH, body, ANNOUNCEMENTS_TIMEOUT_MS)
        if reply is None:
            # The watcher may have been replaced by one that knows nothing.
            self.pushed.pop(node, None)
            return
        self.pushed[node] = version
        try:
            self.apply_changes(node, load_cbor(reply))
        except MALFORMED as error:
            self.log.warning("malformed rate limits", peer=node, error=repr(error))

    def evict(self) -> None:
        """Remove the state of upstreams that are gone, forever."""
        while True:
            self.clock.sleep_ms(EVICTION_INTERVAL_MS)
            self.broker.evict(self.listed())
            for state in (self.rejections, self.unused, self.sent):
                for key in list(state):
                    if key not in self.board.announcements:
                        del state[key]
