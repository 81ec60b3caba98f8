"""What a gateway knows of the servers of scaled services and of its own demand for them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import attrs

from ..batches.dispatch import DEFAULT_EVENT_MS
from ..batches.owner import BatchOwner
from ..batches.routes import batch_route
from ..clock import MS_PER_SECOND, Clock
from ..duties.demand import ANY_ZONE, Demand, ServiceLoad, WaitingWork, own_demand
from ..duties.scaling import ServerState
from .catalog import Catalog, ScalingLimits, Service
from .load_balancing import DEFAULT_RESPONSE_MS
from .upstreams import UpstreamTable

# Time constant of the arrival rate: a few seconds, so that a burst counts while it lasts.
ARRIVALS_PERIOD_MS = 2_000
# Events of an item whose length is not known.
DEFAULT_EVENTS = 20.0


def scaled_services(catalog: Catalog | None) -> dict[str, ScalingLimits]:
    """Return the limits of the services whose number of servers may be changed."""
    if catalog is None:
        return {}
    found = {}
    for name, service in catalog.services.items():
        if service.scaling is not None:
            found[name] = service.scaling
    return found


def server_states(table: UpstreamTable, now_ms: int) -> list[ServerState]:
    """Return the listed servers; one that fails all its requests does not count as answering."""
    return [
        ServerState(
            instance=upstream.record.instance,
            service=upstream.record.service,
            zone=upstream.record.zone,
            slots=upstream.record.slots,
            answering=not (upstream.failures and upstream.backoff_until_ms > now_ms),
            leaving=upstream.record.leaving or upstream.announced_leaving,
        )
        for upstream in table.upstreams.values()
    ]


@attrs.define
class OwnDemand:
    """The demand of this gateway for the servers of scaled services."""

    clock: Clock
    zone: str
    table: UpstreamTable
    owner: BatchOwner
    # Number of calls that have arrived, by service.
    arrivals: Counter[str]
    # Arrivals per second by service, and the number and time of the last look.
    rates: dict[str, float] = attrs.field(factory=dict)
    seen: Counter[str] = attrs.field(factory=Counter)
    seen_ms: int | None = None

    def demand(self, catalog: Catalog | None) -> Demand:
        """Return the demand as gateways exchange it."""
        if catalog is None or not scaled_services(catalog):
            return {}
        self._update_rates()
        waiting = self._waiting_items(catalog)
        return own_demand(
            self._load(service, waiting.get(name, ()))
            for name, service in catalog.services.items()
            if service.scaling is not None
        )

    def _update_rates(self) -> None:
        now_ms = self.clock.now_ms()
        passed_ms = 0 if self.seen_ms is None else now_ms - self.seen_ms
        if passed_ms > 0:
            weight = min(1.0, passed_ms / ARRIVALS_PERIOD_MS)
            for service, number in self.arrivals.items():
                rate = (number - self.seen[service]) * MS_PER_SECOND / passed_ms
                known = self.rates.get(service, 0.0)
                self.rates[service] = known + weight * (rate - known)
        if passed_ms > 0 or self.seen_ms is None:
            self.seen, self.seen_ms = Counter(self.arrivals), now_ms

    def _waiting_items(self, catalog: Catalog) -> Mapping[str, list[WaitingWork]]:
        found: dict[str, list[WaitingWork]] = {}
        now_ms = self.clock.now_ms()
        for run in self.owner.runs.values():
            route = batch_route(catalog, run)
            if route is None:
                continue
            service = route.shares[0].service
            for item in run.waiting(route.priority, now_ms):
                events = self.owner.lengths.expected_events(service, item.expected_tokens)
                work = WaitingWork(
                    due_in_ms=max(1, item.due_ms - now_ms),
                    duration_ms=(events or DEFAULT_EVENTS) * DEFAULT_EVENT_MS,
                )
                found.setdefault(service, []).append(work)
        return found

    def _load(self, service: Service, waiting: list[WaitingWork] | tuple[()]) -> ServiceLoad:
        assert service.scaling is not None
        upstreams = self.table.available_for(service.name)
        in_flight: Counter[str] = Counter()
        for upstream in upstreams:
            in_flight[upstream.record.zone] += upstream.in_flight
        usual = [each.response_ms for each in upstreams if each.response_ms is not None]
        return ServiceLoad(
            service=service.name,
            # Items may run in any zone.
            zone=ANY_ZONE if service.models else self.zone,
            in_flight=in_flight,
            arrivals_per_s=round(self.rates.get(service.name, 0.0), 1),
            duration_ms=min(usual, default=DEFAULT_RESPONSE_MS),
            waiting=tuple(waiting),
            boot_ms=service.scaling.boot_s * MS_PER_SECOND,
        )
