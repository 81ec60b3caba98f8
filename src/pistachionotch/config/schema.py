"""Schema of the deployment's configuration, which has a revision and applies to every node.

Latencies are decimal milliseconds, since zones are 0.5 ms apart; they are estimates for placement
and never points in time. Durations that are measured with a clock are integers.
"""

from __future__ import annotations

import attrs

from ..outcomes import RequestClass
from .spec import (
    NAME,
    SHARE,
    FlagSpec,
    IntegerSpec,
    ListSpec,
    NumberSpec,
    TableSpec,
    TextSpec,
    enumeration,
    member,
    record_of,
)

METHOD = TextSpec(r"[A-Z]{1,20}", "an HTTP method in capitals")
ROUTE_PATH = TextSpec(r"/[!-~]{0,999}", "a path that starts with '/'")
DURATION_MS = IntegerSpec(1)
LATENCY_MS = NumberSpec(0)
MAX_REGIONS = 64  # every pair of regions needs a link
MIN_SUBSET = 2  # a subset spans at least two zones if there are two
REQUEST_CLASS = enumeration(RequestClass)


@attrs.frozen(kw_only=True)
class Region:
    """A region and its availability zones."""

    zones: tuple[str, ...] = member(ListSpec(NAME, minimum=1, distinct=True))


@attrs.frozen(kw_only=True)
class Link:
    """The link between two regions; the bandwidth is per direction."""

    between: tuple[str, ...] = member(ListSpec(NAME, minimum=2, distinct=True))
    one_way_latency_ms: float = member(LATENCY_MS)
    bandwidth_mbit_per_s: float = member(NumberSpec(0, above_minimum=True))


@attrs.frozen(kw_only=True)
class Network:
    """One-way latencies and the links between regions."""

    between_zones_latency_ms: float = member(LATENCY_MS)
    to_clients_latency_ms: float = member(LATENCY_MS)
    links: tuple[Link, ...] = member(ListSpec(record_of(Link)), ())

    def latency_ms(self, region: str, other: str) -> float:
        """Return the one-way latency between two regions, or within one region."""
        if region == other:
            return self.between_zones_latency_ms
        for link in self.links:
            if set(link.between) == {region, other}:
                return link.one_way_latency_ms
        raise KeyError((region, other))


@attrs.frozen(kw_only=True)
class Hedging:
    """When a second attempt is sent, and the share of requests that may have one."""

    after_percentile: float = member(NumberSpec(50, 100))
    budget: float = member(SHARE)


@attrs.frozen(kw_only=True)
class RequestClassSettings:
    """Settings of a request class; shares refer to the slots of each agent."""

    default_deadline_ms: int = member(DURATION_MS)
    reserved_share: float = member(SHARE, 0)
    max_share: float = member(NumberSpec(0, 1, above_minimum=True), 1)
    hedging: Hedging | None = member(record_of(Hedging), None)


@attrs.frozen(kw_only=True)
class Caller:
    """A group of callers, which retry no request after their retry horizon."""

    regions: tuple[str, ...] = member(ListSpec(NAME, minimum=1, distinct=True))
    request_class: RequestClass = member(REQUEST_CLASS)
    retry_horizon_ms: int = member(IntegerSpec(0))


@attrs.frozen(kw_only=True)
class Rollout:
    """Limits on how many engines of one zone load new weights at the same time."""

    target_ms: int = member(DURATION_MS, 28_000)
    max_unavailable_share: float = member(NumberSpec(0, 1, above_minimum=True))
    weight_store_loads_per_s: float = member(NumberSpec(0, above_minimum=True))


@attrs.frozen(kw_only=True)
class Model:
    """Settings for the engines of one model."""

    default_class: RequestClass = member(REQUEST_CLASS)
    staleness_bound: int = member(IntegerSpec(1))
    concurrency: int = member(IntegerSpec(1))
    expected_tokens_per_s: float = member(NumberSpec(0, above_minimum=True))
    retry_budget: float = member(SHARE)
    checks_fences: bool = member(FlagSpec(), False)
    rollout: Rollout = member(record_of(Rollout))


@attrs.frozen(kw_only=True)
class Route:
    """Settings for the calls to a path and to the paths below it."""

    path: str = member(ROUTE_PATH)
    methods: tuple[str, ...] = member(ListSpec(METHOD, minimum=1, distinct=True))
    idempotent: bool = member(FlagSpec())
    request_class: RequestClass | None = member(REQUEST_CLASS, None)
    deadline_ms: int | None = member(DURATION_MS, None)


@attrs.frozen(kw_only=True)
class Service:
    """Settings for the upstreams of one plain service."""

    default_class: RequestClass = member(REQUEST_CLASS)
    concurrency: int = member(IntegerSpec(1))
    retry_budget: float = member(SHARE)
    routes: tuple[Route, ...] = member(ListSpec(record_of(Route)), ())


@attrs.frozen(kw_only=True)
class Intervals:
    """Intervals of periodic tasks."""

    heartbeat_ms: int = member(IntegerSpec(100, 60_000), 2_000)
    config_watch_ms: int = member(IntegerSpec(1_000, 300_000), 30_000)
    vm_list_poll_ms: int = member(IntegerSpec(100, 60_000), 1_000)


@attrs.frozen(kw_only=True)
class Leases:
    """The time to live of leases; a holder stops using its lease ``margin_ms`` before the end."""

    time_to_live_ms: int = member(DURATION_MS, 10_000)
    margin_ms: int = member(IntegerSpec(0), 2_000)


@attrs.frozen(kw_only=True)
class Subset:
    """The number of agents that an entry connects to."""

    size: int = member(IntegerSpec(MIN_SUBSET), 80)


@attrs.frozen(kw_only=True)
class Claims:
    """How long the record of a non-idempotent call is kept."""

    retention_ms: int = member(DURATION_MS)


@attrs.frozen(kw_only=True)
class Configuration:
    """The settings that all nodes of a deployment share."""

    deployment: str = member(NAME)
    regions: dict[str, Region] = member(
        TableSpec(record_of(Region), minimum=1, maximum=MAX_REGIONS)
    )
    object_api_region: str = member(NAME)
    network: Network = member(record_of(Network))
    classes: dict[RequestClass, RequestClassSettings] = member(
        TableSpec(record_of(RequestClassSettings), keys=REQUEST_CLASS, minimum=1)
    )
    callers: dict[str, Caller] = member(TableSpec(record_of(Caller)), factory=dict)
    models: dict[str, Model] = member(TableSpec(record_of(Model)), factory=dict)
    services: dict[str, Service] = member(TableSpec(record_of(Service)), factory=dict)
    intervals: Intervals = member(record_of(Intervals), factory=Intervals)
    leases: Leases = member(record_of(Leases), factory=Leases)
    subset: Subset = member(record_of(Subset), factory=Subset)
    claims: Claims = member(record_of(Claims))


CONFIGURATION = record_of(Configuration)
