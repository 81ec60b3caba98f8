"""State that a gateway reads from the object API, and the tasks that keep it current."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure

from ..clock import Clock
from ..http_client import ConnectionPool
from ..logs import logger
from ..objects.api import ObjectStore, StoredObject
from ..objects.cache import ObjectCache
from ..weights.demand import DEMANDS_PREFIX, ModelDemands
from .catalog import Catalog
from .following import LONG_WAIT_MS, WATCH_WAIT_MS, Follower
from .listing_age import ListingAge
from .orders import OrderDuty
from .peers import GATEWAYS_PREFIX, GatewayRegistry
from .sharing import ListingCopy, Watchers
from .upstream_protocol import Listings
from .upstreams import UpstreamRecord, UpstreamTable

# Other gateways are only needed while the object API is unreachable, so changes may arrive late.
GATEWAYS_WATCH_MS = 15_000
# A rolling restart of gateways changes this listing every second.
GATEWAYS_PAUSE_MS = 3_000
# According to the platform, registrations that lapsed in an outage are back within about this time.
DELETION_GRACE_MS = 2_000

OnChange = Callable[[dict[str, StoredObject], int], None]


@attrs.define
class ClusterState:
    """The current configuration and upstreams; neither reverts to an older state."""

    store: ObjectStore
    clock: Clock
    listings: Listings
    watchers: Watchers
    pool: ConnectionPool
    table: UpstreamTable = attrs.field(factory=UpstreamTable)
    catalog: Catalog | None = None
    upstreams_listed: bool = False
    # Followers whose copies are served to other gateways, by prefix.
    shared: dict[str, Follower] = attrs.field(factory=dict)
    gateways_follower: Follower | None = None
    confirmed_evacuations: dict[str, bytes] = attrs.field(factory=dict)
    # Called after a change of the configuration or of the upstreams.
    changed: Callable[[], Any] = lambda: None
    # Called with the registrations that ended.
    removed: Callable[[list[UpstreamRecord]], Any] = lambda _records: None
    listing_age: ListingAge = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.listing_age = ListingAge(self.clock)
        self.table.is_current = self.listing_age.current

    def complete(self) -> bool:
        """Return whether both the configuration and the upstreams are known."""
        return self.catalog is not None and self.upstreams_listed

    def followers(
        self, orders: OrderDuty, demands: ModelDemands, gateways: GatewayRegistry
    ) -> list[Follower]:
        """Return the followers to run; some are only active while this gateway holds the lease."""
        listings = self.listings
        upstreams = self._shared_follower(listings.upstreams_prefix, self._apply_upstreams)
        upstreams.object_cache.deletion_grace_ms = DELETION_GRACE_MS
        upstreams.age = self.listing_age
        other_gateways = self._follower(GATEWAYS_PREFIX, gateways.apply_listing, GATEWAYS_WATCH_MS)
        other_gateways.pause_ms = GATEWAYS_PAUSE_MS
        self.gateways_follower = other_gateways
        duties = [
            self._follower(
                listings.versions_prefix,
                lambda objects, revision: self._apply_versions(orders, objects, revision),
            ),
            self._follower(listings.evacuations_prefix, self._confirm_evacuations),
            self._follower(DEMANDS_PREFIX, demands.apply_listing),
        ]
        for duty in duties:
            duty.active = orders.holds_lease
        catalog = self._shared_follower(listings.catalog_prefix, self._apply_catalog)
        catalog.pauses = self.listing_age
        return [
            catalog,
            upstreams,
            other_gateways,
            *duties,
        ]

    def copy_of(self, prefix: str, token: str, wait_ms: int) -> ListingCopy | None:
        """Return a copy of a shared prefix for another gateway."""
        follower = self.shared.get(prefix)
        return None if follower is None else follower.copy(token, wait_ms)

    def gateways_listed_ms(self) -> int | None:
        """Return when the list of the gateways was last known to be current, None before that."""
        follower = self.gateways_follower
        return None if follower is None else follower.current_ms

    def upstreams_listed_ms(self) -> int | None:
        """Return when the list of the upstreams was last known to be current."""
        follower = self.shared.get(self.listings.upstreams_prefix)
        return None if follower is None else follower.current_ms

    def catalog_listed_ms(self) -> int | None:
        """Return when the configuration was last known to be current."""
        follower = self.shared.get(self.listings.catalog_prefix)
        return None if follower is None else follower.current_ms

    def wake_copies(self) -> None:
        """Answer the waiting requests for copies of the upstreams, which carry the rate limits."""
        follower = self.shared.get(self.listings.upstreams_prefix)
        if follower is not None:
            follower.wake()

    def _follower(self, prefix: str, changed: OnChange, wait_ms: int = LONG_WAIT_MS) -> Follower:
        object_cache = ObjectCache(self.store, prefix, clock=self.clock)
        return Follower(object_cache, self.clock, changed, logger("gateway"), wait_ms=wait_ms)

    def _shared_follower(self, prefix: str, changed: OnChange) -> Follower:
        """Return a follower of a prefix that every gateway needs and gets from the watchers."""
        follower = self._follower(prefix, changed, WATCH_WAIT_MS)
        follower.watchers = self.watchers
        self.shared[prefix] = follower
        return follower

    def _apply_catalog(self, objects: dict[str, StoredObject], revision: int) -> None:
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
        self.changed()

    def _apply_upstreams(self, objects: dict[str, StoredObject], revision: int) -> None:
        records = self.listings.upstreams(objects)
        gone = self.table.replace(records, revision, self.clock.now_ms())
        self.upstreams_listed = True
        self.removed(gone)
        for record in gone:
            self.pool.forget(record.address, record.incarnation)
            self._check_software(record)
        logger("gateway").info(
            "upstreams listed",
            revision=revision,
            upstreams=len(records),
            leaving=[record.instance for record in records if record.leaving],
            gone=[record.instance for record in gone],
            software=sorted({f"{each.service} {each.software}" for each in records}),
        )
        self.changed()

    def _check_software(self, former: UpstreamRecord) -> None:
        """Log a registration whose software version has changed without a restart."""
        upstream = self.table.upstreams.get(former.instance)
        if upstream is None or upstream.record.started_ms != former.started_ms:
            return
        logger("gateway").warning(
            "software version changed without a restart",
            upstream=former.instance,
            software=upstream.record.software,
            former=former.software,
        )

    def _apply_versions(
        self, orders: OrderDuty, objects: dict[str, StoredObject], revision: int
    ) -> None:
        for model, version in self.listings.versions(objects).items():
            if orders.record_announced_version(model, version):
                logger("orders").info(
                    "weight version announced", model=model, version=version, revision=revision
                )

    def _confirm_evacuations(self, objects: dict[str, StoredObject], revision: int) -> None:
        for key, stored in objects.items():
            if self.confirmed_evacuations.get(key) == stored.value:
                continue
            confirmed = self.listings.confirm_evacuation(key)
            if isinstance(confirmed, Failure):
                logger("gateway").warning(
                    "evacuation not confirmed", key=key, reason=str(confirmed.failure())
                )
                continue
            self.confirmed_evacuations[key] = stored.value
            logger("gateway").info("evacuation confirmed", key=key, revision=revision)
