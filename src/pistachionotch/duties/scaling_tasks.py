"""Task that orders the numbers of servers at the gateway that holds the lease of the duties."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
from returns.result import Failure

from ..clock import Clock
from ..exchange.service import StateExchange
from ..gateway.catalog import ScalingLimits
from ..gateway.duty_holder import DutyHolder
from ..measures import Measures
from ..objects.api import ObjectStore, StoredObject, VersionConflict, WriteAmbiguous
from ..objects.read_back import put_with_read_back
from . import client as duty_client
from .client import DutyAnswer, DutyClient
from .demand import Demand, sum_demands, zone_demands
from .scaling import (
    SCALING_KEY,
    ScalingPlanner,
    ServerOrder,
    ServerState,
    decode_orders,
    decode_sender,
    encode_orders,
)
from .true_time import TrueTime

DEMAND_TOPIC = "demand"
STEP_INTERVAL_MS = 500
# A new holder that gets no demands of the others acts after this time on those that it knows. If it
# is a watcher itself and the other one is gone, nobody sends it any, but all have told it theirs.
CATCH_UP_MS = 3_000
# Orders of one step; with one step each 500 ms they stay far below the platform's limit of calls.
MAX_ORDERS_PER_STEP = 8


@attrs.define
class ScalingTasks:
    """Orders servers while this gateway holds the lease, and publishes its own demand."""

    clock: Clock
    rng: random.Random
    holder: DutyHolder
    store: ObjectStore
    exchange: StateExchange
    time: TrueTime
    client: DutyClient
    # The scaled services, the listed servers, this gateway's demand, the number of gateways.
    services: Callable[[], Mapping[str, ScalingLimits]]
    servers: Callable[[], Iterable[ServerState]]
    own_demand: Callable[[], Demand]
    gateway_count: Callable[[], int]
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    planner: ScalingPlanner = attrs.field(init=False)
    # None until something was published.
    published: Demand | None = None
    # Fence of the lease for which the recorded orders were read, and since when it is held.
    fence: int | None = None
    took_over_ms: int = 0
    loaded: bool = False
    version: int | None = None

    def __attrs_post_init__(self) -> None:
        self.planner = ScalingPlanner(self.clock)

    def publish(self) -> None:
        """Publish this gateway's demand for scaled services if it has changed.

        A gateway without demand publishes that once, since the holder lowers no number before it
        knows the demand of all gateways.
        """
        services = self.services()
        if self.published is None and not services:
            return
        demand = {name: zones for name, zones in self.own_demand().items() if name in services}
        if demand != self.published:
            self.published = demand
            self.exchange.board.publish(DEMAND_TOPIC, demand)

    def subscription(self) -> frozenset[str]:
        """Return the topics that this gateway needs."""
        needed = self.holder.holds_lease() and self.services()
        return frozenset({DEMAND_TOPIC}) if needed else frozenset()

    def run(self) -> None:
        """Order servers forever."""
        while True:
            self.step()
            self.clock.sleep_ms(STEP_INTERVAL_MS)

    def step(self) -> None:
        """Run one step of ``run``."""
        services = self.services()
        if not self.holder.holds_lease() or not services:
            self.fence = None
            return
        if self.fence != self.holder.fence:
            self.fence = self.holder.fence
            self.took_over_ms = self.clock.now_ms()
            self.loaded = False
        if not self.loaded and not self._load():
            return
        if not self.holder.may_act() or not self._has_caught_up():
            return
        values = self.exchange.board.values(DEMAND_TOPIC)
        complete = len({origin.node for origin in values}) >= self.gateway_count()
        demands = zone_demands(sum_demands(values.values()))
        orders = self.planner.plan(services, demands, self.servers(), complete)
        fence = self.fence
        if orders and self._record(fence):
            for order in orders[:MAX_ORDERS_PER_STEP]:
                self._send(order, fence)

    def _has_caught_up(self) -> bool:
        """Return whether this holder has what can be had of the others' demands.

        Numbers don't fall before the demands of all gateways are known.
        """
        if self.clock.now_ms() - self.took_over_ms >= CATCH_UP_MS:
            return True
        received_ms = self.exchange.caught_up_ms.get(DEMAND_TOPIC)
        return received_ms is not None and received_ms >= self.took_over_ms

    def _load(self) -> bool:
        read = self.store.get(SCALING_KEY)
        if isinstance(read, Failure):
            self.log.warning("orders of servers not read", reason=str(read.failure()))
            return False
        self._adopt(read.unwrap())
        return self.loaded

    def _adopt(self, stored: StoredObject | None) -> None:
        self.loaded = True
        self.version = None if stored is None else stored.version
        if stored is None:
            return
        try:
            orders = decode_orders(stored.value, self.clock.now_ms(), self.time.unix_ms())
            used_fence, node = decode_sender(stored.value)
        except ValueError as error:
            # The listing shows the servers that run, so only those that start are not known.
            self.log.error("malformed orders of servers", error=str(error))
            return
        self.planner.restore(orders)
        own = (self.holder.fence, self.holder.node)
        if used_fence >= self.holder.fence and (used_fence, node) != own:
            # The lease object was deleted and began again with a lower fence.
            self.loaded = False
            self.holder.exceed_fence(used_fence)

    def _record(self, fence: int) -> bool:
        """Store the orders before they are sent, for a holder that follows; returns the success."""
        token = f"{self.rng.getrandbits(64):016x}"
        now_ms, unix_ms = self.clock.now_ms(), self.time.unix_ms()
        sender = (fence, self.holder.node)
        value = encode_orders(self.planner.orders, now_ms, unix_ms, token, sender)
        written = put_with_read_back(self.store, SCALING_KEY, value, self.version, token)
        if not isinstance(written, Failure):
            self.version = written.unwrap().version
            return True
        error = written.failure()
        # An order that was not recorded is not sent; the planner returns it again.
        self.log.warning("orders of servers not recorded", reason=str(error), fence=self.fence)
        if isinstance(error, VersionConflict | WriteAmbiguous):
            self.loaded = False
        return False

    def _send(self, order: ServerOrder, fence: int) -> None:
        answer = self.client.order_servers(
            duty_client.ServerOrder(order.service, order.zone, order.desired),
            self.holder.node,
            fence,
            lambda: self._may_send(fence),
        )
        self.measures.count("server_orders", answer.value)
        self.log.info(
            "servers ordered",
            service=order.service,
            zone=order.zone,
            desired=order.desired,
            former=order.former,
            demand=round(order.demand, 2),
            reason=order.reason,
            answer=answer.value,
            fence=fence,
        )
        if answer in (DutyAnswer.DONE, DutyAnswer.REFUSED):
            self.planner.record_answer(order)

    def _may_send(self, fence: int) -> bool:
        if not self.holder.may_act(fence):
            return False
        self.holder.record_act()
        return True
