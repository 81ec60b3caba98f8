"""Validation of a whole configuration, which reports all findings with their places.

A cross-check runs only if the sections that it compares were read without findings. Otherwise a
misspelt region name would be reported again wherever the region is used.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, TypeAlias

from returns.result import Failure, Result

from ..findings import Finding
from ..outcomes import RequestClass
from .document import parse_and_build
from .located import Located, decode_text
from .reading import Reading, ValuePath, read_members
from .schema import CONFIGURATION, Configuration, Model, Route, Service

MAX_LEAVING_MS = 3_000  # guarantee 7: a leaving upstream gets no new work after this
LEASE_RENEWAL_INTERVAL_MS = 1_000  # a holder checks and renews its lease once a second
SHORT_CLASSES = (RequestClass.STOREFRONT, RequestClass.CONFIRMATION)

Problem: TypeAlias = tuple[ValuePath, str]
CrossCheck: TypeAlias = Callable[[Configuration], Iterator[Problem]]


def check(text: str, file: str) -> Result[Configuration, tuple[Finding, ...]]:
    """Return the configuration that ``text`` describes, or all findings."""
    return parse_and_build(text, file, _build)


def read_configuration(body: bytes, file: str) -> Result[Configuration, tuple[Finding, ...]]:
    """Return the configuration of a stored revision, or all findings."""
    text = decode_text(body, file)
    if isinstance(text, Failure):
        return Failure(text.failure())
    return check(text.unwrap(), file)


def _build(located: Located, reading: Reading) -> Configuration | None:
    reading.places[()] = located.place
    if not isinstance(located.value, dict):
        reading.findings.add(located.place, "a configuration is an object")
        return None
    values = read_members(CONFIGURATION, located, (), reading)
    configuration = _partial_configuration(values)
    for cross_check, sections in _CROSS_CHECKS:
        if not values.keys() >= set(sections):
            continue
        for path, message in cross_check(configuration):
            reading.findings.add(reading.place_of(path), message)
    return None if reading.findings else configuration


def _partial_configuration(values: dict[str, Any]) -> Configuration:
    """Construct a configuration for the cross-checks, in which rejected sections are None."""
    return Configuration(**{name: values.get(name) for name in CONFIGURATION.fields})  # type: ignore[arg-type]


def _check_zones(configuration: Configuration) -> Iterator[Problem]:
    region_of: dict[str, str] = {}
    for name, region in configuration.regions.items():
        for index, zone in enumerate(region.zones):
            first = region_of.setdefault(zone, name)
            if first != name:
                yield ("regions", name, "zones", index), f"zone '{zone}' is also in '{first}'"


def _check_object_api_region(configuration: Configuration) -> Iterator[Problem]:
    region = configuration.object_api_region
    if region not in configuration.regions:
        yield ("object_api_region",), f"unknown region '{region}'"


def _check_links(configuration: Configuration) -> Iterator[Problem]:
    seen: set[frozenset[str]] = set()
    for index, link in enumerate(configuration.network.links):
        path: ValuePath = ("network", "links", index, "between")
        pair = frozenset(link.between)
        if len(pair) != 2:
            yield path, "a link is between two regions"
            continue
        for end, region in enumerate(link.between):
            if region not in configuration.regions:
                yield (*path, end), f"unknown region '{region}'"
        if pair in seen:
            yield path, f"second link between {' and '.join(sorted(pair))}"
        seen.add(pair)
    yield from _missing_links(sorted(configuration.regions), seen)


def _missing_links(regions: list[str], seen: set[frozenset[str]]) -> Iterator[Problem]:
    for index, region in enumerate(regions):
        for other in regions[index + 1 :]:
            if frozenset((region, other)) not in seen:
                yield ("network", "links"), f"no link between {region} and {other}"


def _check_shares(configuration: Configuration) -> Iterator[Problem]:
    total = 0.0
    for name, settings in configuration.classes.items():
        total += settings.reserved_share
        if settings.reserved_share > 0 and name not in SHORT_CLASSES:
            path = ("classes", str(name), "reserved_share")
            yield path, f"slots are reserved for {' and '.join(SHORT_CLASSES)} only"
        if settings.max_share < 1 and name is not RequestClass.LONG:
            yield ("classes", str(name), "max_share"), "only class 'long' can be limited to a share"
    if total > 1 + 1e-9:  # decimal shares such as 0.7, 0.2 and 0.1 add up to slightly above 1
        yield ("classes",), f"the reserved shares add up to {total:g}, which is above 1"


def _check_class_deadlines(configuration: Configuration) -> Iterator[Problem]:
    needed = _slowest_round_trip_ms(configuration)
    for name, settings in configuration.classes.items():
        if settings.default_deadline_ms <= needed:
            path = ("classes", str(name), "default_deadline_ms")
            yield path, _deadline_message(settings.default_deadline_ms, needed)


def _check_route_deadlines(configuration: Configuration) -> Iterator[Problem]:
    needed = _slowest_round_trip_ms(configuration)
    for path, route in _routes(configuration):
        if route.deadline_ms is not None and route.deadline_ms <= needed:
            yield (*path, "deadline_ms"), _deadline_message(route.deadline_ms, needed)


def _slowest_round_trip_ms(configuration: Configuration) -> float:
    network = configuration.network
    links = [link.one_way_latency_ms for link in network.links]
    slowest = max([network.between_zones_latency_ms, *links])
    return 2 * (network.to_clients_latency_ms + slowest)


def _deadline_message(deadline_ms: int, needed_ms: float) -> str:
    return f"deadline of {deadline_ms} ms is not above the slowest round trip of {needed_ms:g} ms"


def _routes(configuration: Configuration) -> Iterator[tuple[ValuePath, Route]]:
    for name, service in configuration.services.items():
        for index, route in enumerate(service.routes):
            yield ("services", name, "routes", index), route


def _check_routes(configuration: Configuration) -> Iterator[Problem]:
    seen: set[tuple[Any, ...]] = set()
    for path, route in _routes(configuration):
        for index, method in enumerate(route.methods):
            call = (path[1], route.path, method)
            if call in seen:
                where = (*path, "methods", index)
                yield where, f"{method} {route.path} is declared by an earlier route"
            seen.add(call)


def _check_class_names(configuration: Configuration) -> Iterator[Problem]:
    for name, caller in configuration.callers.items():
        if caller.request_class not in configuration.classes:
            yield ("callers", name, "request_class"), _missing_class_message(caller.request_class)
    groups: tuple[tuple[str, dict[str, Model] | dict[str, Service]], ...] = (
        ("models", configuration.models),
        ("services", configuration.services),
    )
    for section, group in groups:
        for name, settings in group.items():
            if settings.default_class not in configuration.classes:
                yield (section, name, "default_class"), _missing_class_message(
                    settings.default_class
                )
    for path, route in _routes(configuration):
        if route.request_class is not None and route.request_class not in configuration.classes:
            yield (*path, "request_class"), _missing_class_message(route.request_class)


def _missing_class_message(name: str) -> str:
    return f"request class '{name}' has no entry in 'classes'"


def _check_callers(configuration: Configuration) -> Iterator[Problem]:
    for name, caller in configuration.callers.items():
        for index, region in enumerate(caller.regions):
            if region not in configuration.regions:
                yield ("callers", name, "regions", index), f"unknown region '{region}'"


def _check_retention(configuration: Configuration) -> Iterator[Problem]:
    """Require more than horizon plus deadline: the last retry may wait that long for its agent."""
    retention = configuration.claims.retention_ms
    for name, caller in configuration.callers.items():
        needed = caller.retry_horizon_ms
        if caller.request_class in configuration.classes:
            needed += configuration.classes[caller.request_class].default_deadline_ms
        if retention <= needed:
            message = (
                f"retention of {retention} ms is not above {needed} ms, the retry horizon and"
                f" deadline of '{name}', whose late retry would run again"
            )
            yield ("claims", "retention_ms"), message


def _check_leases(configuration: Configuration) -> Iterator[Problem]:
    leases = configuration.leases
    usable = leases.time_to_live_ms - leases.margin_ms
    if usable < 2 * LEASE_RENEWAL_INTERVAL_MS:
        message = f"only {usable} ms are left after the margin; two renewals need 2000 ms"
        yield ("leases", "time_to_live_ms"), message


def _check_intervals(configuration: Configuration) -> Iterator[Problem]:
    poll = configuration.intervals.vm_list_poll_ms
    if poll >= MAX_LEAVING_MS:
        message = f"{poll} ms is not below the bound of {MAX_LEAVING_MS} ms for leaving upstreams"
        yield ("intervals", "vm_list_poll_ms"), message


def _check_upstreams(configuration: Configuration) -> Iterator[Problem]:
    if not configuration.models and not configuration.services:
        yield (), "neither 'models' nor 'services' has an entry"


_CROSS_CHECKS: tuple[tuple[CrossCheck, tuple[str, ...]], ...] = (
    (_check_zones, ("regions",)),
    (_check_object_api_region, ("regions", "object_api_region")),
    (_check_links, ("regions", "network")),
    (_check_shares, ("classes",)),
    (_check_class_deadlines, ("classes", "network")),
    (_check_route_deadlines, ("services", "network")),
    (_check_routes, ("services",)),
    (_check_class_names, ("classes", "callers", "models", "services")),
    (_check_callers, ("regions", "callers")),
    (_check_retention, ("callers", "claims", "classes")),
    (_check_leases, ("leases",)),
    (_check_intervals, ("intervals",)),
    (_check_upstreams, ("models", "services")),
)
