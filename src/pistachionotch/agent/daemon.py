"""The agent daemon, which creates, starts and drains the agent's tasks."""

from __future__ import annotations

import random
import secrets
from typing import Any

import attrs
import gevent
from gevent.pywsgi import WSGIServer

from ..admission.limit import ConcurrencyLimit
from ..admission.queue import AdmissionQueue
from ..admission.shares import ClassShares
from ..clock import SystemClock
from ..config.revisions import Revisions
from ..config.settings import Settings, UpstreamKind, UpstreamSettings
from ..idempotency.manager import ClaimManager
from ..logs import logger
from ..membership.directory import Member
from ..membership.registration import Registration
from ..objects.api import ObjectStore
from ..objects.client import HttpObjectStore
from ..probes import ProbeApp
from ..server import make_server
from ..wire.messages import Order, OrderResult
from ..wire.session import Identity, Session
from ..wire.session import make_server as make_wire_server
from .claim_maintenance import ClaimantLiveness, ClaimMaintenance
from .configuration import ConfigurationApplier
from .core import AgentCore, Drain, VersionObserved
from .engine_reports import EngineReport, EngineReportReader
from .orders import OrderTask
from .upstream import EngineUpstream, ServiceUpstream, Upstream

HEARTBEAT_MS = 2000
CLAIM_RETENTION_MS = 24 * 3600 * 1000
DRAIN_POLL_S = 0.05
# Time for the entries to read the last answers.
FLUSH_TIMEOUT_S = 30.0
# Other agents answer a repeated call with an unknown outcome if its result was not saved in time.
SAVE_CLAIMS_TIMEOUT_MS = 3000


def routing_target(settings: Settings) -> str:
    """Return the target under which entries route calls to the agent's upstream."""
    upstream = settings.upstream
    assert upstream is not None
    if upstream.kind is UpstreamKind.ENGINE:
        return upstream.model or ""
    return f"services/{upstream.service}"


def make_upstream(settings: Settings) -> Upstream:
    """Return the engine or service that the settings configure as upstream."""
    upstream = settings.upstream
    assert upstream is not None
    if upstream.kind is UpstreamKind.ENGINE:
        return EngineUpstream(upstream.address.host, upstream.address.port, upstream.model or "")
    return ServiceUpstream(upstream.address.host, upstream.address.port, upstream.service or "")


def make_limit(upstream: UpstreamSettings) -> ConcurrencyLimit:
    """Return the concurrency limit; it adapts only for engines, which report their queues."""
    maximum = upstream.concurrency_limit
    if upstream.kind is UpstreamKind.ENGINE:
        return ConcurrencyLimit.adaptive(initial=maximum, minimum=1, maximum=maximum)
    return ConcurrencyLimit.fixed(maximum)


