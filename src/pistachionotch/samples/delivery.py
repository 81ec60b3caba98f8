"""Exactly-once delivery of samples to a trainer that pulls them.

Every pull runs the same sequence: modify a copy of the ledger, write it conditionally, and return
the samples only after that write succeeded. This is safe on any entry at any time, even on one
whose lease has expired.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs
from returns.result import Failure, Result, Success

from ..objects.api import StoreUnavailable
from .ledger import Assignment, PullKind, RecordOutcome, SlotState, StepLedger
from .ledger_format import CorruptLedger
from .ledger_store import LedgerStore, StepUnknown
from .sample import Sample, Slot
from .staleness import is_fresh, reference_version

DEFAULT_LIMIT = 64
MAX_LIMIT = 2048
MAX_ATTEMPT = 2**31 - 1

BodySource = Callable[[Sample], bytes | None]
"""Returns the body from a VM that has a copy, or None if both copies are lost."""

NewestVersion = Callable[[], Result[int, StoreUnavailable]]
"""Reads the newest published version of the step's model from the object API."""


@attrs.frozen
class Pull:
    """Parameters of one pull; a trainer that discards a response sends a higher attempt."""

    cursor: int
    attempt: int = 1
    limit: int = DEFAULT_LIMIT
    trainer_version: int | None = None
    part: int = 0

    def validation_error(self) -> str | None:
        """Return why this pull is invalid for every ledger, or None."""
        if self.cursor < 0:
            return "the cursor is negative"
        if not 1 <= self.attempt <= MAX_ATTEMPT:
            return "the attempt is out of range"
        if not 1 <= self.limit <= MAX_LIMIT:
            return f"the limit is not between 1 and {MAX_LIMIT}"
        return None


@attrs.frozen
class DeliveredSample:
    """A sample with its complete body."""

    sample: Sample
    body: bytes


@attrs.frozen
class SamplesDelivered:
    """The samples of one cursor and attempt."""

    cursor: int
    attempt: int
    samples: tuple[DeliveredSample, ...]
    newest_version: int
    outstanding: int


@attrs.frozen
class NoSamplesReady:
    """No sample is ready; the trainer should repeat the same pull later."""

    cursor: int
    outstanding: int


@attrs.frozen
class StepComplete:
    """Every slot was acknowledged or cut."""

    cursor: int
    cut: tuple[Slot, ...]


@attrs.frozen
class NewAttemptRequired:
    """The attempt gets no samples; the trainer should discard it and send the next one."""

    cursor: int
    next_attempt: int
    reason: str


@attrs.frozen
class CursorMismatch:
    """The cursor of the pull is already acknowledged, or ahead of what was delivered."""

    cursor: int
    reason: str
    ahead: bool = False


@attrs.frozen
class TemporarilyUnavailable:
    """The operation failed without returning samples, and may be repeated unchanged."""

    reason: str


@attrs.frozen
class PullRejected:
    """The pull cannot succeed, even if it is repeated."""

    reason: str


PullOutcome = (
    SamplesDelivered
    | NoSamplesReady
    | StepComplete
    | NewAttemptRequired
    | CursorMismatch
    | TemporarilyUnavailable
    | PullRejected
    | StepUnknown
)


@attrs.frozen
class PreparedDelivery:
    """An assignment and its bodies, before the write of the ledger is confirmed."""

    assignment: Assignment
    bodies: tuple[bytes, ...]
    outstanding: int
    staleness_bound: int


