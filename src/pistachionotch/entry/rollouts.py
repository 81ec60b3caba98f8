"""Roll-out duties: the lease holder orders agents of a model and zone to load new weights."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable
from typing import Any

import attrs
import gevent
from gevent.queue import Empty, Queue

from ..clock import Clock
from ..lease.lease import Lease
from ..lease.list_cache import LeaseListCache
from ..logs import logger
from ..membership.directory import Member
from ..objects.api import ObjectStore
from ..weights.gate import LOAD_VERSION
from ..weights.publish import read_desired
from ..weights.rollout import RolloutLimits, Wave
from ..weights.tracker import AgentReport, RolloutTracker
from ..wire.messages import Order, OrderResult
from .links import AgentLink, LinkLost
from .policy import PolicyView
from .table import LinkTable

ROLLOUT_DUTY = "weights"
LEASE_MS = 6000
STEP_INTERVAL_MS = 1000
ACTIVE_STEP_INTERVAL_MS = 100


@attrs.frozen
class _ReportedVersion:
    """Version that an agent reported in the result of an order, and when the result arrived."""

    version: int
    received_ms: int


@attrs.define
class RolloutDuty:
    """Rolls the desired weight version out to the agents of one model and zone."""

    model: str
    zone: str
    store: ObjectStore
    clock: Clock
    table: LinkTable
    limits: Callable[[], RolloutLimits]
    lease: Lease
    log: Any
    answers: Queue = attrs.field(factory=Queue)
    tracker: RolloutTracker = attrs.field(factory=RolloutTracker)
    reported_versions: dict[str, _ReportedVersion] = attrs.field(factory=dict)
    orders: dict[str, str] = attrs.field(factory=dict)
    wave: Wave | None = None

    def run(self) -> None:
        """Try to hold the lease, and advance the roll-out while it is held."""
        lease_due_ms = 0
        while True:
            if self.clock.now_ms() >= lease_due_ms:
                self.lease.step()
                lease_due_ms = self.clock.now_ms() + STEP_INTERVAL_MS
                self._read_desired()
            pause_ms = STEP_INTERVAL_MS
            if self.lease.held() and self.tracker.desired_version > 0:
                pause_ms = self._advance_rollout()
            self.clock.sleep_ms(pause_ms)

    def _read_desired(self) -> None:
        if not self.lease.held():
            return
        desired = read_desired(self.store, self.model).value_or(None)
        if desired is not None and self.tracker.desire(desired.version):
            self._log_start()

    def _log_start(self) -> None:
        reports = [self._report(member) for member in self._members()]
        estimate = self.tracker.estimate(reports, self.limits())
        self.log.info(
            "rolling out",
            model=self.model,
            zone=self.zone,
            version=self.tracker.desired_version,
            estimate_ms=None if estimate is None else estimate.total_ms,
            bound=None if estimate is None else estimate.bound,
        )

    def _advance_rollout(self) -> int:
        """Handle answers, plan a wave and send its orders; return the pause until the next step."""
        self._handle_answers()
        members = self._members()
        self.table.require_agents(f"{self.model}/{self.zone}", [member.node for member in members])
        reports = [self._report(member) for member in members]
        now_ms = self.clock.now_ms()
        wave = self.tracker.plan(reports, self.limits(), now_ms)
        self._record_wave(wave)
        for order in wave.orders:
            self._send_order(order.agent, order.version, order.reason)
        for agent in wave.overdue:
            self._finish_order(agent, None, "no result in time")
        return STEP_INTERVAL_MS if wave.finished else ACTIVE_STEP_INTERVAL_MS

    def _record_wave(self, wave: Wave) -> None:
        """Store the wave for ``status`` and log each newly failed agent once."""
        known = set() if self.wave is None else set(self.wave.failed)
        for failed in wave.failed:
            if failed not in known:
                self.log.warning(
                    "agent given up for this version",
                    agent=failed.agent,
                    version=failed.version,
                    failures=failed.failures,
                )
        self.wave = wave

    def status(self) -> dict[str, Any] | None:
        """Return the progress of the roll-out, or None while this entry does not hold the lease."""
        if self.wave is None or not self.lease.held():
            return None
        return {
            "model": self.model,
            "zone": self.zone,
            "version": self.wave.desired_version,
            "done": self.wave.done,
            "waiting": self.wave.waiting,
            "failed": [failed.agent for failed in self.wave.failed],
        }

    def _members(self) -> list[Member]:
        live = self.table.directory.live_members(self.model)
        return [member for member in live if member.zone == self.zone]

    def _report(self, member: Member) -> AgentReport:
        link = self.table.links.get(member.node)
        if link is None or link.load is None:
            return AgentReport(member.node, member.zone, None, serving=False)
        return AgentReport(member.node, member.zone, self._version(link), serving=link.ready())

    def _version(self, link: AgentLink) -> int | None:
        """Return the version from the last heartbeat or order result, whichever is more recent."""
        read = self.reported_versions.get(link.member.node)
        load = link.load
        if load is None or not load.serving_versions:
            return None if read is None else read.version
        if read is not None and read.received_ms >= link.report_received_ms - load.versions_age_ms:
            return read.version
        return load.serving_versions[-1]

    def _send_order(self, agent: str, version: int, reason: str) -> None:
        link = self.table.links.get(agent)
        identifier = f"order-{secrets.token_hex(6)}"
        order = Order(identifier, self.lease.fence, LOAD_VERSION, self.model, version)
        # The lease may have expired while the wave was planned. The agent also checks the fence.
        if (
            link is None
            or not self.lease.held()
            or not link.send_request(identifier, order, self.answers)
        ):
            self.tracker.discard_order(agent)
            return
        self.orders[identifier] = agent
        self.log.info(
            "ordered", agent=agent, version=version, fence=self.lease.fence, reason=reason
        )

    def _handle_answers(self) -> None:
        while True:
            try:
                _link, answer = self.answers.get_nowait()
            except Empty:
                return
            self._handle_answer(answer)

    def _handle_answer(self, answer: OrderResult | LinkLost) -> None:
        identifier = answer.order if isinstance(answer, OrderResult) else answer.attempt
        agent = self.orders.pop(identifier, None)
        if agent is None:
            return
        if isinstance(answer, LinkLost):
            self._finish_order(agent, None, answer.reason)
            return
        if answer.version >= 0:
            self.reported_versions[agent] = _ReportedVersion(answer.version, self.clock.now_ms())
        if answer.reason and not answer.accepted:
            self.tracker.discard_order(agent)
            self.log.info("order refused", agent=agent, reason=answer.reason)
            return
        version = answer.version if answer.version >= 0 else None
        self._finish_order(agent, version, f"version {answer.version} read back")

    def _finish_order(self, agent: str, version: int | None, reason: str) -> None:
        if self.tracker.finish(agent, version, self.clock.now_ms()):
            self.log.info("swapped", agent=agent, version=version)
            return
        self.log.warning("swap failed", agent=agent, reason=reason)


@attrs.define
class RolloutDuties:
    """Runs a roll-out duty for each model and zone in the directory."""

    store: ObjectStore
    clock: Clock
    table: LinkTable
    policy: PolicyView
    node: str
    rng: random.Random
    lease_cache: LeaseListCache
    duties: dict[tuple[str, str], RolloutDuty] = attrs.field(factory=dict)
    greenlets: list[gevent.Greenlet] = attrs.field(factory=list)

    def run(self) -> None:
        """Start duties for new models and zones until the greenlet is killed."""
        while True:
            for member in self.table.directory.all_members():
                for target in member.models:
                    if not target.startswith("services/"):
                        self._ensure_duty(target, member.zone)
            self.clock.sleep_ms(STEP_INTERVAL_MS)

    def status(self) -> list[dict[str, Any]]:
        """Return the progress of the roll-outs whose leases this entry holds."""
        found = [duty.status() for duty in self.duties.values()]
        return [status for status in found if status is not None]

    def stop(self) -> None:
        """Stop all duties without releasing their leases."""
        gevent.killall(self.greenlets, block=False)

    def _ensure_duty(self, model: str, zone: str) -> None:
        if (model, zone) in self.duties:
            return
        lease = Lease(
            self.store,
            self.clock,
            ROLLOUT_DUTY,
            f"{model}-{zone}",
            self.node,
            LEASE_MS,
            self.rng,
            self.lease_cache,
        )
        duty = RolloutDuty(
            model,
            zone,
            self.store,
            self.clock,
            self.table,
            lambda: self.policy.rollout_limits(model),
            lease,
            logger("rollout"),
        )
        self.duties[model, zone] = duty
        self.greenlets.append(gevent.spawn(duty.run))