@attrs.define
class AgentDaemon:
    """Run one agent with its core, order, report and registration tasks."""

    settings: Settings
    heartbeat_ms: int = HEARTBEAT_MS
    clock: SystemClock = attrs.field(factory=SystemClock)
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(6))
    core: AgentCore = attrs.field(init=False)
    registration: Registration = attrs.field(init=False)
    claim_maintenance: ClaimMaintenance = attrs.field(init=False)
    orders: OrderTask | None = attrs.field(init=False, default=None)
    reports: EngineReportReader | None = attrs.field(init=False, default=None)
    server: Any = attrs.field(init=False, default=None)
    probes: WSGIServer | None = attrs.field(init=False, default=None)
    state: str = attrs.field(init=False, default="starting")

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        upstream = make_upstream(settings)
        store: ObjectStore = HttpObjectStore(settings.object_api.host, settings.object_api.port)
        log = logger("agent")
        rng = random.Random(secrets.randbits(64))
        claim_manager = ClaimManager(
            store,
            self.clock,
            settings.node,
            self.incarnation,
            settings.key,
            CLAIM_RETENTION_MS,
            rng,
            ClaimantLiveness(store),
        )
        self.claim_maintenance = ClaimMaintenance(claim_manager, self.clock)
        assert settings.upstream is not None
        queue = AdmissionQueue(self.clock, make_limit(settings.upstream), ClassShares())
        if isinstance(upstream, EngineUpstream):
            shard = f"{upstream.model}-{settings.zone}"
            self.orders = OrderTask(upstream, store, shard, self.clock, logger("orders"))
            self.reports = EngineReportReader(upstream, self.clock, log, self._on_engine_report)
        self.core = AgentCore(
            self.clock,
            upstream,
            queue,
            claim_manager,
            Revisions(),
            log,
            self.heartbeat_ms,
            self._on_order,
        )
        checks_fences = settings.upstream.checks_fences
        if self.orders is not None:
            self.orders.checks_fences = bool(checks_fences)
        self.core.on_config = ConfigurationApplier(self.core, self.orders, checks_fences).apply
        if self.orders is not None:
            self.orders.on_version_read = self._on_version_observed
        member = Member(
            settings.node,
            self._address(),
            settings.zone,
            settings.region,
            self.incarnation,
            (routing_target(settings),),
        )
        self.registration = Registration(store, member, self.clock, log)

    def _address(self) -> str:
        wire = self.settings.listen.wire
        assert wire is not None
        return f"{wire.host}:{wire.port}"

    def _on_version_observed(self, version: int) -> None:
        self.core.inbox.put((None, VersionObserved(version)))

    def _on_engine_report(self, report: EngineReport) -> None:
        self.core.inbox.put((None, report))

    def _on_order(self, session: Session, order: Order) -> None:
        if self.orders is None:
            session.send(OrderResult(order.order, False, -1, "upstream takes no orders"))
            return
        self.orders.submit(session, order)

    def start(self) -> None:
        """Start all tasks in the background."""
        settings = self.settings
        identity = Identity(
            settings.deployment,
            settings.node,
            "agent",
            settings.zone,
            self.incarnation,
            settings.key,
            routing_target(settings),
        )
        wire = settings.listen.wire
        assert wire is not None
        self.server = make_wire_server(
            wire.host,
            wire.port,
            identity,
            self.clock,
            self.core.inbox,
            self.heartbeat_ms,
            logger("wire"),
        )
        gevent.spawn(self.server.serve_forever)
        gevent.spawn(self.core.run)
        if self.orders is not None:
            gevent.spawn(self.orders.run)
        if self.reports is not None:
            gevent.spawn(self.reports.run)
        gevent.spawn(self.registration.run)
        if settings.listen.http is not None:
            app = ProbeApp(settings.key, self.status, self.drain)
            self.probes = make_server(settings.listen.http.host, settings.listen.http.port, app)
            self.probes.start()
        self.state = "serving"
        self.core.log.info("serving", node=settings.node, upstream=routing_target(settings))

    def status(self) -> dict[str, Any]:
        """Return the status that operators and probes read."""
        load = self.core.load()
        return {
            "node": self.settings.node,
            "role": "agent",
            "zone": self.settings.zone,
            "state": self.state,
            "ready": self.state == "serving",
            "incarnation": self.incarnation,
            "upstream": routing_target(self.settings),
            "config_revision": self.core.revisions.revision,
            "queued": load.total_queued(),
            "running": load.total_running(),
            "entries": len(self.core.sessions),
            "serving_versions": list(load.serving_versions),
        }

    def _send_last_answers(self) -> None:
        """Send what the entries have not read yet, and close their sessions."""
        sessions = list(self.core.sessions)
        gevent.joinall([gevent.spawn(session.flush, FLUSH_TIMEOUT_S) for session in sessions])
        for session in sessions:
            if session.unsent_messages and not session.closed:
                self.core.log.warning(
                    "answer cut off",
                    entry=session.peer.node,
                    left_messages=session.unsent_messages,
                    reason="the entry reads too slowly",
                )
            session.close("agent stopped")

    def drain(self, reason: str) -> None:
        """Admit no new work, wait for the work in progress, then stop."""
        if self.state != "serving":
            return
        self.state = "draining"
        self.core.inbox.put((None, Drain(reason)))
        # Does not block the drain: the store may be slow, and connected entries are told directly.
        gevent.spawn(self.registration.withdraw)
        while not (self.core.queue.draining and self.core.idle()):
            gevent.sleep(DRAIN_POLL_S)
        self.claim_maintenance.finish(SAVE_CLAIMS_TIMEOUT_MS)
        self._send_last_answers()
        self.server.shutdown()
        if self.probes is not None:
            self.probes.stop(timeout=1)
        self.state = "stopped"
        self.core.log.info("stopped", node=self.settings.node)
