"""Routes, services and client limits from one configuration version."""

from __future__ import annotations

import enum
import random

import attrs

from ..accounts.model import AccountTable


class RouteKind(enum.StrEnum):
    """Kind of a route, which determines whether its requests may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


@attrs.frozen
class ServiceShare:
    """Weight of a service in the traffic split of a route."""

    service: str
    weight: int


@attrs.frozen(kw_only=True)
class Route:
    """A route from a host and path prefix to services; times are in ms, 0 means no limit."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: int
    objective_ms: int
    priority: int
    max_attempts: int
    resumable: bool = False
    # For batches, time after submission until all results are due, and until items may be given up.
    due_ms: int = 0
    give_up_ms: int = 0
    # Whether all tokens of a result must come from the same weight version.
    single_version: bool = False
    # Whether requests need no key, if the configuration has accounts.
    public: bool = False

    def repeatable(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self.kind is RouteKind.SAFE or self.resumable

    def has_service(self, service: str) -> bool:
        """Return whether requests may go to a service."""
        return any(share.service == service for share in self.shares)

    def choose_service(self, rng: random.Random) -> str:
        """Return the service for a request, picked at random by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@attrs.frozen(kw_only=True)
class ScalingLimits:
    """Least and greatest number of a service's servers in each zone, and their start time."""

    min: int
    max: int
    boot_s: float


@attrs.frozen(kw_only=True)
class Service:
    """A service; ``models`` is empty unless its upstreams are model engines."""

    name: str
    max_connections: int
    models: tuple[str, ...] = ()
    # None if the number of its servers is not changed.
    scaling: ScalingLimits | None = None


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Limits on request size and on the time a client may take to send a request or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@attrs.define
class Catalog:
    """Routes, services and limits of one configuration version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits
    # None if requests need no keys.
    accounts: AccountTable | None = None
    # Parts that can't be used and are left out, by their place in the configuration.
    findings: dict[str, Exception] = attrs.field(factory=dict, eq=False)
    by_host: dict[str, list[Route]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.by_host = {}
        for route in self.routes:
            self.by_host.setdefault(route.host, []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def match(self, host: str, target: str) -> Route | None:
        """Return the route of a host whose prefix is the longest match for the path."""
        path = target.partition("?")[0]
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def priority(self, route: Route, account: str) -> int:
        """Return the priority of an account's requests to a route; 0 is the highest."""
        known = self.accounts.named(account) if self.accounts is not None else None
        if known is None or known.priority is None:
            return route.priority
        return known.priority

    def has_public_batches(self, host: str) -> bool:
        """Return whether batches can be submitted at a host without a key."""
        for route in self.by_host.get(host, ()):
            if route.public and route.kind is RouteKind.BATCH:
                return True
        return False

    def batch_routes(self, model_service: str) -> list[Route]:
        """Return the batch routes that send requests to a service."""
        found = []
        for route in self.routes:
            if route.kind is not RouteKind.BATCH:
                continue
            if any(share.service == model_service for share in route.shares):
                found.append(route)
        return found
