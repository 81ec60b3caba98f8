"""Roll-out duties: under a lease, orders the agents of one model and zone to load new weights."""

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
from ..lease.reading import LeaseReads
from ..logs import logger
from ..membership.directory import Member
from ..objects.api import ObjectStore
from ..weights.gate import LOAD_VERSION
from ..weights.publish import read_desired
from ..weights.rollout import AgentWeights, RolloutLimits, SwapInProgress, plan_wave
from ..wire.messages import Order, OrderResult
from .links import AgentLink, LinkLost
from .policy import PolicyView
from .table import LinkTable

ROLLOUT_DUTY = "weights"
LEASE_MS = 6000
STEP_MS = 1000
BUSY_STEP_MS = 100


@attrs.define
class _AgentProgress:
    version: int | None = None
    read_ms: int = -1
    failures: int = 0
    last_failed_ms: int | None = None
    ordered_ms: int | None = None


@attrs.define
class RolloutDuty:
    """Bring the engines of one model and zone to the desired version."""

    model: str
    zone: str
    store: ObjectStore
    clock: Clock
    table: LinkTable
    limits: Callable[[], RolloutLimits]
    lease: Lease
    log: Any
    answers: Queue = attrs.field(factory=Queue)
    progress: dict[str, _AgentProgress] = attrs.field(factory=dict)
    in_progress: dict[str, SwapInProgress] = attrs.field(factory=dict)
    orders: dict[str, str] = attrs.field(factory=dict)
    desired_version: int = -1

    def run(self) -> None:
        """Hold the lease if possible and work while it is held."""
        lease_due_ms = 0
        while True:
            if self.clock.now_ms() >= lease_due_ms:
                self.lease.step()
                lease_due_ms = self.clock.now_ms() + STEP_MS
                self._read_desired()
            pause_ms = STEP_MS
            if self.lease.held() and self.desired_version >= 0:
                pause_ms = self._work()
            self.clock.sleep_ms(pause_ms)

    def _read_desired(self) -> None:
        if not self.lease.held():
            return
        desired = read_desired(self.store, self.model).value_or(None)
        if desired is None or desired.version <= self.desired_version:
            return
        self.desired_version = desired.version
        self.progress.clear()

    def _work(self) -> int:
        """Take answers, plan a wave and send its orders; return the pause until the next step."""
        self._take_answers()
        members = self._members()
        self.table.require(f"{self.model}/{self.zone}", [member.node for member in members])
        agents = [self._weights(member) for member in members]
        now_ms = self.clock.now_ms()
        wave = plan_wave(
            agents, self.desired_version, list(self.in_progress.values()), self.limits(), now_ms
        )
        for order in wave.orders:
            self._order(order.agent, order.reason)
        for agent in wave.overdue:
            self._fail(agent, "no result in time")
        if wave.finished and not self.in_progress:
            return STEP_MS
        return BUSY_STEP_MS

    def _members(self) -> list[Member]:
        return [
            member for member in self.table.directory.live(self.model) if member.zone == self.zone
        ]

    def _weights(self, member: Member) -> AgentWeights:
        link = self.table.links.get(member.node)
        progress = self.progress.setdefault(member.node, _AgentProgress())
        serving = link is not None and link.ready()
        self._take_report(link, progress)
        return AgentWeights(
            member.node,
            member.zone,
            progress.version,
            serving=serving,
            failures=progress.failures,
            last_failed_ms=progress.last_failed_ms,
            ordered_ms=progress.ordered_ms,
        )

    def _take_report(self, link: AgentLink | None, progress: _AgentProgress) -> None:
        """Take the version of the agent's report, unless an order's result is more recent."""
        if link is None or link.load is None or not link.load.serving_versions:
            return
        reported_ms = link.observed_ms - link.load.versions_age_ms
        if reported_ms > progress.read_ms:
            progress.version = link.load.serving_versions[-1]
            progress.read_ms = reported_ms

    def _order(self, agent: str, reason: str) -> None:
        link = self.table.links.get(agent)
        # The lease may have lapsed while the wave was planned; the agent checks the fence as well.
        if link is None or not self.lease.held():
            return
        identifier = f"order-{secrets.token_hex(6)}"
        order = Order(identifier, self.lease.fence, LOAD_VERSION, self.model, self.desired_version)
        if not link.ask(identifier, order, self.answers):
            return
        now_ms = self.clock.now_ms()
        self.orders[identifier] = agent
        self.in_progress[agent] = SwapInProgress(agent, self.desired_version, now_ms)
        self.progress[agent].ordered_ms = now_ms
        self.log.info(
            "ordered",
            agent=agent,
            version=self.desired_version,
            fence=self.lease.fence,
            reason=reason,
        )

    def _take_answers(self) -> None:
        while True:
            try:
                _link, answer = self.answers.get_nowait()
            except Empty:
                return
            self._take(answer)

    def _take(self, answer: OrderResult | LinkLost) -> None:
        identifier = answer.order if isinstance(answer, OrderResult) else answer.attempt
        agent = self.orders.pop(identifier, None)
        if agent is None:
            return
        if isinstance(answer, LinkLost):
            self._fail(agent, answer.reason)
            return
        progress = self.progress.setdefault(agent, _AgentProgress())
        if answer.version >= 0:
            progress.version = answer.version
            progress.read_ms = self.clock.now_ms()
        if not answer.accepted:
            self._fail(agent, answer.reason or f"version {answer.version} read back")
            return
        self.in_progress.pop(agent, None)
        self.log.info("swapped", agent=agent, version=answer.version)

    def _fail(self, agent: str, reason: str) -> None:
        self.in_progress.pop(agent, None)
        progress = self.progress.setdefault(agent, _AgentProgress())
        progress.failures += 1
        progress.last_failed_ms = self.clock.now_ms()
        self.log.warning("swap failed", agent=agent, reason=reason, failures=progress.failures)


@attrs.define
class RolloutDuties:
    """Start a duty for each model and zone that the directory names."""

    store: ObjectStore
    clock: Clock
    table: LinkTable
    policy: PolicyView
    node: str
    rng: random.Random
    lease_reads: LeaseReads
    duties: dict[tuple[str, str], RolloutDuty] = attrs.field(factory=dict)
    greenlets: list[gevent.Greenlet] = attrs.field(factory=list)

    def run(self) -> None:
        """Look for new models and zones until the greenlet is killed."""
        while True:
            for member in self.table.directory.known():
                for target in member.models:
                    if not target.startswith("services/"):
                        self._ensure(target, member.zone)
            self.clock.sleep_ms(STEP_MS)

    def stop(self) -> None:
        """End all duties and give their leases back."""
        gevent.killall(self.greenlets, block=False)
        for duty in self.duties.values():
            duty.lease.release()

    def _ensure(self, model: str, zone: str) -> None:
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
            self.lease_reads,
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
