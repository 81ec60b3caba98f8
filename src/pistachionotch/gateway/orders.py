"""Orders to engines to load new weights, sent by the gateway that holds the orders lease."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import gevent

from ..clock import Clock
from ..http_client import ExchangeError
from ..limits.pacer import PermitWant
from ..malformed import MALFORMED
from ..measures import Measures
from ..weights.assignment import AnnouncedVersion, EngineWeights, WeightLoad, plan_loads
from ..weights.demand import ModelDemands
from .catalog import Catalog
from .duty_holder import DutyHolder, DutyLease
from .exchange import UpstreamClient
from .upstream_protocol import (
    EngineReport,
    LoadOrder,
    OrderAnswer,
    UpstreamProtocol,
    UpstreamRequest,
)
from .upstreams import Upstream, UpstreamTable

PLAN_INTERVAL_MS = 100
# Timeout of report and order requests.
CONTROL_TIMEOUT_MS = 800
# Maximum size of a report or of the answer to an order; many engines are asked at once.
MAX_CONTROL_BYTES = 256 * 1024
# Loading weights takes 0.9 s. The first check comes after that, further ones at short intervals.
FIRST_LOAD_CHECK_MS = 900
LOAD_CHECK_INTERVAL_MS = 250
# A load that takes longer is left to the next planning round.
LOAD_TIMEOUT_MS = 4_000
# At a rate-limited engine, an order and the report before it precede all other requests: without
# the new weights, the engine is of no use to the next step. The reports that follow are optional,
# since responses to items show the version too.
ORDER_WANT = PermitWant(urgency=-1, max_wait_ms=2_000)
CHECK_WANT = PermitWant(urgency=100, max_wait_ms=200)
# Pause before the next order to an engine that did not accept or answer one.
ORDER_RETRY_MS = 600
# Version that engines start with before a trainer announces one.
INITIAL_VERSION = AnnouncedVersion(version=1, announced_ms=0)


@attrs.define
class OrderDuty:
    """Task that updates the engines to the weight versions announced by trainers."""

    clock: Clock
    holder: DutyHolder
    table: UpstreamTable
    client: UpstreamClient
    protocol: UpstreamProtocol
    catalog: Callable[[], Catalog | None]
    demands: ModelDemands
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    announced_versions: dict[str, AnnouncedVersion] = attrs.field(factory=dict)
    loading: set[str] = attrs.field(factory=set)
    paused_until_ms: dict[str, int] = attrs.field(factory=dict)

    @property
    def lease(self) -> DutyLease:
        """Return the lease that permits orders."""
        return self.holder.lease

    def holds_lease(self) -> bool:
        """Return whether this process holds the lease, even if it may not send orders yet."""
        return self.holder.holds_lease()

    def run(self) -> None:
        """Send orders forever."""
        while True:
            if self.holder.may_order():
                self.order_loads()
            self.clock.sleep_ms(PLAN_INTERVAL_MS)

    def record_announced_version(self, model: str, version: int) -> bool:
        """Record a version announced by a trainer; returns whether it is new."""
        if version <= self.announced_versions.get(model, INITIAL_VERSION).version:
            return False
        self.announced_versions[model] = AnnouncedVersion(
            version=version, announced_ms=self.clock.now_ms()
        )
        return True

    def order_loads(self) -> None:
        """Start a load on each engine that is due for a new version."""
        catalog = self.catalog()
        if catalog is None:
            return
        now_ms = self.clock.now_ms()
        for service in catalog.services.values():
            if not service.models:
                continue
            named = {
                model: self.announced_versions.get(model, INITIAL_VERSION)
                for model in service.models
            }
            keep_running = not any(
                route.single_version for route in catalog.batch_routes(service.name)
            )
            engines = [_weights(u, named) for u in self.table.usable_for(service.name)]
            paused = {name for name, until_ms in self.paused_until_ms.items() if until_ms > now_ms}
            for load in plan_loads(
                engines, named, self.loading | paused, now_ms, self.demands.tokens
            ):
                self.loading.add(load.instance)
                gevent.spawn(self._load, load, keep_running)

    def _load(self, load: WeightLoad, keep_running: bool) -> None:
        try:
            upstream = self.table.upstreams.get(load.instance)
            if upstream is None:
                return
            if not self._order(upstream, load, keep_running):
                self.paused_until_ms[load.instance] = self.clock.now_ms() + ORDER_RETRY_MS
        finally:
            self.loading.discard(load.instance)

    def _order(self, upstream: Upstream, load: WeightLoad, keep_running: bool) -> bool:
        """Send one order and wait for the load; returns whether the load is confirmed."""
        report = self._report(upstream, ORDER_WANT)
        if report is None or report.busy:
            return False
        for model, version in report.versions.items():
            upstream.record_version(model, version)
        if upstream.version(load.model) >= load.version:
            return True
        order = LoadOrder(
            model=load.model,
            version=load.version,
            keep_running=keep_running,
            holder=self.holder.node,
            fence=self.lease.fence,
            expected_orders=report.orders,
        )
        if not self.holder.may_order(order.fence):
            return False
        self.holder.record_act()
        answer = self._send(upstream, order)
        self.measures.count("orders", answer.value if answer is not None else "no answer")
        self.log.info(
            "weights ordered",
            upstream=load.instance,
            model=load.model,
            version=load.version,
            former=upstream.version(load.model),
            fence=order.fence,
            expected_orders=order.expected_orders,
            listing=self.table.revision,
            answer=answer.value if answer is not None else "none",
        )
        if answer not in (OrderAnswer.ACCEPTED, OrderAnswer.HOLDS_ALREADY):
            return False
        return self._wait_loaded(upstream, load)

    def _wait_loaded(self, upstream: Upstream, load: WeightLoad) -> bool:
        started_ms = self.clock.now_ms()
        self.clock.sleep_ms(FIRST_LOAD_CHECK_MS)
        while self.clock.now_ms() - started_ms < LOAD_TIMEOUT_MS:
            if upstream.version(load.model) >= load.version:
                return True
            report = self._report(upstream, CHECK_WANT)
            if report is not None and report.versions.get(load.model, 0) >= load.version:
                upstream.record_version(load.model, report.versions[load.model])
                return True
            self.clock.sleep_ms(LOAD_CHECK_INTERVAL_MS)
        self.log.warning(
            "weights not loaded", upstream=load.instance, model=load.model, version=load.version
        )
        return False

    def _report(self, upstream: Upstream, want: PermitWant) -> EngineReport | None:
        request = self.protocol.report_request(upstream.record.instance)
        request = attrs.evolve(request, want=want)
        reply = self._exchange(upstream, request)
        if reply is None or reply[0] != 200:
            return None
        try:
            return self.protocol.read_report(reply[1])
        except MALFORMED as error:
            self.log.warning(
                "malformed report", upstream=upstream.record.instance, error=repr(error)
            )
            return None

    def _send(self, upstream: Upstream, order: LoadOrder) -> OrderAnswer | None:
        request = self.protocol.order_request(upstream.record.instance, order)
        request = attrs.evolve(request, want=ORDER_WANT)
        # The lease may expire while the connection is being established.
        reply = self._exchange(upstream, request, lambda: self.holder.may_order(order.fence))
        return None if reply is None else self.protocol.read_order_answer(reply[0])

    def _exchange(
        self,
        upstream: Upstream,
        request: UpstreamRequest,
        may_send: Callable[[], bool] | None = None,
    ) -> tuple[int, bytes] | None:
        """Return status and body; with ``may_send``, send once.

        An order follows a report on the same connection a moment later, so the upstream hardly ever
        closes it in between. An order that is lost that way is sent again like any without answer.
        """
        exchange = None
        try:
            exchange = self.client.send_request(
                upstream, request, CONTROL_TIMEOUT_MS, may_send is None, may_send, reuse=True
            )
            body = exchange.connection.read_body(CONTROL_TIMEOUT_MS, MAX_CONTROL_BYTES)
            self.client.release(exchange)
            return exchange.response.head.status, body
        except ExchangeError as error:
            if exchange is not None:
                exchange.connection.close()
            self.log.warning(
                "control request failed",
                upstream=upstream.record.instance,
                target=request.target,
                reason=error.reason,
            )
            return None


def _weights(upstream: Upstream, named: dict[str, AnnouncedVersion]) -> EngineWeights:
    record = upstream.record
    return EngineWeights(
        instance=record.instance,
        zone=record.zone,
        versions={model: upstream.version(model) for model in named},
    )
