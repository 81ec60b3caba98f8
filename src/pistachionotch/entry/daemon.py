"""Entry daemon: wires the entry's tasks together and drains them."""

from __future__ import annotations

import random
import secrets
from collections.abc import Iterator
from typing import Any

import attrs
import gevent
from gevent.pywsgi import WSGIServer

from ..clock import SystemClock
from ..config.revisions import Revisions
from ..config.settings import Settings
from ..lease.lease import Lease
from ..lease.reading import LeaseReads
from ..logs import logger
from ..membership.directory import Directory, Member
from ..objects.client import HttpObjectStore
from ..objects.vms import HttpVmList, VmList
from ..probes import ProbeApp
from ..routing.facts import Location
from ..samples.bodies import BodyStore
from ..wire.session import Identity
from .bodies import BodyFinder
from .calls import Call, RouteEvent
from .control import ControlWatch
from .decisions import DecisionLog
from .duties import DirectoryDuty
from .handlers import Handlers
from .http import HttpInterface
from .keys import KeyIssuer
from .links import AgentLink
from .once import OnceCall
from .policy import PolicyView
from .publishing import VersionPublisher
from .rollouts import RolloutDuties
from .router import RoutedCall, RoutingState
from .steps import StepContext, StepService
from .table import LinkTable

DRAIN_POLL_S = 0.05
# The balancer needs a moment to see the failed readiness probe.
BALANCER_NOTICE_S = 1.0
DUTY_LEASE_MS = 6000
ZONE_CHECK_MS = 500


@attrs.define
class EntryDaemon:
    """Run one entry."""

    settings: Settings
    balancer_notice_s: float = BALANCER_NOTICE_S
    clock: SystemClock = attrs.field(factory=SystemClock)
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(6))
    rng: random.Random = attrs.field(factory=lambda: random.Random(secrets.randbits(64)))
    revisions: Revisions = attrs.field(factory=Revisions)
    directory: Directory = attrs.field(factory=Directory)
    state: str = "starting"
    open_requests: int = 0
    directories: dict[str, DirectoryDuty] = attrs.field(factory=dict)
    store: HttpObjectStore = attrs.field(init=False)
    lease_reads: LeaseReads = attrs.field(init=False)
    vms: VmList = attrs.field(init=False)
    policy: PolicyView = attrs.field(init=False)
    table: LinkTable = attrs.field(init=False)
    routing: RoutingState = attrs.field(init=False)
    control: ControlWatch = attrs.field(init=False)
    steps: StepService = attrs.field(init=False)
    rollouts: RolloutDuties = attrs.field(init=False)
    server: WSGIServer | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        here = Location(settings.node, settings.zone, settings.region)
        self.store = HttpObjectStore(settings.object_api.host, settings.object_api.port)
        self.lease_reads = LeaseReads(self.store, self.clock)
        self.vms = HttpVmList(settings.vm_list.host, settings.vm_list.port)
        self.policy = PolicyView(self.revisions)
        self.table = LinkTable(here, self.directory, self._make_link, self.policy)
        decisions = DecisionLog(logger("route"), self.clock)
        self.routing = RoutingState(self.table, self.clock, here, self.rng, decisions)
        self.routing.attempt_prefix = f"{settings.node}-{self.incarnation}"
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
            self.lease_reads,
        )

    def _make_steps(self) -> StepService:
        held = BodyStore()
        context = StepContext(
            self.store,
            self.clock,
            self.settings.node,
            self.route,
            held,
            BodyFinder(held, self.table),
            self.rng,
            logger("steps"),
        )
        return StepService(context)

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
            self.policy.heartbeat_ms(),
            self.revisions,
            logger("link"),
            self._config_changed,
        )

    def _config_changed(self) -> None:
        logger("config").info("configuration in force", revision=self.revisions.revision)
        self.policy.refresh()
        self.table.announce_config()
        self.table.refresh()

    def route(self, call: Call) -> Iterator[RouteEvent]:
        """Route one call and yield its events."""
        if call.idempotent:
            return RoutedCall(self.routing, call).run()
        return OnceCall(self.routing, call, self.settings.key, self.store).run()

    def start(self) -> None:
        """Start all tasks in the background."""
        settings = self.settings
        gevent.spawn(self.control.run)
        gevent.spawn(self._run_duties)
        gevent.spawn(self.rollouts.run)
        listen = settings.listen.http
        assert listen is not None
        self.server = WSGIServer((listen.host, listen.port), self._interface(), log=None)
        self.server.start()
        self.state = "serving"
        logger("entry").info("serving", node=settings.node, zone=settings.zone)

    def _interface(self) -> HttpInterface:
        handlers = Handlers(
            self.steps,
            KeyIssuer(self.table, self.rng),
            VersionPublisher(self.store, self.rng),
            self.routing.decisions,
            self.policy.staleness_bounds,
            ProbeApp(self.settings.key, self.status, self.drain),
        )
        return HttpInterface(
            self.clock, self.policy.call_defaults, self.route, handlers.table(), self._count_open
        )

    def _count_open(self, change: int) -> None:
        self.open_requests += change

    def _run_duties(self) -> None:
        """Start the directory duty of each zone that registrations or configuration name."""
        while True:
            zones = self.policy.zones() | {self.settings.zone}
            zones.update(*(duty.registered_zones for duty in self.directories.values()))
            for zone in zones - self.directories.keys():
                self.directories[zone] = self._directory_duty(zone)
                gevent.spawn(self.directories[zone].run)
            self.clock.sleep_ms(ZONE_CHECK_MS)

    def _directory_duty(self, zone: str) -> DirectoryDuty:
        lease = Lease(
            self.store,
            self.clock,
            "directory",
            zone,
            self.settings.node,
            DUTY_LEASE_MS,
            self.rng,
            self.lease_reads,
        )
        return DirectoryDuty(zone, self.store, self.vms, lease, self.clock, logger("directory"))

    def status(self) -> dict[str, Any]:
        """Return what operators and probes see."""
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

    def drain(self, reason: str) -> None:
        """Fail the readiness probe, finish open requests, then stop."""
        if self.state != "serving":
            return
        self.state = "draining"
        logger("entry").info("draining", reason=reason, open_requests=self.open_requests)
        gevent.sleep(self.balancer_notice_s)
        assert self.server is not None
        self.server.stop_accepting()
        while self.open_requests:
            gevent.sleep(DRAIN_POLL_S)
        self.rollouts.stop()
        for link in list(self.table.links.values()):
            link.stop()
        self.server.stop(timeout=1)
        self.state = "stopped"
        logger("entry").info("stopped", node=self.settings.node)
