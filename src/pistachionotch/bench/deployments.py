"""The two deployments of the design page at today's sizes, as the benchmark models them."""

from __future__ import annotations

import attrs

from ..outcomes import RequestClass

ENGINE_POOL = "engine"
SERVICE_POOL = "service"


@attrs.frozen
class Site:
    """Name a zone and its region, with the upstreams in it."""

    zone: str
    region: str
    engines: int
    services: int


@attrs.frozen
class EngineShares:
    """Divide the offered engine load by kind of work."""

    short: float
    training: float
    long: float


@attrs.frozen
class Deployment:
    """Describe one deployment; latencies are one way and in whole milliseconds."""

    name: str
    sites: tuple[Site, ...]
    shares: EngineShares
    trainers: int
    zone_ms: int
    region_ms: int
    client_ms: int
    service_classes: tuple[RequestClass, ...]

    def upstreams(self, pool: str) -> int:
        """Return the number of upstreams in a pool."""
        if pool == ENGINE_POOL:
            return sum(site.engines for site in self.sites)
        return sum(site.services for site in self.sites)


# The design page's 0.5 ms and 1.5 ms between zones are rounded up to whole milliseconds.
BITUIN = Deployment(
    name="bituin",
    sites=(
        Site("cebu", "visayas", 2, 1),
        Site("iloilo", "visayas", 2, 1),
        Site("manila", "luzon", 2, 1),
    ),
    shares=EngineShares(short=0.30, training=0.50, long=0.20),
    trainers=2,
    zone_ms=1,
    region_ms=12,
    client_ms=3,
    service_classes=(RequestClass.STOREFRONT,),
)
FURAO = Deployment(
    name="furao",
    sites=(
        Site("recife-a", "recife", 2, 1),
        Site("recife-b", "recife", 2, 1),
        Site("fortaleza-a", "fortaleza", 2, 1),
    ),
    shares=EngineShares(short=0.10, training=0.75, long=0.15),
    trainers=3,
    zone_ms=2,
    region_ms=12,
    client_ms=1,
    service_classes=(RequestClass.STOREFRONT, RequestClass.CONFIRMATION),
)
DEPLOYMENTS = (BITUIN, FURAO)
