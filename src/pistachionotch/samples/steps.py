"""Open a step for a trainer, and take one over from another entry."""

from __future__ import annotations

import random
from http import HTTPStatus

import attrs
from returns.result import Failure, Result, Success

from ..objects.api import ObjectStore
from .answers import RETRY_AFTER_MS, Answer, parse_step
from .ledger import SlotState, StepLedger, StepPlan
from .ledger_format import CorruptLedger
from .ledger_store import LedgerStore, NotCommitted, PlanDiffers, StepUnknown, ledger_key
from .request import RequestFault, StepRequest, load_request, plan_with, store_request
from .retention import StepGone, check_creatable
from .sample import Sample, Slot


@attrs.frozen
class OpenedStep:
    """Hold what an entry needs to coordinate a step."""

    plan: StepPlan
    request: StepRequest
    open_slots: tuple[Slot, ...]
    recorded: tuple[Sample, ...]

    @classmethod
    def of(cls, ledger: StepLedger, request: StepRequest) -> OpenedStep:
        """Summarise a ledger; ``recorded`` are the samples whose bodies must be found."""
        recorded = tuple(ledger.samples[number] for number in sorted(ledger.samples))
        return cls(ledger.plan, request, ledger.open_slots(), recorded)

    def prompt(self, slot: Slot) -> str:
        """Return the prompt of a slot's group."""
        return self.request.prompts[slot.group]

    def remaining_ms(self, now_unix_ms: int) -> int:
        """Return the time to the deadline; an entry adds it to its own monotonic clock."""
        return self.plan.deadline_unix_ms - now_unix_ms


@attrs.define
class StepRegistry:
    """Create and find the steps of all trainers in the object API."""

    store: ObjectStore
    rng: random.Random

    def ledgers(self, trainer: str, step: int) -> LedgerStore:
        """Return the access to one step's ledger."""
        return LedgerStore(self.store, ledger_key(trainer, step), self.rng)

    def open(self, body: bytes, now_unix_ms: int) -> Result[OpenedStep, Answer]:
        """Answer ``POST /v1/steps``; the prompts are stored before the ledger names them."""
        parsed = parse_step(body, now_unix_ms)
        if isinstance(parsed, Failure):
            return Failure(Answer(HTTPStatus.BAD_REQUEST, {"detail": parsed.failure()}))
        plan, request = parsed.unwrap()
        planned = plan_with(plan, request)
        if isinstance(planned, Failure):
            return Failure(refusal(planned.failure()))
        plan = planned.unwrap()
        creatable = check_creatable(self.store, plan.trainer, plan.step)
        if isinstance(creatable, Failure):
            return Failure(refusal(creatable.failure()))
        stored = store_request(self.store, plan, request)
        if isinstance(stored, Failure):
            return Failure(refusal(stored.failure()))
        created = self.ledgers(plan.trainer, plan.step).create(plan)
        if isinstance(created, Failure):
            return Failure(refusal(created.failure()))
        return Success(OpenedStep.of(created.unwrap(), request))

    def take_over(self, trainer: str, step: int) -> Result[OpenedStep, Answer]:
        """Read a step that another entry coordinated; a change of nothing only reads."""
        read = self.ledgers(trainer, step).update(lambda ledger: ledger)
        if isinstance(read, Failure):
            return Failure(refusal(read.failure()))
        ledger = read.unwrap()
        if ledger.complete():
            return Success(OpenedStep.of(ledger, StepRequest(())))
        request = load_request(self.store, ledger.plan)
        if isinstance(request, Failure):
            return Failure(refusal(request.failure()))
        return Success(OpenedStep.of(ledger, request.unwrap()))

    def cut(self, trainer: str, step: int, slots: tuple[Slot, ...]) -> Result[int, Answer]:
        """Cut open slots; return how many slots of the step are cut now."""

        def change(ledger: StepLedger) -> int:
            for slot in slots:
                ledger.cut(slot)
            return len(ledger.slots_in(SlotState.CUT))

        updated = self.ledgers(trainer, step).update(change)
        if isinstance(updated, Failure):
            return Failure(refusal(updated.failure()))
        return Success(updated.unwrap())


def refusal(error: object) -> Answer:
    """Return the HTTP answer for an error of a step."""
    detail = getattr(error, "reason", "")
    if isinstance(error, StepGone):
        detail = f"the trainer is at step {error.newest_step}"
        return Answer(HTTPStatus.GONE, {"detail": detail, "newest_step": error.newest_step})
    if isinstance(error, PlanDiffers):
        return Answer(HTTPStatus.CONFLICT, {"detail": "the step exists with other fields"})
    if isinstance(error, StepUnknown):
        return Answer(HTTPStatus.NOT_FOUND, {"detail": "there is no such step"})
    if isinstance(error, CorruptLedger):
        return Answer(HTTPStatus.INTERNAL_SERVER_ERROR, {"detail": detail})
    if isinstance(error, RequestFault) and error.lost:
        return Answer(HTTPStatus.BAD_REQUEST, {"detail": detail})
    if isinstance(error, NotCommitted) and not detail:
        detail = "the outcome of the write is not known"
    return Answer(HTTPStatus.SERVICE_UNAVAILABLE, {"detail": detail}, RETRY_AFTER_MS)
