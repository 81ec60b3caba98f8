"""What a gateway knows from the object API, and the tasks that keep it current."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from returns.result import Failure

from ..clock import Clock
from ..http_client import ConnectionPool
from ..logs import logger
from ..objects.api import ObjectStore, StoredObject
from ..objects.follow import FollowedPrefix
from ..weights.demand import DEMANDS_PREFIX, ModelDemands
from .catalog import Catalog
from .following import LONG_WAIT_MS, WATCH_WAIT_MS, Follower
from .orders import OrderDuty
from .peers import GATEWAYS_PREFIX, GatewayRegistry
from .sharing import Copy, Watchers
from .upstream_protocol import Listings
from .upstreams import UpstreamTable

# Other gateways are needed only when the object API is lost, so news of them may wait.
PEERS_WATCH_MS = 15_000
# Gateways that are restarted one after the other change the list each second.
PEERS_PAUSE_MS = 3_000
# The platform states that registrations which lapsed in an outage are back within about this time.
LAPSE_MS = 2_000

Changed = Callable[[dict[str, StoredObject], int], None]


@attrs.define
class ClusterState:
    """Hold the configuration and the upstreams; neither goes back while the process runs."""

    store: ObjectStore
    clock: Clock
    listings: Listings
    watchers: Watchers
    pool: ConnectionPool
    table: UpstreamTable = attrs.field(factory=UpstreamTable)
    catalog: Catalog | None = None
    listed: bool = False
    # Followers whose copies other gateways may have, by prefix.
    shared: dict[str, Follower] = attrs.field(factory=dict)
    confirmed: dict[str, bytes] = attrs.field(factory=dict)

    def complete(self) -> bool:
        """Return whether calls can be placed."""
        return self.catalog is not None and self.listed

    def followers(
        self, orders: OrderDuty, demands: ModelDemands, gateways: GatewayRegistry
    ) -> list[Follower]:
        """Return the tasks of one gateway; some have work only while it holds the orders lease."""
        listings = self.listings
        upstreams = self._shared(listings.upstreams_prefix, self._take_upstreams)
        upstreams.followed.lapse_ms = LAPSE_MS
        others = self._follower(GATEWAYS_PREFIX, gateways.apply_listing, PEERS_WATCH_MS)
        others.pause_ms = PEERS_PAUSE_MS
        duties = [
            self._follower(
                listings.versions_prefix,
                lambda objects, revision: self._take_versions(orders, objects, revision),
            ),
            self._follower(listings.evacuations_prefix, self._take_evacuations),
            self._follower(DEMANDS_PREFIX, demands.apply_listing),
        ]
        for duty in duties:
            duty.active = orders.holds_lease
        return [
            self._shared(listings.catalog_prefix, self._take_catalog),
            upstreams,
            others,
            *duties,
        ]

    def copy_of(self, prefix: str, token: str, wait_ms: int) -> Copy | None:
        """Return this gateway's copy of a shared prefix for another one."""
        follower = self.shared.get(prefix)
        return None if follower is None else follower.copy(token, wait_ms)

    def _follower(self, prefix: str, changed: Changed, wait_ms: int = LONG_WAIT_MS) -> Follower:
        followed = FollowedPrefix(self.store, prefix, clock=self.clock)
        return Follower(followed, self.clock, changed, logger("gateway"), wait_ms=wait_ms)

    def _shared(self, prefix: str, changed: Changed) -> Follower:
        """Follow what every gateway needs, by way of the gateways that watch it."""
        follower = self._follower(prefix, changed, WATCH_WAIT_MS)
        follower.watchers = self.watchers
        self.shared[prefix] = follower
        return follower

    def _take_catalog(self, objects: dict[str, StoredObject], revision: int) -> None:
        catalog = self.listings.catalog(objects)
        if catalog is None or (self.catalog and catalog.version <= self.catalog.version):
            return
        former = self.catalog.version if self.catalog else None
        self.catalog = catalog
        logger("gateway").info(
            "configuration in force",
            version=catalog.version,
            former=former,
            routes=len(catalog.routes),
            revision=revision,
        )

    def _take_upstreams(self, objects: dict[str, StoredObject], revision: int) -> None:
        records = self.listings.upstreams(objects)
        gone = self.table.replace(records, revision, self.clock.now_ms())
        self.listed = True
        for record in gone:
            self.pool.forget(record.address, record.incarnation)
        logger("gateway").info(
            "upstreams listed",
            revision=revision,
            upstreams=len(records),
            leaving=[record.instance for record in records if record.leaving],
            gone=[record.instance for record in gone],
        )

    def _take_versions(
        self, orders: OrderDuty, objects: dict[str, StoredObject], revision: int
    ) -> None:
        for model, version in self.listings.versions(objects).items():
            if orders.name_version(model, version):
                logger("orders").info(
                    "version named", model=model, version=version, revision=revision
                )

    def _take_evacuations(self, objects: dict[str, StoredObject], revision: int) -> None:
        for key, stored in objects.items():
            if self.confirmed.get(key) == stored.value:
                continue
            confirmed = self.listings.confirm_evacuation(key)
            if isinstance(confirmed, Failure):
                logger("gateway").warning(
                    "evacuation not confirmed", key=key, reason=str(confirmed.failure())
                )
                continue
            self.confirmed[key] = stored.value
            logger("gateway").info("evacuation confirmed", key=key, revision=revision)
