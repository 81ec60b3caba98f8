"""Opening of steps for trainers, and takeover of their parts from other entries."""

from __future__ import annotations

import random
from http import HTTPStatus
from weakref import WeakValueDictionary

import attrs
from returns.result import Failure, Result, Success

from ..objects.api import ObjectStore
from .http_api import RETRY_AFTER_MS, StepResponse, parse_step
from .ledger import SlotState, StepLedger, StepPlan
from .ledger_format import CorruptLedger
from .ledger_store import LedgerStore, NotCommitted, PartUnknown, PlanMismatch, StepUnknown
from .parts import count_parts, ledger_key, part_plan, same_step, step_key
from .request import StepRequest, StepRequestError, attach_request, load_request, store_request
from .retention import StepExpired, check_creatable
from .sample import Sample, Slot


@attrs.frozen
class OpenedStep:
    """State that an entry needs to coordinate one part of a step."""

    plan: StepPlan
    request: StepRequest
    open_slots: tuple[Slot, ...]
    recorded: tuple[Sample, ...]

    @classmethod
    def from_ledger(cls, ledger: StepLedger, request: StepRequest) -> OpenedStep:
        """Create from a ledger; ``recorded`` has the samples in it, whose bodies must be found."""
        recorded = tuple(ledger.samples[number] for number in sorted(ledger.samples))
        return cls(ledger.plan, request, ledger.open_slots(), recorded)

    def prompt(self, slot: Slot) -> str:
        """Return the prompt of a slot's group."""
        return self.request.prompts[slot.group]

    def remaining_ms(self, now_unix_ms: int) -> int:
        """Return the time to the deadline; the caller adds it to its monotonic clock."""
        return self.plan.deadline_unix_ms - now_unix_ms


@attrs.define
class StepRegistry:
    """Creates and finds the steps of all trainers in the object API."""

    store: ObjectStore
    rng: random.Random
    part_slots: int | None = None
    # All tasks of this process share one store, and its cached ledger, while any of them uses it.
    ledger_stores: WeakValueDictionary[str, LedgerStore] = attrs.field(factory=WeakValueDictionary)

    def ledger_store(self, plan: StepPlan) -> LedgerStore:
        """Return the store of the ledger of the plan's part."""
        return self._ledger_store(ledger_key(plan))

    def _ledger_store(self, key: str) -> LedgerStore:
        known = self.ledger_stores.get(key)
        if known is None:
            known = self.ledger_stores[key] = LedgerStore(self.store, key, self.rng)
        return known

    def open(self, body: bytes, now_unix_ms: int) -> Result[OpenedStep, StepResponse]:
        """Handle ``POST /v1/steps``: create the step with all its parts, and return its part 0."""
        parsed = parse_step(body, now_unix_ms)
        if isinstance(parsed, Failure):
            return Failure(StepResponse(HTTPStatus.BAD_REQUEST, {"detail": parsed.failure()}))
        plan, request = parsed.unwrap()
        planned = attach_request(plan, request)
        if isinstance(planned, Failure):
            return Failure(error_response(planned.failure()))
        plan = planned.unwrap()
        plan = attrs.evolve(plan, parts=count_parts(plan, self.part_slots))
        created = self._create(plan, request)
        if isinstance(created, Failure):
            return Failure(error_response(created.failure()))
        return Success(OpenedStep.from_ledger(created.unwrap(), request))

    def _create(self, plan: StepPlan, request: StepRequest) -> Result[StepLedger, object]:
        """Create the step, or find an existing one, which may have another part size."""
        created = self._create_parts(plan, request)
        error = created.failure() if isinstance(created, Failure) else None
        if not isinstance(error, PlanMismatch):
            return created
        as_opened = attrs.evolve(plan, parts=error.existing.parts)
        if as_opened == plan or not same_step(as_opened, error.existing):
            return created
        return self._create_parts(as_opened, request)

    def _create_parts(self, plan: StepPlan, request: StepRequest) -> Result[StepLedger, object]:
        """Store the prompts, then the ledgers that reference them, part 0 last."""
        creatable = check_creatable(self.store, plan.trainer, plan.step)
        if isinstance(creatable, Failure):
            return creatable
        stored = store_request(self.store, plan, request)
        if isinstance(stored, Failure):
            return stored
        for part in range(plan.parts - 1, 0, -1):
            created = self._create_part(part_plan(plan, part))
            if isinstance(created, Failure):
                return created
        created = self._create_part(plan)
        if plan.parts == 1 or isinstance(created, Failure):
            return created
        # If the step became old meanwhile, parts may have been pruned before part 0 was created.
        creatable = check_creatable(self.store, plan.trainer, plan.step)
        return creatable if isinstance(creatable, Failure) else created

    def _create_part(self, plan: StepPlan) -> Result[StepLedger, object]:
        return self.ledger_store(plan).create(plan)

    def take_over(self, trainer: str, step: int, part: int = 0) -> Result[OpenedStep, StepResponse]:
        """Read a part that another entry coordinated, without writing its ledger."""
        read = self._read(step_key(trainer, step))
        if part > 0 and isinstance(read, Success):
            plan = read.unwrap().plan
            if part >= plan.parts:
                return Failure(error_response(PartUnknown(plan.parts)))
            read = self._read(ledger_key(part_plan(plan, part)))
        if isinstance(read, Failure):
            return Failure(error_response(read.failure()))
        ledger = read.unwrap()
        if ledger.complete():
            return Success(OpenedStep.from_ledger(ledger, StepRequest(())))
        request = load_request(self.store, ledger.plan)
        if isinstance(request, Failure):
            return Failure(error_response(request.failure()))
        return Success(OpenedStep.from_ledger(ledger, request.unwrap()))

    def _read(self, key: str) -> Result[StepLedger, object]:
        return self._ledger_store(key).update(lambda ledger: ledger)

    def cut(self, plan: StepPlan, slots: tuple[Slot, ...]) -> Result[int, StepResponse]:
        """Cut open slots; return the total number of cut slots in the plan's part."""

        def change(ledger: StepLedger) -> int:
            for slot in slots:
                ledger.cut(slot)
            return len(ledger.slots_in(SlotState.CUT))

        updated = self.ledger_store(plan).update(change)
        if isinstance(updated, Failure):
            return Failure(error_response(updated.failure()))
        return Success(updated.unwrap())


def error_response(error: object) -> StepResponse:
    """Return the HTTP response for an error of a step."""
    detail = getattr(error, "reason", "")
    if isinstance(error, StepExpired):
        detail = f"the trainer is at step {error.newest_step}"
        return StepResponse(HTTPStatus.GONE, {"detail": detail, "newest_step": error.newest_step})
    if isinstance(error, PlanMismatch):
        return StepResponse(HTTPStatus.CONFLICT, {"detail": "the step exists with other fields"})
    if isinstance(error, StepUnknown):
        return StepResponse(HTTPStatus.NOT_FOUND, {"detail": "there is no such step"})
    if isinstance(error, PartUnknown):
        return StepResponse(HTTPStatus.NOT_FOUND, {"detail": f"the step has {error.parts} parts"})
    if isinstance(error, CorruptLedger):
        return StepResponse(HTTPStatus.INTERNAL_SERVER_ERROR, {"detail": detail})
    if isinstance(error, StepRequestError) and error.permanent:
        return StepResponse(HTTPStatus.BAD_REQUEST, {"detail": detail})
    if isinstance(error, NotCommitted) and not detail:
        detail = "the outcome of the write is not known"
    return StepResponse(HTTPStatus.SERVICE_UNAVAILABLE, {"detail": detail}, RETRY_AFTER_MS)
