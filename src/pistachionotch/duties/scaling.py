"""Number of servers for each scaled service and zone; performs no I/O.

Load pattern: demand swings by 15 % and more with a period of 11 s, doubles at once when all
accounts begin a step, and stays low for long periods; servers take seconds to start, zones lose a
third of their servers, and servers that are listed do not answer. Servers are billed by the
second, and a swing of their number costs start times. The planner therefore raises the number at
once and lowers it one by one, after the demand has been lower for more than a period of the wave.

The planner keeps the last orders. Its user records them in the store before sending
(``encode_orders``) and gives them to the next holder (``decode_orders``, ``restore``).
"""

from __future__ import annotations

import json
import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from ..clock import MS_PER_SECOND, Clock
from ..gateway.catalog import ScalingLimits
from ..malformed import MALFORMED, load_utf8_json
from .demand import ANY_ZONE, ZoneDemand

SCALING_KEY = "duties/scaling"
# Free slots for demand that grows while a new server starts, as a share of the slots in need.
HEADROOM = 0.25
# Time for which demand must have been lower before a server is given up. At least 10 s are
# required; with a wave of 11 s, a window of 10 s misses peaks shorter than 1 s and the number would
# swing.
LOWER_FOR_MS = 12_000
# Share by which demand must stay below what fewer servers could bear. Without it, a wave whose
# peaks just reach the next number, with noise of a percent, swings the number every few periods.
LOWER_MARGIN = 0.05
# No server is given up within the boot time plus this after the last increase.
SETTLING_MS = 5_000
# A listed server that has not answered for this long is no capacity. Single failures and short
# pauses end sooner.
FAILING_AFTER_MS = 2_000
# If more than this share of a service's servers does not answer, this process or its network is
# the likely cause, and no replacements are ordered. Applies from MIN_SERVERS_FOR_SHARE servers on.
MAX_FAILING_SHARE = 0.5
MIN_SERVERS_FOR_SHARE = 4
# Pause before an unanswered order is sent again; doubles with each repetition.
FIRST_REPEAT_MS = 500
MAX_REPEAT_MS = 4_000
# After a longer pause between two plans, the observed demand is too incomplete to give up servers.
MAX_PLAN_GAP_MS = 3_000
MAX_DESIRED = 100_000
# Keeps sums of fractions from being rounded up to one more server.
ROUNDING = 1e-6

Key = tuple[str, str]
# Fence under which orders were sent, and the gateway that held it.
Sender = tuple[int, str]


@attrs.frozen(kw_only=True)
class ServerState:
    """A listed server; ``answering`` is false if its latest requests or probes failed."""

    instance: str
    service: str
    zone: str
    slots: int
    answering: bool = True
    leaving: bool = False


@attrs.frozen(kw_only=True)
class LastOrder:
    """The last order for a service and zone; times are on the monotonic clock."""

    desired: int
    at_ms: int
    # Time of the last increase, None if there was none.
    raised_ms: int | None = None
    # Average slots of a server, which remain known when a zone has no server left.
    slots: float = 1.0
    # Whether the platform has accepted or refused it for good.
    answered: bool = False
    repeats: int = 0
    sent_ms: int = 0


@attrs.frozen(kw_only=True)
class ServerOrder:
    """An order to send; ``demand`` is in slots, ``former`` is the number before."""

    service: str
    zone: str
    desired: int
    former: int
    demand: float
    reason: str


@attrs.define
class _Zone:
    """What was observed of one service and zone; ``needed`` spans LOWER_FOR_MS."""

    observed_since_ms: int
    slots: float = 0.0
    lowered_ms: int | None = None
    # Times and numbers, with decreasing numbers: the first is the highest.
    needed: deque[tuple[int, int]] = attrs.field(factory=deque)

    def observe(self, number: int, now_ms: int) -> int:
        """Add a number and return the highest one of the window."""
        while self.needed and self.needed[-1][1] <= number:
            self.needed.pop()
        self.needed.append((now_ms, number))
        while now_ms - self.needed[0][0] > LOWER_FOR_MS:
            self.needed.popleft()
        return self.needed[0][1]


@attrs.frozen(kw_only=True)
class _Capacity:
    """Listed servers of a service in a zone."""

    listed: int = 0
    failing: int = 0
    slots: int = 0


@attrs.frozen(kw_only=True)
class _Facts:
    """Facts for the decision about one service and zone; ``demand`` and ``busy`` are in slots."""

    limits: ScalingLimits
    capacity: _Capacity
    busy: float
    demand: float
    complete: bool

    def needed(self, slots: float, margin: float = 0.0) -> int:
        """Return the number of servers for the demand plus a margin, within the limits."""
        for_demand = math.ceil(self.demand * (1 + HEADROOM) * (1 + margin) / slots - ROUNDING)
        for_running = math.ceil(self.busy / slots - ROUNDING)
        number = max(for_demand, for_running) + self.capacity.failing
        return max(self.limits.min, min(self.limits.max, number))