@attrs.define
class StepDelivery:
    """Records produced samples and answers pulls for one part of a step."""

    ledger_store: LedgerStore
    bodies: BodySource
    newest_version: NewestVersion

    def record(
        self, samples: Sequence[Sample]
    ) -> Result[tuple[RecordOutcome, ...], TemporarilyUnavailable]:
        """Record samples in one write; they are recorded only once this method has succeeded."""
        newest = self.newest_version()
        if isinstance(newest, Failure):
            return Failure(TemporarilyUnavailable(newest.failure().reason))
        version = newest.unwrap()
        updated = self.ledger_store.update(
            lambda ledger: tuple(ledger.record(sample, version) for sample in samples)
        )
        if isinstance(updated, Failure):
            return Failure(TemporarilyUnavailable(_reason(updated.failure())))
        return Success(updated.unwrap())

    def pull(self, pull: Pull, produced: Sequence[Sample] = ()) -> PullOutcome:
        """Answer one pull, and record the ``produced`` samples in the same write."""
        reason = pull.validation_error()
        if reason is not None:
            return PullRejected(reason)
        newest = self.newest_version()
        if isinstance(newest, Failure):
            return TemporarilyUnavailable(newest.failure().reason)
        version = reference_version(newest.unwrap(), pull.trainer_version)
        cache: dict[str, bytes] = {}

        def change(ledger: StepLedger) -> PreparedDelivery | PullOutcome:
            for sample in produced:
                ledger.record(sample, version)
            return self.apply_pull(ledger, pull, version, cache)

        updated = self.ledger_store.update(change)
        if isinstance(updated, Failure):
            return _outcome_of_failure(updated.failure())
        outcome = updated.unwrap()
        if not isinstance(outcome, PreparedDelivery):
            return outcome
        return self.deliver(outcome, pull)

    def apply_pull(
        self, ledger: StepLedger, pull: Pull, version: int, cache: dict[str, bytes]
    ) -> PreparedDelivery | PullOutcome:
        """Apply this pull to the ledger, and collect the bodies to return."""
        kind = ledger.classify_pull(pull.cursor, pull.attempt)
        if kind in (PullKind.GONE, PullKind.AHEAD):
            ahead = kind == PullKind.AHEAD
            reason = "not yet reached" if ahead else "already acknowledged"
            return CursorMismatch(ledger.cursor, reason, ahead)
        if kind == PullKind.OLD_ATTEMPT:
            reason = f"attempt {ledger.attempt} was already sent"
            return NewAttemptRequired(ledger.cursor, ledger.attempt + 1, reason)
        if kind == PullKind.NEXT:
            ledger.acknowledge(pull.cursor - 1)
        if kind != PullKind.CURRENT:
            ledger.begin_attempt(pull.attempt)
        if not ledger.assigned:
            self.assign(ledger, pull, version, cache)
        return self.prepare(ledger, version, cache)

    def assign(self, ledger: StepLedger, pull: Pull, version: int, cache: dict[str, bytes]) -> None:
        """Assign fresh samples whose bodies are available, and reopen the slots of the others."""
        ledger.discard_stale(version)
        chosen: list[Slot] = []
        for sample in ledger.unassigned(version):
            if len(chosen) == pull.limit:
                break
            if self.body(sample, cache) is None:
                ledger.reopen(sample.slot)
                continue
            chosen.append(sample.slot)
        ledger.assign(chosen, version)

    def prepare(
        self, ledger: StepLedger, version: int, cache: dict[str, bytes]
    ) -> PreparedDelivery | PullOutcome:
        """Collect the bodies of the assignment, which an earlier pull may have made."""
        open_count = len(ledger.open_slots())
        if ledger.complete():
            return StepComplete(ledger.cursor, ledger.slots_in(SlotState.CUT))
        if not ledger.assigned:
            return NoSamplesReady(ledger.cursor, open_count)
        assignment = ledger.assignment()
        bodies: list[bytes] = []
        for sample in assignment.samples:
            body = self.body(sample, cache)
            if body is None:
                reason = f"the body of sample {sample.sample_id} was lost"
                return NewAttemptRequired(assignment.cursor, assignment.attempt + 1, reason)
            bodies.append(body)
        bound = ledger.plan.staleness_bound
        return PreparedDelivery(assignment, tuple(bodies), open_count, bound)

    def body(self, sample: Sample, cache: dict[str, bytes]) -> bytes | None:
        """Return the complete body, or None if it is lost or damaged."""
        if sample.sample_id not in cache:
            found = self.bodies(sample)
            if found is None or not sample.matches(found):
                return None
            cache[sample.sample_id] = found
        return cache[sample.sample_id]

    def deliver(self, prepared: PreparedDelivery, pull: Pull) -> PullOutcome:
        """Return the samples if they are still fresh; the write may have taken long."""
        newest = self.newest_version()
        if isinstance(newest, Failure):
            return TemporarilyUnavailable(newest.failure().reason)
        version = reference_version(newest.unwrap(), pull.trainer_version)
        assignment = prepared.assignment
        for sample in assignment.samples:
            if not is_fresh(sample.spans, version, prepared.staleness_bound):
                reason = f"sample {sample.sample_id} became stale at version {version}"
                return NewAttemptRequired(assignment.cursor, assignment.attempt + 1, reason)
        pairs = zip(assignment.samples, prepared.bodies, strict=True)
        samples = tuple(DeliveredSample(sample, body) for sample, body in pairs)
        return SamplesDelivered(
            assignment.cursor, assignment.attempt, samples, version, prepared.outstanding
        )


def _reason(error: object) -> str:
    return getattr(error, "reason", type(error).__name__)


def _outcome_of_failure(error: object) -> PullOutcome:
    if isinstance(error, StepUnknown):
        return error
    if isinstance(error, CorruptLedger):
        return PullRejected(f"the ledger is unreadable: {error.reason}")
    return TemporarilyUnavailable(_reason(error))
