"""Steps of trainers: produces samples under a lease and answers pulls at any entry."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import gevent
from returns.result import Failure, Result, Success

from ..clock import Clock, Deadline
from ..lease.lease import Lease
from ..objects.api import ObjectStore, StoreUnavailable
from ..outcomes import RequestClass
from ..samples.bodies import BodyStore
from ..samples.delivery import Delivered as DeliveredSamples
from ..samples.delivery import NothingReady, Pull, PullOutcome, StepDelivery
from ..samples.ledger import StepPlan
from ..samples.ledger_store import LedgerStore, ledger_key
from ..samples.sample import Sample, Slot, body_digest, new_sample_id
from ..weights.publish import read_desired
from .calls import COMPLETIONS_PATH, Call, CallDone, Delivered, RouteEvent
from .prompts import StepRequest, completion_body_for, load_prompts, save_prompts

LEASE_TTL_MS = 6000
STEP_MS = 250
SLOTS_IN_FLIGHT = 64
PULL_POLL_MS = 500
MAX_PULL_WAIT_MS = 20_000
SAMPLE_TIMEOUT_MS = 120_000
MAX_KNOWN_REQUESTS = 16

Route = Callable[[Call], Iterator[RouteEvent]]


@attrs.define
class StepContext:
    """Hold what all steps of one entry share."""

    store: ObjectStore
    clock: Clock
    node: str
    route: Route
    bodies: BodyStore
    find_body: Callable[[Sample], bytes | None]
    rng: random.Random
    log: Any


@attrs.define
class StepCoordinator:
    """Produce the samples of one step while holding its lease."""

    context: StepContext
    request: StepRequest
    lease: Lease
    delivery: StepDelivery
    ledgers: LedgerStore
    in_flight: set[Slot] = attrs.field(factory=set)
    produced: list[Sample] = attrs.field(factory=list)
    finished: bool = False

    def run(self) -> None:
        """Work on the step until it is complete or another entry has the lease."""
        context = self.context
        try:
            while not self.finished:
                self.lease.step()
                if self.lease.held():
                    self._work()
                context.clock.sleep_ms(STEP_MS)
        finally:
            self.lease.release()

    def _work(self) -> None:
        self._record()
        ledger = self.ledgers.update(lambda unchanged: unchanged)
        if isinstance(ledger, Failure):
            return
        current = ledger.unwrap()
        if current.complete():
            self.finished = True
            self.context.log.info(
                "step complete", trainer=self.request.trainer, step=self.request.step
            )
            return
        held = {sample.slot for sample in self.produced}
        for slot in current.open_slots():
            if len(self.in_flight) >= SLOTS_IN_FLIGHT:
                return
            if slot in self.in_flight or slot in held:
                continue
            self.in_flight.add(slot)
            gevent.spawn(self._produce, slot)

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
            self.context.log.info(
                "sample recorded",
                trainer=self.request.trainer,
                step=self.request.step,
                group=sample.slot.group,
                index=sample.slot.index,
                outcome=type(outcome).__name__,
            )

    def _produce(self, slot: Slot) -> None:
        try:
            sample = self._run_slot(slot)
            if sample is not None:
                self.produced.append(sample)
        finally:
            self.in_flight.discard(slot)

    def _run_slot(self, slot: Slot) -> Sample | None:
        context, request = self.context, self.request
        sample_id = new_sample_id(context.rng)
        seed = context.rng.getrandbits(31)
        call = Call(
            f"{request.trainer}-{request.step}-{slot.group}-{slot.index}-{sample_id[:6]}",
            RequestClass.TRAINING,
            Deadline.after(context.clock, SAMPLE_TIMEOUT_MS),
            request.model,
            "POST",
            COMPLETIONS_PATH,
            (),
            completion_body_for(request, slot, seed),
            idempotent=True,
            expected_tokens=request.max_tokens,
            tenant=request.trainer,
            retain=sample_id,
        )
        parts: list[bytes] = []
        for event in context.route(call):
            if isinstance(event, Delivered):
                parts.append(event.data)
                continue
            if not isinstance(event, CallDone) or event.status != 200:
                return None
            body = b"".join(parts)
            context.bodies.put(sample_id, body)
            return Sample(
                sample_id, slot, body_digest(body), event.spans, event.agent, context.node
            )
        return None


@attrs.define
class StepService:
    """Create steps and answer pulls; coordinates each step that it sees if nobody else does."""

    context: StepContext
    coordinators: dict[tuple[str, int], StepCoordinator] = attrs.field(factory=dict)
    requests: OrderedDict[tuple[str, int], StepRequest] = attrs.field(factory=OrderedDict)

    def create(self, request: StepRequest) -> Result[StepPlan, str]:
        """Create the step, or accept a repeated request for the same one."""
        saved = save_prompts(self.context.store, request)
        if isinstance(saved, Failure):
            return saved
        created = self._ledgers(request.trainer, request.step).create(request.plan())
        if isinstance(created, Failure):
            return Failure(f"step not created: {created.failure()}")
        self._coordinate(request)
        return Success(request.plan())

    def pull(self, trainer: str, step: int, pull: Pull, wait_ms: int) -> PullOutcome:
        """Answer one pull, waiting up to ``wait_ms`` for samples."""
        self._ensure_coordinator(trainer, step)
        clock = self.context.clock
        deadline = Deadline.after(clock, min(wait_ms, MAX_PULL_WAIT_MS))
        delivery = self._delivery(trainer, step)
        while True:
            outcome = delivery.pull(pull)
            if isinstance(outcome, DeliveredSamples):
                self._log_delivery(trainer, step, outcome)
                return outcome
            if not isinstance(outcome, NothingReady) or deadline.expired(clock):
                return outcome
            clock.sleep_ms(PULL_POLL_MS)

    def _log_delivery(self, trainer: str, step: int, outcome: DeliveredSamples) -> None:
        self.context.log.info(
            "samples delivered",
            trainer=trainer,
            step=step,
            cursor=outcome.cursor,
            attempt=outcome.attempt,
            samples=len(outcome.samples),
            newest_version=outcome.newest_version,
        )

    def _ensure_coordinator(self, trainer: str, step: int) -> None:
        """Start coordinating a step whose former coordinator may be gone."""
        if (trainer, step) in self.coordinators:
            return
        loaded = self._request(trainer, step)
        if isinstance(loaded, Success) and loaded.unwrap() is not None:
            self._coordinate(loaded.unwrap())

    def _request(self, trainer: str, step: int) -> Result[StepRequest | None, str]:
        """Return the request of a step; it never changes, so it is read once."""
        known = self.requests.get((trainer, step))
        if known is not None:
            return Success(known)
        loaded = load_prompts(self.context.store, trainer, step)
        if isinstance(loaded, Success) and loaded.unwrap() is not None:
            self.requests[trainer, step] = loaded.unwrap()
            while len(self.requests) > MAX_KNOWN_REQUESTS:
                self.requests.popitem(last=False)
        return loaded

    def _coordinate(self, request: StepRequest) -> None:
        name = (request.trainer, request.step)
        if name in self.coordinators:
            return
        context = self.context
        lease = Lease(
            context.store,
            context.clock,
            "step",
            f"{request.trainer}-{request.step}",
            context.node,
            LEASE_TTL_MS,
            context.rng,
        )
        coordinator = StepCoordinator(
            context,
            request,
            lease,
            self._delivery(request.trainer, request.step),
            self._ledgers(request.trainer, request.step),
        )
        self.coordinators[name] = coordinator
        greenlet = gevent.spawn(coordinator.run)
        greenlet.link(lambda _greenlet: self.coordinators.pop(name, None))

    def _ledgers(self, trainer: str, step: int) -> LedgerStore:
        return LedgerStore(self.context.store, ledger_key(trainer, step), self.context.rng)

    def _delivery(self, trainer: str, step: int) -> StepDelivery:
        ledgers = self._ledgers(trainer, step)
        return StepDelivery(ledgers, self.context.find_body, lambda: self._newest(trainer, step))

    def _newest(self, trainer: str, step: int) -> Result[int, StoreUnavailable]:
        loaded = self._request(trainer, step)
        if isinstance(loaded, Failure):
            return Failure(StoreUnavailable(loaded.failure()))
        request = loaded.unwrap()
        if request is None:
            return Success(0)
        desired = read_desired(self.context.store, request.model)
        if isinstance(desired, Failure):
            return Failure(StoreUnavailable(str(desired.failure())))
        published = desired.unwrap()
        return Success(0 if published is None else published.version)
