"""Gateway daemon: wires the tasks of a gateway together and drains them."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable
from typing import Any

import attrs
import gevent
from gevent.pywsgi import WSGIServer
from returns.result import Failure

from ..batches.cleanup import PERIOD_MS, BatchCleaner
from ..batches.items import ItemRunner
from ..batches.model import Owner
from ..batches.owner import BatchOwner
from ..batches.peers import PeerApp, PeerClient
from ..batches.service import BatchService, unix_ms
from ..clock import MS_PER_SECOND, SystemClock
from ..http_client import ConnectionPool
from ..lease.lease import Lease
from ..lease.reading import LeaseReads
from ..logs import logger
from ..measures import Measures
from ..metrics import METRICS_MEDIA_TYPE, render_metrics
from ..objects.api import ObjectStore, StoredObject
from ..objects.follow import FollowedPrefix
from ..objects.relay import RelayedStore
from ..server import make_server
from ..weights.demand import DEMANDS_PREFIX, Demands
from .calls import CallForwarder
from .catalog import Catalog
from .dialect import Listings, UpstreamDialect
from .exchange import UpstreamClient
from .following import LONG_WAIT_MS, WATCH_WAIT_MS, Follower
from .orders import OrderDuty
from .peers import GATEWAYS_PREFIX, Gateways, PeerInterface
from .settings import GatewaySettings
from .sharing import CopiesApp, Copy, Watchers
from .upstreams import UpstreamTable

# The platform asks once a second and takes a process out after two misses.
BALANCER_NOTICE_MS = 2_500
# Part of the grace time that is left for the last answers and the release of duties.
DRAIN_RESERVE_MS = 1_500
DRAIN_POLL_MS = 50
# Longest wait for the object API when batches and the lease are handed over.
RELEASE_LIMIT_MS = 1_500
# Without a holder no weights change, and a trainer asks for a new version every few seconds.
LEASE_TTL_MS = 3_000
# Other gateways are needed only when the object API is lost, so news of them may wait.
PEERS_WATCH_MS = 15_000
REGISTER_RETRY_MS = 1_000
# All waiting gateways together look at the lease about this often; a lapsed one is then taken over
# little later than its time to live.
LEASE_READ_SHARE_MS = 300
IngressFactory = Callable[["GatewayDaemon"], Any]


@attrs.define
class GatewayDaemon:
    """Run one gateway."""

    settings: GatewaySettings
    direct_store: ObjectStore
    pool: ConnectionPool
    dialect: UpstreamDialect
    listings: Listings
    make_ingress: IngressFactory
    readiness_path: str
    clock: SystemClock = attrs.field(factory=SystemClock)
    rng: random.Random = attrs.field(factory=lambda: random.Random(secrets.randbits(64)))
    table: UpstreamTable = attrs.field(factory=UpstreamTable)
    catalog: Catalog | None = None
    listed: bool = False
    state: str = "starting"
    open_requests: int = 0
    # Whether a request that arrives now would be cut off.
    ended: bool = False
    confirmed: dict[str, bytes] = attrs.field(factory=dict)
    measures: Measures = attrs.field(factory=Measures)
    servers: list[WSGIServer] = attrs.field(factory=list)
    store: RelayedStore = attrs.field(init=False)
    gateways: Gateways = attrs.field(init=False)
    demands: Demands = attrs.field(init=False)
    watchers: Watchers = attrs.field(init=False)
    shared: dict[str, Follower] = attrs.field(factory=dict)
    client: UpstreamClient = attrs.field(init=False)
    forwarder: CallForwarder = attrs.field(init=False)
    owner: BatchOwner = attrs.field(init=False)
    batches: BatchService = attrs.field(init=False)
    orders: OrderDuty = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.client = UpstreamClient(self.clock, self.dialect, self.pool)
        self.forwarder = CallForwarder(
            self.clock,
            self.rng,
            settings.zone,
            settings.zone_regions,
            self.table,
            self.client,
            self.dialect,
            logger("calls"),
            self.measures,
        )
        me = Owner(
            node=settings.node, incarnation=secrets.token_hex(8), address=settings.listen_peers
        )
        self.store = RelayedStore(
            self.direct_store,
            self.pool,
            self.clock,
            self.rng,
            logger("objects"),
            lambda: self.gateways.others(),
            self.measures,
        )
        self.demands = Demands(self.store, logger("orders"))
        self.gateways = Gateways(me, self.store, logger("gateway"))
        self.watchers = Watchers(
            settings.node,
            self.pool,
            self.clock,
            self.rng,
            lambda: self.gateways.addresses,
        )
        items = ItemRunner(self.clock, self.client, self.dialect, logger("items"))
        self.owner = BatchOwner(
            self.clock,
            self.rng,
            me,
            settings.region,
            settings.zone_regions,
            self.table,
            items,
            lambda: self.catalog,
            logger("batches"),
            self.measures,
        )
        self.batches = BatchService(
            self.clock,
            self.rng,
            me,
            self.store,
            settings.max_value_bytes,
            self.owner,
            PeerClient(self.pool),
            self.demands,
            lambda: self.watchers.addresses(),
            logger("batches"),
            self.measures,
        )
        self.orders = OrderDuty(
            self.clock,
            settings.node,
            self._lease(),
            settings.order_handover_ms,
            self.table,
            self.client,
            self.dialect,
            lambda: self.catalog,
            self.demands,
            logger("orders"),
            self.measures,
        )

    def _lease(self) -> Lease:
        reads = LeaseReads(self.store, self.clock)
        return Lease(
            self.store,
            self.clock,
            "orders",
            "all",
            self.settings.node,
            LEASE_TTL_MS,
            self.rng,
            reads,
            reclaims=True,
            waiting_ms=lambda: len(self.gateways.addresses) * LEASE_READ_SHARE_MS,
        )

    def start(self) -> None:
        """Start all tasks."""
        settings = self.settings
        assert settings.listen_clients is not None and settings.listen_probes is not None
        for address, application in (
            (settings.listen_clients, self.make_ingress(self)),
            (settings.listen_probes, self._serve_probe),
            (
                settings.listen_peers,
                PeerInterface(
                    PeerApp(self.batches, self.batches.me.incarnation),
                    CopiesApp(self._copy_of),
                    self.direct_store,
                ),
            ),
        ):
            server = make_server(address.host, address.port, application)
            server.start()
            self.servers.append(server)
        for task in (
            self._shared_follower(self.listings.catalog_prefix, self._take_catalog).run,
            self._shared_follower(self.listings.upstreams_prefix, self._take_upstreams).run,
            self._duty_follower(self.listings.versions_prefix, self._take_versions).run,
            self._duty_follower(self.listings.evacuations_prefix, self._take_evacuations).run,
            self._follower(GATEWAYS_PREFIX, self.gateways.take, PEERS_WATCH_MS).run,
            self._duty_follower(DEMANDS_PREFIX, self.demands.take).run,
            self._register,
            self._forget_batches,
            self._clean_batches,
            self._prune_gateways,
            self.owner.run,
            self.orders.keep_lease,
            self.orders.run,
        ):
            gevent.spawn(task)
        self.state = "serving"
        logger("gateway").info(
            "started",
            node=settings.node,
            zone=settings.zone,
            incarnation=self.batches.me.incarnation,
        )

    def _forget_batches(self) -> None:
        while True:
            self.clock.sleep_ms(PERIOD_MS)
            self.batches.forget(self.settings.batch_retention_ms)

    def _clean_batches(self) -> None:
        retention_ms = self.settings.batch_retention_ms
        cleaner = BatchCleaner(self.store, self.clock, unix_ms, retention_ms, logger("batches"))
        cleaner.run(self.orders.holds)

    def _register(self) -> None:
        while True:
            if not self.gateways.registered:
                self.gateways.register()
            self.clock.sleep_ms(REGISTER_RETRY_MS)

    def _prune_gateways(self) -> None:
        while True:
            self.clock.sleep_ms(PERIOD_MS)
            if self.orders.holds():
                self.gateways.prune(self.pool.answers)

    def _follower(
        self,
        prefix: str,
        changed: Callable[[dict[str, StoredObject], int], None],
        wait_ms: int = LONG_WAIT_MS,
    ) -> Follower:
        followed = FollowedPrefix(self.store, prefix)
        return Follower(followed, self.clock, changed, logger("gateway"), wait_ms=wait_ms)

    def _shared_follower(
        self, prefix: str, changed: Callable[[dict[str, StoredObject], int], None]
    ) -> Follower:
        """Follow what every gateway needs, by way of the gateways that watch it."""
        follower = self._follower(prefix, changed, WATCH_WAIT_MS)
        follower.watchers = self.watchers
        self.shared[prefix] = follower
        return follower

    def _copy_of(self, prefix: str, since: int, wait_ms: int) -> Copy | None:
        follower = self.shared.get(prefix)
        return None if follower is None else follower.copy(since, wait_ms)

    def _duty_follower(
        self, prefix: str, changed: Callable[[dict[str, StoredObject], int], None]
    ) -> Follower:
        """Follow what only the holder of the orders lease needs."""
        follower = self._follower(prefix, changed)
        follower.active = self.orders.holds
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
        gone = self.table.replace(records, revision)
        self.listed = True
        for record in gone:
            self.pool.forget(record.address, record.peer)
        logger("gateway").info(
            "upstreams listed",
            revision=revision,
            upstreams=len(records),
            leaving=[record.instance for record in records if record.leaving],
            gone=[record.instance for record in gone],
        )

    def _take_versions(self, objects: dict[str, StoredObject], revision: int) -> None:
        for model, version in self.listings.versions(objects).items():
            if self.orders.take_version(model, version):
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

    def ready(self) -> bool:
        """Return whether clients should be sent here."""
        return self.state == "serving" and self.catalog is not None and self.listed

    def closing(self) -> bool:
        """Return whether clients should not use their connections again."""
        return self.state != "serving"

    def count_open(self, change: int) -> None:
        """Count open client requests."""
        self.open_requests += change

    def status(self) -> dict[str, Any]:
        """Return what operators and metrics show."""
        return {
            "node": self.settings.node,
            "role": "gateway",
            "ready": self.ready(),
            "state": self.state,
            "config_version": self.catalog.version if self.catalog else 0,
            "upstreams_known": len(self.table.upstreams),
            "open_requests": self.open_requests,
            "open_batches": sum(1 for run in self.owner.runs.values() if run.open),
            "running_items": len(self.owner.tasks),
            "upstream_connections": self.pool.opened,
            "holds_orders": self.orders.holds(),
        }

    def _serve_probe(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        path = environ["PATH_INFO"]
        status, media_type, body = "404 Not Found", "text/plain", b"no such probe\n"
        if path == self.readiness_path:
            status = "200 OK" if self.ready() else "503 Service Unavailable"
            body = b"ready\n" if self.ready() else b"not ready\n"
        elif path == "/metrics":
            status, media_type = "200 OK", METRICS_MEDIA_TYPE
            body = render_metrics(self.status(), self.measures)
        start_response(status, [("Content-Type", media_type), ("Content-Length", str(len(body)))])
        return [body]

    def reload(self, settings: GatewaySettings) -> None:
        """Put new settings into effect as far as a running process can."""
        changed = [
            field.name
            for field in attrs.fields(GatewaySettings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        # Addresses to listen on and the node's place are fixed for the life of a process.
        self.settings = attrs.evolve(
            self.settings,
            drain_grace_ms=settings.drain_grace_ms,
            order_handover_ms=settings.order_handover_ms,
        )
        self.orders.handover_ms = settings.order_handover_ms
        logger("gateway").info("settings reloaded", changed=changed)

    def drain(self, reason: str) -> None:
        """Fail the readiness probe, finish open requests, hand the batches over, then stop."""
        if self.state != "serving":
            return
        started_ms = self.clock.now_ms()
        self.state = "draining"
        logger("gateway").info("draining", reason=reason, open_requests=self.open_requests)
        self.clock.sleep_ms(BALANCER_NOTICE_MS)
        self.batches.draining = True
        self._release()
        # Requests that are open now are answered; their connections close with the answer.
        for server in self.servers:
            server.stop_accepting()
        limit_ms = started_ms + self.settings.drain_grace_ms - DRAIN_RESERVE_MS
        while self.open_requests and self.clock.now_ms() < limit_ms:
            self.clock.sleep_ms(DRAIN_POLL_MS)
        self.ended = True
        for server in self.servers:
            server.stop(timeout=0)
        self.state = "stopped"
        logger("gateway").info("stopped", node=self.settings.node, cut_off=self.open_requests)

    def _release(self) -> None:
        """Hand over batches and the lease; a store that hangs is not waited for."""
        jobs = [gevent.spawn(self.owner.release, run) for run in list(self.owner.runs.values())]
        jobs.append(gevent.spawn(self.orders.lease.release))
        gevent.joinall(jobs, timeout=RELEASE_LIMIT_MS / MS_PER_SECOND)
