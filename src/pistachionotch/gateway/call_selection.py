"""Selection of the upstream for a call when some upstreams have announced a rate limit."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping

import attrs

from ..clock import Clock
from ..limits.pacer import PermitWant
from ..routing.zone_spill import Distance, SpillRequest, ZoneSpill
from .catalog import Route
from .load_balancing import NoCapacity, SelectedUpstream, select_upstream, zone_distance
from .responses import ClientCall
from .upstream_protocol import RequestPurpose
from .upstreams import UpstreamRecord, UpstreamTable

# A call waits for its permit for at most these shares of its route's objective and of its
# remaining time.
PERMIT_WAIT_OBJECTIVE_SHARE = 0.5
PERMIT_WAIT_BUDGET_SHARE = 0.25
# Number of upstreams whose rejections decide when a call should return.
MAX_REJECTIONS = 3
NO_OBJECTIVE = SpillRequest()


@attrs.define
class CallSelector:
    """Selects upstreams for calls, those without a rate limit first."""

    clock: Clock
    rng: random.Random
    zone: str
    regions: dict[str, str]
    table: UpstreamTable
    # Whether calls prefer their home zone; otherwise they go to the soonest upstream anywhere.
    spills_over: bool = True
    spill: ZoneSpill = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.spill = ZoneSpill(self.clock, self.rng, enabled=self.spills_over)

    def select(
        self,
        service: str,
        want: PermitWant,
        tried: Collection[str],
        rate_limited: Mapping[str, int],
        accepts: Callable[[UpstreamRecord], bool] = lambda _record: True,
        spill: SpillRequest = NO_OBJECTIVE,
    ) -> SelectedUpstream | NoCapacity:
        """Return an upstream that may accept the call now.

        ``rate_limited`` has the upstreams that have rejected the call by their rate limit, and the
        times to return in ms; ``accepts`` tells which upstreams fit otherwise. A call that has
        tried any upstream goes to the soonest one, wherever it is. If all others are
        known to reject it too, those that do so for the shortest time are selected nevertheless,
        since their rejections tell when to return.
        """
        now_ms = self.clock.now_ms()
        limits = self.table.rate_limits
        usable = self.table.usable_for(service)
        candidates = [each for each in usable if accepts(each.record)]
        if len(candidates) < len(usable):
            spill = attrs.evolve(spill, restricted=True, home_absent="home servers not suitable")
        excluded = {*tried, *rate_limited}
        rejecting: dict[str, int] = {}
        limited = set()
        for each in candidates:
            if limits.limit(each.record) is None:
                continue
            limited.add(each.record.instance)
            rejected_ms = limits.rejected_for_ms(each.record, want.urgency)
            if rejected_ms > want.max_wait_ms:
                rejecting[each.record.instance] = rejected_ms
        choice = select_upstream(
            candidates,
            excluded | rejecting.keys(),
            self.zone,
            self.regions,
            now_ms,
            self.spill,
            attrs.evolve(spill, anywhere=bool(excluded)),
            limited,
        )
        if not isinstance(choice, NoCapacity):
            return choice
        unasked = [
            each for each in candidates if each.record.instance in rejecting.keys() - excluded
        ]
        if unasked and len(rate_limited) < MAX_REJECTIONS:
            soonest = min(unasked, key=lambda each: rejecting[each.record.instance])
            distance = zone_distance(self.zone, soonest.record.zone, self.regions)
            return SelectedUpstream(
                soonest,
                rejecting[soonest.record.instance],
                "least rejected",
                distance,
                "rate limits" if self.spills_over and distance is not Distance.HOME else "",
            )
        return _describe_limits(choice, rate_limited) if rate_limited else choice

    def spill_request(self, call: ClientCall, route: Route, deadline_ms: int) -> SpillRequest:
        """Return what decides whether a call leaves its zone."""
        now_ms = self.clock.now_ms()
        due_ms = call.received_ms + route.objective_ms
        return SpillRequest(
            objective_ms=due_ms - now_ms if route.objective_ms else None,
            budget_ms=deadline_ms - now_ms,
            body_bytes=len(call.body),
        )

    def permit_want(self, call: ClientCall, route: Route, service: str, left_ms: int) -> PermitWant:
        """Return how a call waits for its permit at a rate-limited upstream."""
        limits = self.table.rate_limits
        candidates = self.table.available_for(service)
        # Reward calls are repeated by this process, which needs no time to return.
        alternatives = 0 if call.purpose is RequestPurpose.REWARD else len(candidates)
        for each in candidates:
            if limits.limit(each.record) is None:
                # An upstream without a limit takes the call, or tells by itself when to return.
                alternatives = 0
                break
        objective_ms = route.objective_ms * PERMIT_WAIT_OBJECTIVE_SHARE
        return PermitWant(
            urgency=route.priority,
            max_wait_ms=int(min(objective_ms, left_ms * PERMIT_WAIT_BUDGET_SHARE)),
            alternatives=alternatives,
        )


def _describe_limits(choice: NoCapacity, rate_limited: Mapping[str, int]) -> NoCapacity:
    """Return the failure of a call that rate limits contributed to."""
    retry_ms = min(rate_limited.values())
    if choice.left == 0:
        return NoCapacity("rate limits", retry_ms)
    return NoCapacity(choice.reason, min(retry_ms, choice.retry_after_ms), choice.left)
