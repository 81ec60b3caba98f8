"""Change a step ledger in the object API: read, change, write conditionally, settle the outcome."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TypeVar

import attrs
from returns.result import Failure, Result, Success

from ..objects.api import ObjectStore, StoredObject, VersionConflict, WriteAmbiguous
from .ledger import StepLedger, StepPlan
from .ledger_format import MAX_LEDGER_BYTES, CorruptLedger, from_bytes, to_bytes
from .parts import same_step

T = TypeVar("T")

WRITER_TOKEN_BYTES = 8
# Two entries share a step only around a takeover, so a few rounds settle any race.
MAX_WRITE_ROUNDS = 8


@attrs.frozen
class StepUnknown:
    """There is no ledger for this step."""


@attrs.frozen
class PartUnknown:
    """The step has no part of this number."""

    parts: int


@attrs.frozen
class NotCommitted:
    """The change is not known to be in effect; nothing may be built on it."""

    reason: str


@attrs.frozen
class PlanDiffers:
    """The step exists with another plan."""

    existing: StepPlan


UpdateError = StepUnknown | NotCommitted | CorruptLedger


@attrs.define
class LedgerStore:
    """Apply changes to one ledger so that a change counts only once its write is certain.

    A change may be applied several times, each time to a newly read ledger, and may find itself in
    effect already. So every change must give the same outcome when it is repeated.
    """

    store: ObjectStore
    key: str
    rng: random.Random

    def create(self, plan: StepPlan) -> Result[StepLedger, PlanDiffers | UpdateError]:
        """Create the ledger, or return the existing one of the same plan."""
        for _ in range(MAX_WRITE_ROUNDS):
            read = self.store.get(self.key)
            if isinstance(read, Failure):
                return Failure(NotCommitted(read.failure().reason))
            stored = read.unwrap()
            if stored is not None:
                return self._same_plan(stored, plan)
            ledger = StepLedger.create(plan)
            written = self.write(ledger, None)
            if isinstance(written, Failure):
                return written
            if written.unwrap():
                return Success(ledger)
        return Failure(NotCommitted("too many writers"))

    def update(self, change: Callable[[StepLedger], T]) -> Result[T, UpdateError]:
        """Return the outcome of ``change`` once the ledger holds it."""
        for _ in range(MAX_WRITE_ROUNDS):
            read = self.store.get(self.key)
            if isinstance(read, Failure):
                return Failure(NotCommitted(read.failure().reason))
            stored = read.unwrap()
            if stored is None:
                return Failure(StepUnknown())
            decoded = from_bytes(stored.value)
            if isinstance(decoded, Failure):
                return decoded
            ledger = decoded.unwrap()
            outcome = change(ledger)
            if to_bytes(ledger) == stored.value:
                return Success(outcome)
            written = self.write(ledger, stored.version)
            if isinstance(written, Failure):
                return written
            if written.unwrap():
                return Success(outcome)
        return Failure(NotCommitted("too many writers"))

    def write(
        self, ledger: StepLedger, expected_version: int | None
    ) -> Result[bool, NotCommitted | CorruptLedger]:
        """Write once; False means that the ledger must be read and changed again."""
        ledger.writer = self.rng.randbytes(WRITER_TOKEN_BYTES)
        value = to_bytes(ledger)
        if len(value) > MAX_LEDGER_BYTES:
            return Failure(CorruptLedger(f"the ledger would have {len(value)} bytes"))
        put = self.store.put(self.key, value, expected_version)
        if isinstance(put, Success):
            return Success(True)
        error = put.failure()
        if isinstance(error, VersionConflict):
            return Success(False)
        if isinstance(error, WriteAmbiguous):
            return self.settle(value)
        return Failure(NotCommitted(str(error)))

    def settle(self, value: bytes) -> Result[bool, NotCommitted]:
        """Read back after an ambiguous write; the writer token makes the value unique.

        Another value does not prove that the write had no effect: a later write may have replaced
        it, or it may still be under way. The caller applies its change again, which is conditional.
        """
        read = self.store.get(self.key)
        if isinstance(read, Failure):
            return Failure(NotCommitted(read.failure().reason))
        stored = read.unwrap()
        return Success(stored is not None and stored.value == value)

    def _same_plan(
        self, stored: StoredObject, plan: StepPlan
    ) -> Result[StepLedger, PlanDiffers | UpdateError]:
        decoded = from_bytes(stored.value)
        if isinstance(decoded, Failure):
            return decoded
        ledger = decoded.unwrap()
        if not same_step(plan, ledger.plan):
            return Failure(PlanDiffers(ledger.plan))
        return Success(ledger)