@attrs.define
class ScalingPlanner:
    """Plans orders for servers; ``plan`` is to be called about every 500 ms by the holder."""

    clock: Clock
    orders: dict[Key, LastOrder] = attrs.field(factory=dict)
    zones: dict[Key, _Zone] = attrs.field(factory=dict)
    # Time since which each listed server has not answered.
    silent_since_ms: dict[str, int] = attrs.field(factory=dict)
    planned_ms: int | None = None

    def restore(self, orders: Mapping[Key, LastOrder]) -> None:
        """Take over the recorded orders of the former holder."""
        self.orders = dict(orders)
        self._restart_observation()

    def record_answer(self, order: ServerOrder) -> None:
        """Record that the platform accepted an order or refused it for good."""
        last = self.orders.get((order.service, order.zone))
        # A newer order may have been planned since.
        if last is not None and last.desired == order.desired:
            self.orders[(order.service, order.zone)] = attrs.evolve(last, answered=True)

    def plan(
        self,
        services: Mapping[str, ScalingLimits],
        demands: Mapping[Key, ZoneDemand],
        servers: Iterable[ServerState],
        complete: bool = True,
    ) -> list[ServerOrder]:
        """Return the orders to record and send now, including those to repeat.

        ``complete`` tells whether the demands contain all gateways; otherwise no number is lowered.
        """
        now_ms = self.clock.now_ms()
        if self.planned_ms is not None and now_ms - self.planned_ms > MAX_PLAN_GAP_MS:
            self._restart_observation()
        self.planned_ms = now_ms
        for key in [key for key in {*self.orders, *self.zones} if key[0] not in services]:
            self.orders.pop(key, None)
            self.zones.pop(key, None)
        capacities = self._capacities([each for each in servers if each.service in services])
        keys = sorted({*capacities, *self.orders, *self.zones})
        zone_counts = Counter(service for service, _ in keys)
        orders = []
        for key in keys:
            service, zone = key
            own = demands.get(key, ZoneDemand())
            shared = demands.get((service, ANY_ZONE), ZoneDemand())
            demand = own.wanted + own.waiting
            demand += (shared.wanted + shared.waiting) / zone_counts[service]
            facts = _Facts(
                limits=services[service],
                capacity=capacities.get(key, _Capacity()),
                busy=own.busy,
                demand=demand,
                complete=complete,
            )
            order = self._plan_zone(key, facts, now_ms)
            if order is not None:
                orders.append(order)
        return orders

    def _restart_observation(self) -> None:
        for state in self.zones.values():
            state.needed.clear()
            state.observed_since_ms = self.clock.now_ms()

    def _capacities(self, servers: list[ServerState]) -> dict[Key, _Capacity]:
        """Return the listed servers by service and zone; leaving ones are not counted."""
        now_ms = self.clock.now_ms()
        usable = [server for server in servers if not server.leaving]
        silent = {server.instance for server in usable if not server.answering}
        self.silent_since_ms = {
            instance: self.silent_since_ms.get(instance, now_ms) for instance in silent
        }
        listed = Counter(server.service for server in usable)
        failing: Counter[str] = Counter()
        for server in usable:
            failing[server.service] += self._is_failing(server, now_ms)
        found: dict[Key, _Capacity] = {}
        for server in usable:
            key = (server.service, server.zone)
            known = found.get(key, _Capacity())
            doubtful = (
                listed[server.service] >= MIN_SERVERS_FOR_SHARE
                and failing[server.service] > MAX_FAILING_SHARE * listed[server.service]
            )
            found[key] = _Capacity(
                listed=known.listed + 1,
                failing=known.failing + (self._is_failing(server, now_ms) and not doubtful),
                slots=known.slots + server.slots,
            )
        return found

    def _is_failing(self, server: ServerState, now_ms: int) -> bool:
        since_ms = self.silent_since_ms.get(server.instance)
        return since_ms is not None and now_ms - since_ms >= FAILING_AFTER_MS

    def _plan_zone(self, key: Key, facts: _Facts, now_ms: int) -> ServerOrder | None:
        last = self.orders.get(key)
        state = self.zones.setdefault(key, _Zone(observed_since_ms=now_ms))
        capacity = facts.capacity
        current = capacity.listed if last is None else last.desired
        slots = capacity.slots / capacity.listed if capacity.listed else 0.0
        slots = slots or (last.slots if last is not None else 0.0) or state.slots
        state.slots = slots
        if slots <= 0:
            return None
        needed = facts.needed(slots)
        highest = state.observe(facts.needed(slots, LOWER_MARGIN), now_ms)
        if needed > current or current > facts.limits.max:
            desired, reason = max(needed, min(current, facts.limits.max)), "demand"
            if capacity.failing:
                reason = f"demand, {capacity.failing} servers do not answer"
        elif self._may_lower(state, last, facts, highest < current, now_ms):
            desired, reason = current - 1, "lower demand"
        else:
            return self._repeat(key, facts, now_ms)
        if desired == capacity.listed and (last is None or desired <= last.desired):
            # The number is reached already. An increase is sent even then, since the platform may
            # be about to stop a server because of the order before.
            return None
        raised = desired > current
        if not raised:
            state.lowered_ms = now_ms
        self.orders[key] = LastOrder(
            desired=desired,
            at_ms=now_ms,
            raised_ms=now_ms if raised else (last.raised_ms if last is not None else None),
            slots=slots,
            sent_ms=now_ms,
        )
        return ServerOrder(
            service=key[0],
            zone=key[1],
            desired=desired,
            former=current,
            demand=facts.demand,
            reason=reason,
        )

    def _may_lower(
        self, state: _Zone, last: LastOrder | None, facts: _Facts, lower: bool, now_ms: int
    ) -> bool:
        """Return whether one server may be given up; ``lower`` as seen over the whole window."""
        if not lower or not facts.complete or now_ms - state.observed_since_ms < LOWER_FOR_MS:
            return False
        if state.lowered_ms is not None and now_ms - state.lowered_ms < LOWER_FOR_MS:
            return False
        raised_ms = last.raised_ms if last is not None else None
        settling_ms = facts.limits.boot_s * MS_PER_SECOND + SETTLING_MS
        return raised_ms is None or now_ms - raised_ms >= settling_ms

    def _repeat(self, key: Key, facts: _Facts, now_ms: int) -> ServerOrder | None:
        """Return the last order again if no answer to it is known."""
        last = self.orders.get(key)
        if last is None or last.answered:
            return None
        if last.desired == facts.capacity.listed:
            self.orders[key] = attrs.evolve(last, answered=True)
            return None
        if now_ms - last.sent_ms < min(MAX_REPEAT_MS, FIRST_REPEAT_MS << min(last.repeats, 8)):
            return None
        self.orders[key] = attrs.evolve(last, repeats=last.repeats + 1, sent_ms=now_ms)
        return ServerOrder(
            service=key[0],
            zone=key[1],
            desired=last.desired,
            former=last.desired,
            demand=facts.demand,
            reason="no answer to the last order",
        )


