"""Gateway daemon: creates, starts and drains the tasks of a gateway."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable
from typing import Any

import attrs
import gevent

from ..batches.attempts import ItemRunner
from ..batches.model import Owner
from ..batches.owner import BatchOwner
from ..batches.ownership_transfer import unix_ms
from ..batches.peers import PeerApp, PeerClient
from ..batches.scoring import RewardCallRunner
from ..batches.service import BatchService
from ..clock import SystemClock
from ..duties.client import DutyClient
from ..http_client import ConnectionPool
from ..logs import logger
from ..measures import Measures
from ..metrics import METRICS_MEDIA_TYPE, render_metrics
from ..objects.api import ObjectStore
from ..objects.relay import RelayedStore
from ..objects.values import ValueLimit
from ..server import BoundedServer, make_server
from ..tasks import keep_running
from ..weights.demand import ModelDemands
from .account_gate import AccountGate
from .calls import CallForwarder
from .cluster_state import ClusterState
from .drain_steps import drain_gateway
from .draining import Drain
from .duties import GatewayDuties, make_duties
from .duty_holder import DutyHolder
from .exchange import UpstreamClient
from .limits import RateLimits
from .orders import OrderDuty
from .orders_lease import orders_lease
from .origin_store import OriginStore
from .peers import GatewayRegistry, PeerInterface, peer_bodies
from .room import GatewayRoom
from .settings import GatewaySettings
from .sharing import CopiesApp, Watchers
from .stream_origins import StreamOrigins
from .suspect_sharing import SharedSuspects, share_suspects
from .upkeep import Upkeep
from .upstream_protocol import Listings, UpstreamProtocol

IngressFactory = Callable[["GatewayDaemon"], Any]


@attrs.define
class GatewayDaemon:
    """A gateway process with all its tasks and servers."""

    settings: GatewaySettings
    direct_store: ObjectStore
    pool: ConnectionPool
    protocol: UpstreamProtocol
    listings: Listings
    make_ingress: IngressFactory
    readiness_path: str
    clock: SystemClock = attrs.field(factory=SystemClock)
    rng: random.Random = attrs.field(factory=lambda: random.Random(secrets.randbits(64)))
    state: str = "starting"
    # Whether new requests are rejected because the servers are about to stop.
    rejecting_requests: bool = False
    measures: Measures = attrs.field(factory=Measures)
    servers: list[BoundedServer] = attrs.field(factory=list)
    ingress: Any = attrs.field(init=False)
    room: GatewayRoom = attrs.field(init=False)
    drain_plan: Drain = attrs.field(init=False)
    store: RelayedStore = attrs.field(init=False)
    gateways: GatewayRegistry = attrs.field(init=False)
    demands: ModelDemands = attrs.field(init=False)
    watchers: Watchers = attrs.field(init=False)
    cluster: ClusterState = attrs.field(init=False)
    limits: RateLimits = attrs.field(init=False)
    client: UpstreamClient = attrs.field(init=False)
    origins: StreamOrigins = attrs.field(init=False)
    suspects: SharedSuspects = attrs.field(init=False)
    forwarder: CallForwarder = attrs.field(init=False)
    owner: BatchOwner = attrs.field(init=False)
    batches: BatchService = attrs.field(init=False)
    holder: DutyHolder = attrs.field(init=False)
    orders: OrderDuty = attrs.field(init=False)
    duty_client: DutyClient | None = None
    duties: GatewayDuties | None = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.room = GatewayRoom.build(settings, self.clock, logger("room"), self.measures)
        self.pool.max_idle = self.room.max_idle_upstream
        self.drain_plan = Drain(self.clock, others_serve=lambda: bool(self.gateways.addresses))
        me = Owner(
            node=settings.node, incarnation=secrets.token_hex(8), address=settings.listen_peers
        )
        self.store = RelayedStore(
            self.direct_store,
            self.pool,
            self.clock,
            self.rng,
            logger("objects"),
            lambda: self.gateways.other_gateways(),
            self.measures,
            ValueLimit(settings.max_value_bytes),
        )
        self.demands = ModelDemands(self.store, logger("orders"))
        self.gateways = GatewayRegistry(
            me, self.store, logger("gateway"), settings.region, settings.processor
        )
        self.gateways.measures = self.measures
        self.gateways.odd.measures = self.demands.odd.measures = self.measures
        self.watchers = Watchers(
            settings.node,
            self.pool,
            self.clock,
            self.rng,
            lambda: self.gateways.addresses,
        )
        self.cluster = ClusterState(self.store, self.clock, self.listings, self.watchers, self.pool)
        table = self.cluster.table
        self.limits = self._rate_limits()
        self.client = UpstreamClient(
            self.clock, self.protocol, self.pool, self.measures, self.limits
        )
        self.origins = StreamOrigins(
            self.clock,
            OriginStore(
                settings.node,
                self.store,
                self.clock,
                unix_ms,
                logger("origins"),
                limit=self.store.limit,
            ),
            self.cluster.table,
            lambda: self.cluster.catalog,
            lambda: self.gateways.addresses,
            self.pool,
            logger("origins"),
            self.settings.object_api_writes_per_s,
            lambda: self.orders.holds_lease(),
            self.measures,
        )
        self.origins.listed_ms = self.cluster.upstreams_listed_ms
        self.cluster.changed = self.origins.wake.set
        self.suspects = share_suspects(
            me,
            self.clock,
            self.rng,
            self.pool,
            table,
            self.store,
            lambda: self.gateways.addresses,
            self.measures,
        )
        self.cluster.removed = self.suspects.guard.record_gone
        self.forwarder = CallForwarder(
            self.clock,
            self.rng,
            settings.zone,
            settings.zone_regions,
            table,
            self.client,
            self.protocol,
            logger("calls"),
            self.measures,
            self.origins,
            self.suspects.guard,
            AccountGate(self.clock, self.rng, logger("accounts"), self.measures),
            zone_spillover=settings.zone_spillover,
        )
        items = ItemRunner(
            self.clock, self.client, self.protocol, logger("items"), self.suspects.guard
        )
        self.owner = BatchOwner(
            self.clock,
            self.rng,
            me,
            settings.region,
            settings.zone_regions,
            table,
            items,
            RewardCallRunner(
                self.clock,
                table,
                self.forwarder.forward,
                lambda: self.cluster.catalog,
                logger("rewards"),
                self.measures,
            ),
            lambda: self.cluster.catalog,
            logger("batches"),
            self.measures,
            value_limit=self.store.limit,
            idle_connections=lambda record: self.pool.idle_connections(
                record.address, record.incarnation
            ),
            budget=self.room.budget,
            accounts=self.forwarder.accounts,
            zone=settings.zone if settings.zone_spillover else "",
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
            owner_candidates=self.gateways.owner_candidates,
        )
        self.holder = DutyHolder(
            self.clock,
            settings.node,
            orders_lease(
                settings.node, self.store, self.clock, self.rng, self.gateways, self.watchers
            ),
            settings.order_handover_ms,
        )
        self.orders = OrderDuty(
            self.clock,
            self.holder,
            table,
            self.client,
            self.protocol,
            lambda: self.cluster.catalog,
            self.demands,
            logger("orders"),
            self.measures,
        )

        self.duties = make_duties(self)

    def _rate_limits(self) -> RateLimits:
        table = self.cluster.table
        limits = RateLimits(
            self.settings.node,
            self.clock,
            self.rng,
            self.pool,
            lambda: self.gateways.addresses,
            self.cluster.gateways_listed_ms,
            self.watchers.active_watchers,
            logger("limits"),
            self.measures,
            changed=self.cluster.wake_copies,
            listed=lambda: {each.record.incarnation for each in table.upstreams.values()},
        )
        table.rate_limits = limits
        self.watchers.limits = limits.exchange
        self.watchers.limits_prefix = self.listings.upstreams_prefix
        return limits

    def start(self) -> None:
        """Start all tasks."""
        settings = self.settings
        assert settings.listen_clients is not None and settings.listen_probes is not None
        self.ingress = self.make_ingress(self)
        for address, table, application in (
            (settings.listen_clients, self.room.clients, self.ingress),
            (settings.listen_probes, self.room.probes, self._serve_probe),
            (
                settings.listen_peers,
                self.room.peers,
                PeerInterface(
                    PeerApp(self.batches, self.batches.local_owner.incarnation),
                    CopiesApp(self.cluster.copy_of, self.limits.exchange),
                    self.direct_store,
                    self.limits,
                    self.origins,
                    self.suspects.exchange,
                    peer_bodies(self.room.budget),
                    state=self.duties.exchange if self.duties is not None else None,
                ),
            ),
        ):
            server = make_server(address.host, address.port, application, table, self.measures)
            server.start()
            self.servers.append(server)
        followers = self.cluster.followers(self.orders, self.demands, self.gateways)
        for task in (
            *(follower.run for follower in followers),
            *Upkeep(self).tasks(),
            self.owner.run,
            self.holder.keep_lease,
            self.holder.watch_pauses,
            self.orders.run,
            self.limits.exchange.run,
            self.limits.evict,
            self.origins.run,
            self.forwarder.accounts.run,
            *self.suspects.tasks(),
            *(self.duties.tasks() if self.duties is not None else ()),
        ):
            self._spawn(task)
        self.state = "serving"
        logger("gateway").info(
            "started",
            node=settings.node,
            zone=settings.zone,
            incarnation=self.batches.local_owner.incarnation,
        )

    def _spawn(self, task: Callable[[], None]) -> None:
        name = getattr(task, "__qualname__", repr(task))
        gevent.spawn(keep_running, name, task, self.clock, logger("gateway"), self.measures)

    def ready(self) -> bool:
        """Return whether the readiness probe should succeed."""
        return self.state == "serving" and self.cluster.complete()

    def closing(self) -> bool:
        """Return whether responses should close the client's connection."""
        return self.state != "serving"

    @property
    def open_requests(self) -> int:
        """Return the number of clients' requests that are not answered up to the last byte."""
        return len(self.servers[0].open_connections()) if self.servers else 0

    def status(self) -> dict[str, Any]:
        """Return the fields of the status page and of the metrics."""
        catalog = self.cluster.catalog
        return {
            "node": self.settings.node,
            "role": "gateway",
            "ready": self.ready(),
            "state": self.state,
            "config_version": catalog.version if catalog else 0,
            "upstreams_known": len(self.cluster.table.upstreams),
            "open_requests": self.open_requests,
            "open_batches": sum(1 for run in self.owner.runs.values() if run.open),
            "running_items": len(self.owner.tasks),
            "upstream_connections": self.pool.opened,
            **self.room.status(),
            "holds_orders": self.orders.holds_lease(),
            "listing_pause_ms": self.cluster.listing_age.pauses.paused_ms,
            "rate_limits": self.limits.board.limited(),
            **self.suspects.guard.status(),
            **(self.duties.status() if self.duties is not None else {}),
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
        """Apply those new settings that can change while the process runs."""
        changed = [
            field.name
            for field in attrs.fields(GatewaySettings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        # Listen addresses, node, zone and region only change with a restart.
        self.settings = attrs.evolve(
            self.settings,
            drain_grace_ms=settings.drain_grace_ms,
            order_handover_ms=settings.order_handover_ms,
            revocation_limit_ms=settings.revocation_limit_ms,
        )
        self.holder.handover_ms = settings.order_handover_ms
        logger("gateway").info("settings reloaded", changed=changed)

    def drain(self, reason: str) -> None:
        """Fail the readiness probe, hand over batches, finish open requests and stop."""
        if self.state != "serving":
            return
        gevent.spawn(self.gateways.record_stop)
        drain_gateway(self, reason)
        if self.duties is not None:
            self.duties.exchange.step()
