"""Answer pulls of a trainer so that each sample is delivered exactly once.

Every pull is the same sequence: change a copy of the ledger, write it conditionally, and hand the
samples over only after that write. Any entry may run it at any time, also one whose lease expired.
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
"""Return the body from whichever VM holds it, or None once it is lost on both."""

NewestVersion = Callable[[], Result[int, StoreUnavailable]]
"""Read the newest published version of the step's model from the object API."""


@attrs.frozen
class Pull:
    """Carry one pull; a trainer that drops a response sends a higher attempt."""

    cursor: int
    attempt: int = 1
    limit: int = DEFAULT_LIMIT
    trainer_version: int | None = None
    part: int = 0

    def validation_error(self) -> str | None:
        """Return why no ledger can answer this pull, or None."""
        if self.cursor < 0:
            return "the cursor is negative"
        if not 1 <= self.attempt <= MAX_ATTEMPT:
            return "the attempt is out of range"
        if not 1 <= self.limit <= MAX_LIMIT:
            return f"the limit is not between 1 and {MAX_LIMIT}"
        return None


@attrs.frozen
class DeliveredSample:
    """Pair a sample with its complete body."""

    sample: Sample
    body: bytes


@attrs.frozen
class SamplesDelivered:
    """Hand over the samples of one cursor and attempt."""

    cursor: int
    attempt: int
    samples: tuple[DeliveredSample, ...]
    newest_version: int
    outstanding: int


@attrs.frozen
class NoSamplesReady:
    """No sample is ready; the trainer repeats the same pull later."""

    cursor: int
    outstanding: int


@attrs.frozen
class StepComplete:
    """Every slot was acknowledged or cut."""

    cursor: int
    cut: tuple[Slot, ...]


@attrs.frozen
class NewAttemptRequired:
    """Give no samples to this attempt; the trainer drops it and sends the next one."""

    cursor: int
    next_attempt: int
    reason: str


@attrs.frozen
class CursorMismatch:
    """The pull names a cursor that is past, or one that the trainer cannot have reached."""

    cursor: int
    reason: str
    ahead: bool = False


@attrs.frozen
class TemporarilyUnavailable:
    """Nothing was handed over; the same pull may be repeated."""

    reason: str


@attrs.frozen
class PullRejected:
    """The pull cannot be answered, now or later."""

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
    """Hold what the ledger assigns and the bodies for it, before the write is certain."""

    assignment: Assignment
    bodies: tuple[bytes, ...]
    outstanding: int
    staleness_bound: int


@attrs.define
class StepDelivery:
    """Record produced samples and answer pulls for one step."""

    ledger_store: LedgerStore
    bodies: BodySource
    newest_version: NewestVersion

    def record(
        self, samples: Sequence[Sample]
    ) -> Result[tuple[RecordOutcome, ...], TemporarilyUnavailable]:
        """Record samples in one write; a sample counts only when this returns."""
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
        """Answer one pull; ``produced`` is recorded in the same write."""
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
        """Change the ledger for this pull and prepare the answer."""
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
        """Assign fresh samples whose bodies are at hand, and reopen the slots of the others."""
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
        """Collect the bodies of the assignment, whoever made it."""
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
        """Return the complete body; a damaged one counts as lost."""
        if sample.sample_id not in cache:
            found = self.bodies(sample)
            if found is None or not sample.matches(found):
                return None
            cache[sample.sample_id] = found
        return cache[sample.sample_id]

    def deliver(self, prepared: PreparedDelivery, pull: Pull) -> PullOutcome:
        """Check the age again after the write, because it may have waited for long."""
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