def encode_orders(
    orders: Mapping[Key, LastOrder],
    now_ms: int,
    unix_ms: int,
    token: str = "",
    sender: Sender = (0, ""),
) -> bytes:
    """Return the value of the object ``duties/scaling``; its times are Unix times in ms.

    ``token`` identifies the write. ``sender`` is the fence and the holder of the orders.
    """
    items = []
    for (service, zone), order in sorted(orders.items()):
        item: dict[str, Any] = {
            "service": service,
            "zone": zone,
            "desired": order.desired,
            "time": unix_ms - (now_ms - order.at_ms),
            "slots": order.slots,
        }
        if order.raised_ms is not None:
            item["raised"] = unix_ms - (now_ms - order.raised_ms)
        items.append(item)
    fields = {"orders": items, "token": token, "fence": sender[0], "holder": sender[1]}
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_sender(value: bytes) -> Sender:
    """Return fence and holder of the stored orders; raises ``ValueError`` if malformed."""
    try:
        fields = load_utf8_json(value)
        return int(fields.get("fence", 0)), str(fields.get("holder", ""))
    except MALFORMED as error:
        raise ValueError(f"malformed sender: {error!r}") from error


def decode_orders(value: bytes, now_ms: int, unix_ms: int) -> dict[Key, LastOrder]:
    """Return the orders of the object ``duties/scaling``; raises ``ValueError`` if malformed.

    Whether the former holder got answers is not recorded, so orders that the listing does not
    show are repeated. Times in the future, after a step of the wall clock, count as now.
    """
    try:
        return {
            (str(item["service"]), str(item["zone"])): _decode_order(item, now_ms, unix_ms)
            for item in load_utf8_json(value)["orders"]
        }
    except MALFORMED as error:
        raise ValueError(f"malformed orders: {error!r}") from error


def _decode_order(item: Mapping[str, Any], now_ms: int, unix_ms: int) -> LastOrder:
    desired = int(item["desired"])
    slots = float(item["slots"])
    if not 0 <= desired <= MAX_DESIRED or not 0 < slots <= MAX_DESIRED:
        raise ValueError("number out of range")
    at_ms = min(now_ms, now_ms - (unix_ms - int(item["time"])))
    raised = item.get("raised")
    return LastOrder(
        desired=desired,
        at_ms=at_ms,
        raised_ms=None if raised is None else min(now_ms, now_ms - (unix_ms - int(raised))),
        slots=slots,
        sent_ms=at_ms,
    )
