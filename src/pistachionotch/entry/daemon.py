"""Entry daemon: creates, starts and drains the tasks of an entry."""

from __future__ import annotations

import random
import secrets
from collections.abc import Iterator
from typing import Any

import attrs
import gevent

from ..clock import SystemClock
from ..config.revisions import Revisions
from ..config.settings import Settings
from ..idempotency.cleanup import ClaimCleaner
from ..lease.lease import Lease
from ..lease.list_cache import LeaseListCache
from ..logs import logger
from ..membership.directory import Directory, Member
from ..objects.client import HttpObjectStore
from ..objects.vms import HttpVmList, VmList
from ..open_answers import report_cut_off, wait_for_answers
from ..probes import ProbeApp
from ..routing.candidates import Location
from ..samples.bodies import BodyCache, chain_body_sources
from ..samples.steps import StepRegistry
from ..server import BoundedServer, make_server
from ..wire.session import Identity
from .at_most_once import AtMostOnceCall
from .bodies import BodyFetcher
from .calls import Call, RouteEvent
from .control import ControlWatch
from .coordination import StepContext
from .decisions import DecisionLog
from .duties import ClaimCleanup, DirectoryDuty
from .handlers import Handlers
from .heartbeats import HeartbeatScheduler
from .http import HttpInterface
from .keys import KeyIssuer
from .links import AgentLink
from .moves import MoveTask
from .operator_metrics import collect_operator_metrics
from .policy import PolicyView
from .publishing import VersionPublisher
from .rollouts import RolloutDuties
from .router import RoutedCall
from .routing_state import RoutingState
from .steps import StepService
from .suspects import SharedCrashes, share_crashes, unix_ms
from .table import LinkTable

# Time after the listener is closed in which requests that were already sent are still read.
FINAL_READ_S = 0.1
# Time for clients to read their answers once no request is being worked on.
SENDING_LIMIT_MS = 30_000
# Time for the load balancer to notice the failed readiness probe.
BALANCER_NOTICE_S = 1.0
DUTY_LEASE_MS = 6000
DEFAULT_CLAIM_RETENTION_MS = 24 * 3600 * 1000
ZONE_CHECK_MS = 500
# Delay before connecting to the seeds. Unless the object API is unavailable, the directory is read
# well before.
SEED_FALLBACK_DELAY_S = 1.0
MAX_BODY_CACHE_BYTES = 64_000_000
RELEASE_TIMEOUT_S = 2.0


