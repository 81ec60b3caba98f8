"""Coordination of one part of a training step by the entry that holds the part's lease."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

import attrs
import gevent
from returns.result import Failure, Result, Success

from ..clock import MS_PER_SECOND, Clock, Deadline
from ..lease.lease import Lease
from ..objects.api import ObjectStore, StoreUnavailable
from ..samples import step_policy as policy
from ..samples.bodies import BodyCache
from ..samples.capacity import StepDemand
from ..samples.delivery import BodySource, StepDelivery
from ..samples.ledger import SlotState, StepLedger
from ..samples.ledger_store import LedgerStore, StepUnknown
from ..samples.parts import part_name
from ..samples.retention import prune_steps
from ..samples.sample import Sample, Slot
from ..samples.steps import OpenedStep, StepRegistry
from ..weights.publish import read_desired
from .production import Production, Route

STEP_INTERVAL_MS = 250
# Interval at which the ledger and the newest version are read again. Changes by other entries, such
# as a reopened slot, are seen at most this much later.
REFRESH_INTERVAL_MS = 1000
MAX_RECENT_COMPLETIONS = 64
# Expected generation time while no sample of the step has completed.
DEFAULT_SAMPLE_MS = 10_000


@attrs.define
class StepContext:
    """Dependencies that all steps of one entry share."""

    store: ObjectStore
    clock: Clock
    node: str
    route: Route
    cache: BodyCache
    find_body: BodySource
    registry: StepRegistry
    rng: random.Random
    log: Any


def newest_version(store: ObjectStore, model: str) -> Result[int, StoreUnavailable]:
    """Return the newest published version of a model, or 0 if none has been published."""
    read = read_desired(store, model)
    if isinstance(read, Failure):
        return read
    published = read.unwrap()
    return Success(0 if published is None else published.version)


# Returns how many samples of a coordinator's part may be generated in parallel.
Quota = Callable[["StepCoordinator"], int]


@attrs.define
class StepCoordinator:
    """Generates the samples of one part of a step while this entry holds the part's lease."""

    context: StepContext
    opened: OpenedStep
    lease: Lease
    delivery: StepDelivery
    ledgers: LedgerStore
    quota: Quota
    demand: StepDemand | None = None
    productions: dict[str, Production] = attrs.field(factory=dict)
    unrecorded: list[Sample] = attrs.field(factory=list)
    recent_completions: list[policy.CompletedAttempt] = attrs.field(factory=list)
    limits: policy.StragglerLimits = attrs.field(factory=policy.StragglerLimits)
    deadline: Deadline = attrs.field(init=False)
    complete: bool = False
    deadline_reported: bool = False
    newest: int = 0
    next_refresh_ms: int = 0

    def __attrs_post_init__(self) -> None:
        now_unix_ms = int(time.time() * MS_PER_SECOND)
        remaining_ms = self.opened.remaining_ms(now_unix_ms)
        self.deadline = Deadline(self.context.clock.now_ms() + remaining_ms)

    @property
    def name(self) -> str:
        """Return the part's name, as used in logs and in the body cache."""
        return part_name(self.opened.plan)

    def run(self) -> None:
        """Acquire the lease and coordinate the part until it is complete."""
        try:
            while not self.complete:
                self.lease.step()
                if self.lease.held():
                    self._coordinate()
                self.context.clock.sleep_ms(STEP_INTERVAL_MS)
        finally:
            for production in list(self.productions.values()):
                production.cancel()
            self.lease.release()
        prune_steps(self.context.store, self.opened.plan.trainer)

    def _coordinate(self) -> None:
        self._record_produced_samples()
        if not self._refresh_state() or self.ledgers.cached is None:
            return
        ledger = self.ledgers.cached.ledger
        if not self.unrecorded:
            needed = {sample.slot: sample for sample in ledger.samples.values()}
            self.context.cache.remove_unreferenced(self.name, needed)
        if ledger.complete():
            self.complete = True
            self.context.log.info("step complete", step=self.name)
            return
        snapshot = self._snapshot(ledger, self.newest)
        now_ms = self.context.clock.now_ms()
        self.demand = self._demand(len(snapshot.open_slots))
        quota = self.quota(self)
        for action in policy.decide_actions(snapshot, self.limits, quota, now_ms):
            self.execute(action)

    def _refresh_state(self) -> bool:
        """Reload the ledger and the newest version if due; return False if a read failed."""
        now_ms = self.context.clock.now_ms()
        if now_ms < self.next_refresh_ms:
            return True
        refreshed = self.ledgers.refresh()
        if isinstance(refreshed, Failure) and isinstance(refreshed.failure(), StepUnknown):
            # A ledger is deleted only after its step is complete.
            self.complete = True
        newest = newest_version(self.context.store, self.opened.plan.model)
        if isinstance(refreshed, Failure) or isinstance(newest, Failure):
            return False
        self.newest = newest.unwrap()
        self.next_refresh_ms = now_ms + REFRESH_INTERVAL_MS
        return True

    def _demand(self, open_slots: int) -> StepDemand:
        """Return the remaining work, by which capacity is divided among steps."""
        durations = [completion.duration_ms for completion in self.recent_completions] or [
            DEFAULT_SAMPLE_MS
        ]
        expected_ms = round(sum(durations) / len(durations))
        remaining_ms = self.deadline.remaining_ms(self.context.clock)
        return StepDemand(self.name, open_slots, expected_ms, remaining_ms)

    def _snapshot(self, ledger: StepLedger, newest: int) -> policy.StepSnapshot:
        held = {sample.slot for sample in self.unrecorded}
        open_slots = tuple(slot for slot in ledger.open_slots() if slot not in held)
        plan = self.opened.plan
        return policy.StepSnapshot(
            plan.slot_count,
            open_slots,
            plan.staleness_bound,
            newest,
            tuple(production.running_attempt() for production in self.productions.values()),
            tuple(self.recent_completions),
            len(ledger.slots_in(SlotState.CUT)),
            self.deadline.at_ms,
        )

    @singledispatchmethod
    def execute(self, action: object) -> None:
        """Execute one action that the step policy decided on."""
        raise TypeError(type(action))

    @execute.register
    def _(self, action: policy.StartSlot) -> None:
        self._start(action.slot, (), "started", action.reason)

    @execute.register
    def _(self, action: policy.HedgeSlot) -> None:
        self._start(action.slot, action.avoid_agents, "hedged", action.reason)

    @execute.register
    def _(self, action: policy.RestartSlot) -> None:
        self._cancel(action.attempts_to_cancel)
        self._start(action.slot, action.avoid_agents, "restarted", action.reason)

    @execute.register
    def _(self, action: policy.CancelAttempt) -> None:
        self._cancel((action.attempt_id,))

    @execute.register
    def _(self, action: policy.CutSlot) -> None:
        cut = self.context.registry.cut(self.opened.plan, (action.slot,))
        if isinstance(cut, Success):
            self._cancel(action.attempts_to_cancel)
            self._log("cut", action.slot, action.reason)

    @execute.register
    def _(self, action: policy.DeadlineMissed) -> None:
        if self.deadline_reported:
            return
        self.deadline_reported = True
        self.context.log.warning(
            "deadline missed", step=self.name, late_slots=action.late_slots, reason=action.reason
        )

    def _start(self, slot: Slot, avoid: tuple[str, ...], decision: str, reason: str) -> None:
        context = self.context
        production = Production(
            self.opened, slot, avoid, context.clock, context.route, context.node, context.rng
        )
        self.productions[production.sample_id] = production
        production.greenlet = gevent.spawn(self._produce, production)
        # Unlike a ``finally`` in the greenlet, a link also runs if it is killed before it starts.
        production.greenlet.link(lambda _: self.productions.pop(production.sample_id, None))
        self._log(decision, slot, reason)

    def _log(self, decision: str, slot: Slot, reason: str) -> None:
        self.context.log.info(
            decision, step=self.name, group=slot.group, index=slot.index, reason=reason
        )

    def _cancel(self, attempts: tuple[str, ...]) -> None:
        for attempt in attempts:
            production = self.productions.pop(attempt, None)
            if production is not None:
                production.cancel()

    def _produce(self, production: Production) -> None:
        result = production.run()
        if result is None:
            return
        sample, body = result
        if not self.context.cache.add(self.name, sample, body):
            self.context.log.warning("body not kept, cache is full", step=self.name)
            return
        self.recent_completions = [*self.recent_completions, production.completed_attempt()][
            -MAX_RECENT_COMPLETIONS:
        ]
        self.unrecorded.append(sample)

    def _record_produced_samples(self) -> None:
        """Record all unrecorded samples in the ledger with one conditional write."""
        batch = list(self.unrecorded)
        if not batch:
            return
        recorded = self.delivery.record(batch)
        if isinstance(recorded, Failure):
            self.context.log.info("samples not recorded", reason=recorded.failure().reason)
            return
        self.unrecorded = [sample for sample in self.unrecorded if sample not in batch]
        for sample, outcome in zip(batch, recorded.unwrap(), strict=True):
            self._log("sample recorded", sample.slot, type(outcome).__name__)
