"""Steps of trainers: coordinates them under a lease and answers pulls at any entry."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping
from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any

import attrs
import gevent
from returns.result import Failure, Result, Success

from ..clock import MS_PER_SECOND, Clock, Deadline
from ..lease.lease import Lease
from ..objects.api import ObjectStore, StoreUnavailable
from ..samples import coordinator as policy
from ..samples.answers import Answer, answer, parse_pull, parse_step
from ..samples.bodies import BodyCache
from ..samples.capacity import StepDemand, share_capacity
from ..samples.delivery import BodySource, NothingReady, Pull, PullOutcome, StepDelivery
from ..samples.delivery import Delivered as DeliveredSamples
from ..samples.ledger import SlotState, StepLedger
from ..samples.ledger_store import LedgerStore
from ..samples.retention import prune_steps
from ..samples.sample import Sample, Slot
from ..samples.steps import OpenedStep, StepRegistry
from ..weights.publish import read_desired
from .measures import TrainerMeasures
from .production import Production, Route

LEASE_MS = 6000
STEP_MS = 250
PULL_POLL_MS = 500
# A pull without samples waits this long for some, which spares the trainer a second of pause.
PULL_WAIT_MS = 5000
RECENT_FINISHED = 64
# Taken until samples of the step have finished.
EXPECTED_SAMPLE_MS = 10_000
MIN_QUOTA = 4


@attrs.define
class StepContext:
    """Hold what all steps of one entry share."""

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
    """Return the newest published version of a model; 0 if none was published."""
    read = read_desired(store, model)
    if isinstance(read, Failure):
        return read
    published = read.unwrap()
    return Success(0 if published is None else published.version)


Quota = Callable[["StepCoordinator"], int]


@attrs.define
class StepCoordinator:
    """Produce the samples of one step while holding its lease."""

    context: StepContext
    opened: OpenedStep
    lease: Lease
    delivery: StepDelivery
    ledgers: LedgerStore
    quota: Quota
    demand: StepDemand | None = None
    productions: dict[str, Production] = attrs.field(factory=dict)
    produced: list[Sample] = attrs.field(factory=list)
    recent: list[policy.FinishedFacts] = attrs.field(factory=list)
    limits: policy.StragglerLimits = attrs.field(factory=policy.StragglerLimits)
    deadline: Deadline = attrs.field(init=False)
    complete: bool = False
    reported_late: bool = False

    def __attrs_post_init__(self) -> None:
        now_unix_ms = int(time.time() * MS_PER_SECOND)
        remaining_ms = self.opened.remaining_ms(now_unix_ms)
        self.deadline = Deadline(self.context.clock.now_ms() + remaining_ms)

    @property
    def name(self) -> str:
        """Return the name of the step in logs and in the body cache."""
        return f"{self.opened.plan.trainer}/{self.opened.plan.step}"

    def run(self) -> None:
        """Work on the step until it is complete."""
        try:
            while not self.complete:
                self.lease.step()
                if self.lease.held():
                    self._work()
                self.context.clock.sleep_ms(STEP_MS)
        finally:
            for production in list(self.productions.values()):
                production.cancel()
            self.lease.release()
        prune_steps(self.context.store, self.opened.plan.trainer)

    def _work(self) -> None:
        self._record()
        read = self.ledgers.update(lambda unchanged: unchanged)
        newest = newest_version(self.context.store, self.opened.plan.model)
        if isinstance(read, Failure) or isinstance(newest, Failure):
            return
        ledger = read.unwrap()
        if not self.produced:
            needed = {sample.slot: sample for sample in ledger.samples.values()}
            self.context.cache.release_unneeded(self.name, needed)
        if ledger.complete():
            self.complete = True
            self.context.log.info("step complete", step=self.name)
            return
        facts = self._facts(ledger, newest.unwrap())
        now_ms = self.context.clock.now_ms()
        self.demand = self._demand(len(facts.open_slots))
        quota = self.quota(self)
        for action in policy.decide_step(facts, self.limits, quota, now_ms):
            self.act(action)

    def _demand(self, open_slots: int) -> StepDemand:
        """Return what the step still needs, for the share of capacity among steps."""
        durations = [facts.duration_ms for facts in self.recent] or [EXPECTED_SAMPLE_MS]
        expected_ms = round(sum(durations) / len(durations))
        remaining_ms = self.deadline.remaining_ms(self.context.clock)
        return StepDemand(self.name, open_slots, expected_ms, remaining_ms)

    def _facts(self, ledger: StepLedger, newest: int) -> policy.StepFacts:
        held = {sample.slot for sample in self.produced}
        open_slots = tuple(slot for slot in ledger.open_slots() if slot not in held)
        plan = self.opened.plan
        return policy.StepFacts(
            plan.slot_count,
            open_slots,
            plan.staleness_bound,
            newest,
            tuple(production.facts() for production in self.productions.values()),
            tuple(self.recent),
            len(ledger.slots_in(SlotState.CUT)),
            self.deadline.at_ms,
        )

    @singledispatchmethod
    def act(self, action: object) -> None:
        """Carry out one action of the policy."""
        raise TypeError(type(action))

    @act.register
    def _(self, action: policy.StartSlot) -> None:
        self._start(action.slot, (), "started", action.reason)

    @act.register
    def _(self, action: policy.HedgeSlot) -> None:
        self._start(action.slot, action.avoid, "hedged", action.reason)

    @act.register
    def _(self, action: policy.RestartSlot) -> None:
        self._cancel(action.cancel)
        self._start(action.slot, action.avoid, "restarted", action.reason)

    @act.register
    def _(self, action: policy.CancelAttempt) -> None:
        self._cancel((action.attempt,))

    @act.register
    def _(self, action: policy.CutSlot) -> None:
        plan = self.opened.plan
        cut = self.context.registry.cut(plan.trainer, plan.step, (action.slot,))
        if isinstance(cut, Success):
            self._cancel(action.cancel)
            self._log("cut", action.slot, action.reason)

    @act.register
    def _(self, action: policy.DeadlineMissed) -> None:
        if self.reported_late:
            return
        self.reported_late = True
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
        # A link also fires for a greenlet that is killed before it ran.
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
        if not self.context.cache.keep(self.name, sample, body):
            self.context.log.warning("body not kept, cache is full", step=self.name)
            return
        self.recent = [*self.recent, production.finished_facts()][-RECENT_FINISHED:]
        self.produced.append(sample)

    def _record(self) -> None:
        """Record what was produced in one conditional write."""
        batch = list(self.produced)
        if not batch:
            return
        recorded = self.delivery.record(batch)
        if isinstance(recorded, Failure):
            self.context.log.info("samples not recorded", reason=recorded.failure().reason)
            return
        self.produced = [sample for sample in self.produced if sample not in batch]
        for sample, outcome in zip(batch, recorded.unwrap(), strict=True):
            self._log("sample recorded", sample.slot, type(outcome).__name__)


@attrs.define
class StepService:
    """Open steps and answer pulls; coordinates each step that it sees if nobody else does."""

    context: StepContext
    staleness_bounds: Callable[[], Mapping[str, int]]
    slots: Callable[[str], int]
    coordinators: dict[tuple[str, int], StepCoordinator] = attrs.field(factory=dict)
    measures: TrainerMeasures = attrs.field(factory=TrainerMeasures)

    def create(self, body: bytes) -> Answer:
        """Answer ``POST /v1/steps``."""
        now_unix_ms = int(time.time() * MS_PER_SECOND)
        refused = self._check_bound(body, now_unix_ms)
        if refused is not None:
            return refused
        opened = self.context.registry.open(body, now_unix_ms)
        if isinstance(opened, Failure):
            return opened.failure()
        plan = opened.unwrap().plan
        self._coordinate(opened.unwrap())
        return Answer(HTTPStatus.CREATED, {"step": plan.step, "samples": plan.slot_count})

    def _check_bound(self, body: bytes, now_unix_ms: int) -> Answer | None:
        """Refuse a step that allows older samples than the agreed bound of its model."""
        parsed = parse_step(body, now_unix_ms)
        if isinstance(parsed, Failure):
            return None
        plan, _request = parsed.unwrap()
        agreed = self.staleness_bounds().get(plan.model)
        if agreed is None or plan.staleness_bound <= agreed:
            return None
        detail = f"staleness_bound {plan.staleness_bound} is above the agreed {agreed}"
        return Answer(HTTPStatus.BAD_REQUEST, {"detail": detail})

    def quota(self, coordinator: StepCoordinator) -> int:
        """Return how many samples of a step may be generated in parallel."""
        model = coordinator.opened.plan.model
        demands = [
            other.demand
            for other in self.coordinators.values()
            if other.demand is not None and other.opened.plan.model == model
        ]
        shares = share_capacity(demands, self.slots(model))
        return max(MIN_QUOTA, shares.get(coordinator.name, 0))

    def pull(self, trainer: str, step: int, query: Mapping[str, str]) -> Answer:
        """Answer one pull, waiting for samples if there are none."""
        parsed = parse_pull(query)
        if isinstance(parsed, Failure):
            return Answer(HTTPStatus.BAD_REQUEST, {"detail": parsed.failure()})
        opened = self._ensure_coordinator(trainer, step)
        if isinstance(opened, Failure):
            return opened.failure()
        outcome = self._pull(opened.unwrap(), parsed.unwrap())
        if isinstance(outcome, DeliveredSamples):
            self.measures.handed_over(outcome)
            self.context.log.info(
                "samples delivered",
                step=f"{trainer}/{step}",
                cursor=outcome.cursor,
                attempt=outcome.attempt,
                samples=len(outcome.samples),
                newest_version=outcome.newest_version,
            )
        return answer(outcome)

    def _pull(self, opened: OpenedStep, pull: Pull) -> PullOutcome:
        clock = self.context.clock
        deadline = Deadline.after(clock, PULL_WAIT_MS)
        delivery = self._delivery(opened)
        while True:
            started_ms = clock.now_ms()
            outcome = delivery.pull(pull)
            if not isinstance(outcome, NothingReady) or deadline.expired(clock):
                return outcome
            clock.sleep_ms(PULL_POLL_MS)
            self.measures.waited(opened.plan.trainer, clock.now_ms() - started_ms)

    def _ensure_coordinator(self, trainer: str, step: int) -> Result[OpenedStep, Answer]:
        """Start coordinating a step whose former coordinator may be gone."""
        known = self.coordinators.get((trainer, step))
        if known is not None:
            return Success(known.opened)
        taken = self.context.registry.take_over(trainer, step)
        if isinstance(taken, Success) and taken.unwrap().open_slots:
            self._coordinate(taken.unwrap())
        return taken

    def _coordinate(self, opened: OpenedStep) -> None:
        plan = opened.plan
        name = (plan.trainer, plan.step)
        if name in self.coordinators:
            return
        context = self.context
        shard = f"{plan.trainer}-{plan.step}"
        lease = Lease(
            context.store, context.clock, "step", shard, context.node, LEASE_MS, context.rng
        )
        ledgers = context.registry.ledgers(plan.trainer, plan.step)
        coordinator = StepCoordinator(
            context, opened, lease, self._delivery(opened), ledgers, self.quota
        )
        self.coordinators[name] = coordinator
        greenlet = gevent.spawn(coordinator.run)
        greenlet.link(lambda _greenlet: self.coordinators.pop(name, None))

    def _delivery(self, opened: OpenedStep) -> StepDelivery:
        context, plan = self.context, opened.plan
        return StepDelivery(
            context.registry.ledgers(plan.trainer, plan.step),
            context.find_body,
            lambda: newest_version(context.store, plan.model),
        )
