"""Training steps: creation, pulls at any entry, and coordination under a lease."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from http import HTTPStatus

import attrs
import gevent
from returns.result import Failure, Result, Success

from ..clock import MS_PER_SECOND, Deadline
from ..lease.lease import Lease
from ..samples.capacity import allocate_capacity
from ..samples.delivery import NoSamplesReady, Pull, PullOutcome, SamplesDelivered, StepDelivery
from ..samples.http_api import StepResponse, parse_pull, parse_step, pull_response
from ..samples.ledger import StepPlan
from ..samples.ledger_store import LedgerStore
from ..samples.parts import LEASE_DUTY, lease_prefix, lease_shard, part_name
from ..samples.steps import OpenedStep
from .coordination import StepContext, StepCoordinator, newest_version
from .operator_metrics import TrainerMetrics

LEASE_MS = 6000
PULL_POLL_MS = 500
# Time that a pull waits for samples. An empty response makes the trainer pause for a second.
PULL_WAIT_MS = 5000
MIN_PARALLEL_SAMPLES = 4


@attrs.define
class StepService:
    """Creates steps, answers pulls and coordinates parts that no other entry coordinates."""

    context: StepContext
    staleness_bounds: Callable[[], Mapping[str, int]]
    slots: Callable[[str], int]
    coordinators: dict[tuple[str, int, int], StepCoordinator] = attrs.field(factory=dict)
    # Keys of the held leases of parts of multi-part steps. The more of them this entry holds, the
    # longer it defers to other entries before it takes another one.
    held_parts: set[str] = attrs.field(factory=set)
    trainer_metrics: TrainerMetrics = attrs.field(factory=TrainerMetrics)

    def create(self, body: bytes) -> StepResponse:
        """Create a step for ``POST /v1/steps``."""
        now_unix_ms = int(time.time() * MS_PER_SECOND)
        refused = self._check_staleness_bound(body, now_unix_ms)
        if refused is not None:
            return refused
        opened = self.context.registry.open(body, now_unix_ms)
        if isinstance(opened, Failure):
            return opened.failure()
        plan = opened.unwrap().plan
        self._start_coordinator(opened.unwrap())
        fields = {"step": plan.step, "samples": plan.step_slot_count, "parts": plan.parts}
        return StepResponse(HTTPStatus.CREATED, fields)

    def _check_staleness_bound(self, body: bytes, now_unix_ms: int) -> StepResponse | None:
        """Return a refusal if the step allows older samples than configured for its model."""
        parsed = parse_step(body, now_unix_ms)
        if isinstance(parsed, Failure):
            return None
        plan, _request = parsed.unwrap()
        agreed = self.staleness_bounds().get(plan.model)
        if agreed is None or plan.staleness_bound <= agreed:
            return None
        detail = f"staleness_bound {plan.staleness_bound} is above the agreed {agreed}"
        return StepResponse(HTTPStatus.BAD_REQUEST, {"detail": detail})

    def quota(self, coordinator: StepCoordinator) -> int:
        """Return how many samples of a part may be generated in parallel."""
        model = coordinator.opened.plan.model
        demands = [
            other.demand
            for other in self.coordinators.values()
            if other.demand is not None and other.opened.plan.model == model
        ]
        shares = allocate_capacity(demands, self.slots(model))
        return max(MIN_PARALLEL_SAMPLES, shares.get(coordinator.name, 0))

    def pull(self, trainer: str, step: int, query: Mapping[str, str]) -> StepResponse:
        """Answer one pull; wait up to ``PULL_WAIT_MS`` if no samples are ready."""
        parsed = parse_pull(query)
        if isinstance(parsed, Failure):
            return StepResponse(HTTPStatus.BAD_REQUEST, {"detail": parsed.failure()})
        pull = parsed.unwrap()
        opened = self._ensure_coordinator(trainer, step, pull.part)
        if isinstance(opened, Failure):
            return opened.failure()
        parts = opened.unwrap().plan.parts
        if parts > 1 and "part" not in query:
            # A client that does not support parts would mistake part 0 for the whole step.
            detail = f"the step has {parts} parts; name one of them with part"
            return StepResponse(HTTPStatus.BAD_REQUEST, {"detail": detail, "parts": parts})
        outcome = self._long_poll(opened.unwrap(), pull)
        if isinstance(outcome, SamplesDelivered):
            self.trainer_metrics.record_delivery(outcome)
            self.context.log.info(
                "samples delivered",
                step=part_name(opened.unwrap().plan),
                cursor=outcome.cursor,
                attempt=outcome.attempt,
                samples=len(outcome.samples),
                newest_version=outcome.newest_version,
            )
        return pull_response(outcome)

    def _long_poll(self, opened: OpenedStep, pull: Pull) -> PullOutcome:
        clock = self.context.clock
        deadline = Deadline.after(clock, PULL_WAIT_MS)
        delivery = self._delivery(opened)
        while True:
            started_ms = clock.now_ms()
            outcome = delivery.pull(pull)
            if not isinstance(outcome, NoSamplesReady):
                return outcome
            self._await_change(opened.plan, delivery.ledger_store, deadline)
            plan = opened.plan
            self.trainer_metrics.record_idle(plan.trainer, clock.now_ms() - started_ms, plan.parts)
            if deadline.expired(clock):
                return outcome

    def _await_change(self, plan: StepPlan, ledgers: LedgerStore, deadline: Deadline) -> None:
        """Wait until the ledger changes or the deadline passes.

        While the ledger is unchanged, another pull would not return any samples either.
        """
        clock = self.context.clock
        held = ledgers.cached
        while held is not None and not deadline.expired(clock):
            clock.sleep_ms(PULL_POLL_MS)
            if not self._is_coordinating(plan):
                ledgers.refresh()
            if ledgers.cached is None or ledgers.cached.version != held.version:
                return

    def _is_coordinating(self, plan: StepPlan) -> bool:
        """Return whether this entry coordinates the part and so keeps its ledger cache current."""
        known = self.coordinators.get((plan.trainer, plan.step, plan.part))
        return known is not None and known.lease.held()

    def _ensure_coordinator(
        self, trainer: str, step: int, part: int
    ) -> Result[OpenedStep, StepResponse]:
        """Return the opened part; start a coordinator for it if this entry runs none.

        The entry that coordinated the part before may have failed.
        """
        known = self.coordinators.get((trainer, step, part))
        if known is not None:
            return Success(known.opened)
        taken = self.context.registry.take_over(trainer, step, part)
        if isinstance(taken, Success) and taken.unwrap().open_slots:
            self._start_coordinator(taken.unwrap())
        return taken

    def _start_coordinator(self, opened: OpenedStep) -> None:
        plan = opened.plan
        name = (plan.trainer, plan.step, plan.part)
        if name in self.coordinators:
            return
        context = self.context
        lease = Lease(
            context.store,
            context.clock,
            LEASE_DUTY,
            lease_shard(plan),
            context.node,
            LEASE_MS,
            context.rng,
            held_keys=self.held_parts if plan.parts > 1 else None,
            prefix=lease_prefix(plan),
        )
        ledgers = context.registry.ledger_store(plan)
        coordinator = StepCoordinator(
            context, opened, lease, self._delivery(opened), ledgers, self.quota
        )
        self.coordinators[name] = coordinator
        greenlet = gevent.spawn(coordinator.run)
        greenlet.link(lambda _greenlet: self.coordinators.pop(name, None))

    def _delivery(self, opened: OpenedStep) -> StepDelivery:
        context, plan = self.context, opened.plan
        return StepDelivery(
            context.registry.ledger_store(plan),
            context.find_body,
            lambda: newest_version(context.store, plan.model),
        )
