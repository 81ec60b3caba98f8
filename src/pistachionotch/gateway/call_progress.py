"""State of one client call across its attempts."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..admission.account_shares import Admit, Refuse
from ..limits.pacer import PermitWant
from ..quarantine.board import Ruling, Verdict
from ..software.origin import Origin
from .catalog import Route, RouteKind
from .draining import Call
from .responses import BufferedResponse, ClientCall
from .streams import EVENT_TIMEOUT_MS
from .upstream_protocol import RequestPurpose, RunObserver, UpstreamRequest
from .upstreams import Upstream

# Timeout for the response head of a repeatable attempt, as a multiple of the upstream's average
# response time. An unresponsive upstream then costs one attempt instead of the whole time budget.
FIRST_BYTE_TIMEOUT_FACTOR = 8
MIN_FIRST_BYTE_TIMEOUT_MS = 600


@attrs.define
class CallProgress:
    """State of one call across its attempts."""

    call: ClientCall
    route: Route
    deadline_ms: int
    service: str
    tried: set[str] = attrs.field(factory=set)
    # Number of upstreams tried to which nothing was sent, because they could not be reached.
    unreachable: int = 0
    # Upstreams that rejected the call by their rate limit, and the time to return.
    rate_limited: dict[str, int] = attrs.field(factory=dict)
    # Whether an upstream may have executed an attempt.
    may_have_run: bool = False
    failure: BufferedResponse | None = None
    retry_after_ms: int | None = None
    reason: str = ""
    server_errors: int = 0
    # Origin of the stream, once its first event has been received or if its client takes it up.
    origin: Origin | None = None
    # What may be done with the call after crashes of upstreams.
    ruling: Ruling = Ruling(Verdict.ORDINARY)
    # What the share of the call's account allows; it is asked for once.
    share_ruling: Admit | Refuse | None = None
    # Whether an upstream rejected the call as full, or all were known to do so.
    found_full: bool = False
    # Time since which the call takes a slot of its account's share.
    slot_since_ms: int | None = None

    def is_condemned(self) -> bool:
        """Return whether the call is refused for good, since upstreams crash under it.

        Reward calls belong to items, which stay owed: they come back later.
        """
        condemned = self.ruling.verdict is Verdict.CONDEMNED
        return condemned and self.call.purpose is not RequestPurpose.REWARD

    def may_try_again(self) -> bool:
        """Return whether the route allows another attempt.

        Upstreams that could not be reached don't count; up to as many more are tried for them.
        """
        most = max(1, self.route.max_attempts)
        return len(self.tried) - self.unreachable < most and len(self.tried) < 2 * most

    def first_byte_timeout_ms(self, upstream: Upstream, left_ms: int) -> int:
        """Return the timeout in ms for the response head of an attempt."""
        if not (self.route.repeatable() and self.may_try_again()):
            return left_ms
        usual_ms = int((upstream.response_ms or 0.0) * FIRST_BYTE_TIMEOUT_FACTOR)
        return min(left_ms, max(MIN_FIRST_BYTE_TIMEOUT_MS, usual_ms))

    def upstream_request(
        self, upstream: Upstream, left_ms: int, want: PermitWant, observer: RunObserver | None
    ) -> UpstreamRequest:
        """Return the request of an attempt; ``observer`` counts its runs."""
        call = self.call
        return UpstreamRequest(
            request_id=call.request_id,
            method=call.method,
            target=call.target,
            host=call.host,
            account=call.account,
            headers=call.headers,
            body=call.body,
            instance=upstream.record.instance,
            budget_ms=left_ms,
            resume_after=call.resume_after,
            purpose=call.purpose,
            want=want,
            observer=observer,
        )

    def must_stream(self) -> bool:
        """Return whether a success that is no event stream would follow a client's events."""
        return self.route.resumable and self.call.resume_after is not None


def deadline_ms(call: ClientCall, route: Route) -> int:
    """Return when the client or the operator stops waiting for the response."""
    limits = [limit for limit in (call.budget_ms, route.timeout_ms) if limit]
    return call.received_ms + min(limits, default=EVENT_TIMEOUT_MS)


def expected_call(
    call: ClientCall, route: Route, upstreams: Iterable[Upstream], now_ms: int
) -> Call:
    """Return what is known in advance of the duration of a call to one of some upstreams."""
    usual = [upstream.response_ms for upstream in upstreams]
    known = [each for each in usual if each is not None]
    return Call(
        deadline_ms(call, route) - now_ms,
        route.kind is RouteKind.SAFE,
        max(known) if known and len(known) == len(usual) else None,
    )