@attrs.define
class EntryDaemon:
    """An entry process with all its tasks and their shared state."""

    settings: Settings
    balancer_notice_s: float = BALANCER_NOTICE_S
    clock: SystemClock = attrs.field(factory=SystemClock)
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(6))
    rng: random.Random = attrs.field(factory=lambda: random.Random(secrets.randbits(64)))
    revisions: Revisions = attrs.field(factory=Revisions)
    directory: Directory = attrs.field(factory=Directory)
    state: str = "starting"
    heartbeats: HeartbeatScheduler = attrs.field(factory=HeartbeatScheduler)
    directories: dict[str, DirectoryDuty] = attrs.field(factory=dict)
    store: HttpObjectStore = attrs.field(init=False)
    lease_cache: LeaseListCache = attrs.field(init=False)
    vms: VmList = attrs.field(init=False)
    policy: PolicyView = attrs.field(init=False)
    table: LinkTable = attrs.field(init=False)
    routing: RoutingState = attrs.field(init=False)
    shared_crashes: SharedCrashes = attrs.field(init=False)
    control: ControlWatch = attrs.field(init=False)
    steps: StepService = attrs.field(init=False)
    rollouts: RolloutDuties = attrs.field(init=False)
    interface: HttpInterface = attrs.field(init=False)
    server: BoundedServer | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        location = Location(settings.node, settings.zone, settings.region)
        self.store = HttpObjectStore(settings.object_api.host, settings.object_api.port)
        self.lease_cache = LeaseListCache(self.store, self.clock)
        self.vms = HttpVmList(settings.vm_list.host, settings.vm_list.port)
        self.policy = PolicyView(self.revisions)
        self.table = LinkTable(location, self.directory, self._make_link, self.policy)
        self.table.seeds = tuple(f"{peer.host}:{peer.port}" for peer in settings.peers)
        decisions = DecisionLog(logger("route"), self.clock)
        self.routing = RoutingState(self.table, self.clock, location, self.rng, decisions)
        self.routing.attempt_prefix = f"{settings.node}-{self.incarnation}"
        self.shared_crashes = share_crashes(
            settings.node, self.store, self.routing.suspects, unix_ms
        )
        self.control = ControlWatch(
            self.store,
            self.clock,
            self.revisions,
            self.directory,
            self._config_changed,
            self.table.refresh,
            logger("control"),
        )
        self.steps = self._make_steps()
        self.rollouts = RolloutDuties(
            self.store,
            self.clock,
            self.table,
            self.policy,
            settings.node,
            self.rng,
            self.lease_cache,
        )

    def _make_steps(self) -> StepService:
        cache = BodyCache(MAX_BODY_CACHE_BYTES)
        context = StepContext(
            self.store,
            self.clock,
            self.settings.node,
            self.route,
            cache,
            chain_body_sources(cache.find, BodyFetcher(self.table)),
            StepRegistry(self.store, self.rng, self.settings.step_part_samples),
            self.rng,
            logger("steps"),
        )
        return StepService(context, self.policy.staleness_bounds, self._connected_slots)

    def _connected_slots(self, model: str) -> int:
        """Return the total number of slots of the connected agents that serve a model."""
        return sum(link.load.limit for link in self.table.serving(model) if link.load)

    def _make_link(self, member: Member) -> AgentLink:
        settings = self.settings
        identity = Identity(
            settings.deployment,
            settings.node,
            "entry",
            settings.zone,
            self.incarnation,
            settings.key,
        )
        return AgentLink(
            member,
            identity,
            self.clock,
            self.policy.heartbeat_ms,
            self.revisions,
            logger("link"),
            self._config_changed,
            self.settings.region,
            heartbeats=self.heartbeats,
        )

    def _config_changed(self) -> None:
        logger("config").info("configuration in force", revision=self.revisions.revision)
        self.policy.refresh()
        self.routing.costs = self.policy.routing_costs(self.settings.region)
        self.table.announce_config()
        self.table.refresh()

    def route(self, call: Call) -> Iterator[RouteEvent]:
        """Route one call and return an iterator over its events."""
        if call.idempotent:
            return RoutedCall(self.routing, call).run()
        return AtMostOnceCall(self.routing, call, self.settings.key, self.store).run()

    def start(self) -> None:
        """Start all tasks in the background."""
        settings = self.settings
        gevent.spawn(self.control.run)
        gevent.spawn_later(SEED_FALLBACK_DELAY_S, self.table.refresh)
        gevent.spawn(self._start_directory_duties)
        gevent.spawn(self.rollouts.run)
        gevent.spawn(self._claim_cleanup().run)
        gevent.spawn(MoveTask(self.routing).run)
        gevent.spawn(self.shared_crashes.run)
        listen = settings.listen.http
        assert listen is not None
        self.interface = self._interface()
        self.server = make_server(listen.host, listen.port, self.interface)
        self.server.start()
        self.state = "serving"
        logger("entry").info("serving", node=settings.node, zone=settings.zone)

    def _interface(self) -> HttpInterface:
        handlers = Handlers(
            self.steps,
            KeyIssuer(self.table, self.rng),
            VersionPublisher(self.store, self.rng),
            self.routing.decisions,
            ProbeApp(self.settings.key, self.status, self.drain),
        )
        return HttpInterface(
            self.clock,
            self.policy.call_defaults,
            self.route,
            handlers.table(),
        )

    def _start_directory_duties(self) -> None:
        """Start a directory duty for each zone in the registrations or the configuration."""
        while True:
            zones = self.policy.zones() | {self.settings.zone}
            zones.update(*(duty.registered_zones for duty in self.directories.values()))
            for zone in zones - self.directories.keys():
                self.directories[zone] = self._directory_duty(zone)
                gevent.spawn(self.directories[zone].run)
            self.clock.sleep_ms(ZONE_CHECK_MS)

    def _claim_cleanup(self) -> ClaimCleanup:
        return ClaimCleanup(
            ClaimCleaner(self.store, self.clock, DEFAULT_CLAIM_RETENTION_MS, self.rng),
            self._lease("claims", "all"),
            self.clock,
            logger("claims"),
            self.policy.claim_retention_ms,
        )

    def _lease(self, duty: str, shard: str) -> Lease:
        node = self.settings.node
        return Lease(
            self.store,
            self.clock,
            duty,
            shard,
            node,
            DUTY_LEASE_MS,
            self.rng,
            self.lease_cache,
        )

    def _directory_duty(self, zone: str) -> DirectoryDuty:
        lease = self._lease("directory", zone)
        return DirectoryDuty(zone, self.store, self.vms, lease, self.clock, logger("directory"))

    def _release_leases(self) -> None:
        """Release all leases, so that other entries need not wait for them to expire."""
        leases = [duty.lease for duty in self.directories.values()]
        leases += [duty.lease for duty in self.rollouts.duties.values()]
        leases += [coordinator.lease for coordinator in self.steps.coordinators.values()]
        # While the object API is unavailable, each release blocks until its timeout.
        jobs = [gevent.spawn(lease.release) for lease in leases]
        gevent.joinall(jobs, timeout=RELEASE_TIMEOUT_S)

    def status(self) -> dict[str, Any]:
        """Return the status for operators and probes."""
        links = self.table.links.values()
        return {
            "node": self.settings.node,
            "role": "entry",
            "zone": self.settings.zone,
            "state": self.state,
            "ready": self.state == "serving" and bool(self.table.ready()),
            "incarnation": self.incarnation,
            "config_revision": self.revisions.revision,
            "open_requests": self.open_requests,
            "measures": collect_operator_metrics(self.steps.trainer_metrics, self.routing),
            "rollouts": self.rollouts.status(),
            "late_messages": sum(link.late_messages for link in links),
            "agents": [
                {
                    "node": link.member.node,
                    "zone": link.member.zone,
                    "serves": list(link.member.models),
                    "ready": link.ready(),
                    "leaving": link.leaving,
                    "queued": link.load.total_queued() if link.load else None,
                    "running": link.load.total_running() if link.load else None,
                }
                for link in links
            ],
        }

    @property
    def open_requests(self) -> int:
        """Return the number of requests that are not answered up to the last byte."""
        return 0 if self.server is None else len(self.server.open_connections())

    def drain(self, reason: str) -> None:
        """Fail the readiness probe, wait for open requests to finish, then stop."""
        if self.state != "serving":
            return
        self.state = "draining"
        self.interface.draining = True
        logger("entry").info("draining", reason=reason, open_requests=self.open_requests)
        gevent.sleep(self.balancer_notice_s)
        assert self.server is not None
        self.server.stop_listening()
        gevent.sleep(FINAL_READ_S)
        wait_for_answers([self.server], self.clock, sending_limit_ms=SENDING_LIMIT_MS)
        # A request on a keep-alive connection must not start now, since stopping would abort it.
        self.interface.closed = True
        self.rollouts.stop()
        self._release_leases()
        for link in list(self.table.links.values()):
            link.stop()
        report_cut_off([self.server], "entry")
        self.server.stop(timeout=1)
        self.state = "stopped"
        logger("entry").info("stopped", node=self.settings.node)
