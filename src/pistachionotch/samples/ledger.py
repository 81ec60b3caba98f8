"""Ledger of one part of a step: its slots, their samples, and their assignment to a cursor.

The ledger is plain state without I/O. Changes are written back with optimistic concurrency control,
and take effect only after that conditional write succeeded (see ``delivery``).

Each pair of cursor and attempt has at most one assignment. Changing the assignment of a cursor
requires a higher attempt, by which the trainer declares that it uses no response to a lower one.
A delayed duplicate of a request therefore cannot change what the trainer has already used.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Iterable, Iterator

import attrs

from .sample import Sample, Slot
from .spans import find_span_error
from .staleness import is_fresh

MAX_SLOTS = 2048
# Names of trainers and models are part of object keys.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class SlotState(enum.IntEnum):
    """State of a slot; the numbers are part of the stored format."""

    OPEN = 0
    DELIVERED = 1
    CUT = 2
    READY = 3


@attrs.frozen
class Accepted:
    """The sample fills its slot."""

    repeated: bool = False


@attrs.frozen
class Duplicate:
    """The slot does not need this sample, which must be discarded."""

    reason: str


@attrs.frozen
class Stale:
    """The sample exceeds the staleness bound; the slot stays open."""

    oldest_version: int
    newest_version: int


@attrs.frozen
class Unlabelled:
    """The sample has no valid version labels; the slot stays open."""

    reason: str


RecordOutcome = Accepted | Duplicate | Stale | Unlabelled


class PullKind(enum.StrEnum):
    """Relation of a pull to the cursor and attempt of the ledger."""

    CURRENT = "current"
    NEXT = "next"
    NEW_ATTEMPT = "new-attempt"
    OLD_ATTEMPT = "old-attempt"
    GONE = "gone"
    AHEAD = "ahead"


@attrs.frozen
class Assignment:
    """The samples assigned to one cursor and attempt."""

    cursor: int
    attempt: int
    samples: tuple[Sample, ...]


@attrs.frozen
class StepPlan:
    """Parameters of a step as the trainer requested it; immutable once the step is created."""

    trainer: str
    step: int
    model: str
    groups: int
    samples_per_group: int
    staleness_bound: int
    deadline_unix_ms: int = 0
    # The prompts are stored separately from the ledger, under the digest of their bytes.
    request_parts: int = 0
    request_digest: str = ""
    # A large step has several parts, each with its own ledger.
    parts: int = 1
    part: int = 0

    @property
    def part_groups(self) -> range:
        """Return the groups of this part; the ranges of all parts are contiguous."""
        first = self.part * self.groups // self.parts
        return range(first, (self.part + 1) * self.groups // self.parts)

    @property
    def slot_count(self) -> int:
        """Return the number of slots of this part."""
        return len(self.part_groups) * self.samples_per_group

    @property
    def step_slot_count(self) -> int:
        """Return the number of slots of all parts."""
        return self.groups * self.samples_per_group

    def validation_error(self) -> str | None:
        """Return why this plan is invalid, or None."""
        if self.groups < 1 or self.samples_per_group < 1:
            return "a step needs at least one group of one sample"
        if self.step_slot_count > MAX_SLOTS:
            return f"a step has at most {MAX_SLOTS} samples, not {self.step_slot_count}"
        if not 0 <= self.part < self.parts <= self.groups:
            return f"a step of {self.groups} groups has no part {self.part} of {self.parts}"
        if self.staleness_bound < 0:
            return "the staleness bound is negative"
        if not NAME_PATTERN.fullmatch(self.trainer) or not NAME_PATTERN.fullmatch(self.model):
            return f"trainer and model need names like {NAME_PATTERN.pattern}"
        if self.step < 0:
            return "the step number is negative"
        return None


@attrs.define
class StepLedger:
    """State of one part of a step."""

    plan: StepPlan
    states: list[SlotState]
    samples: dict[int, Sample] = attrs.field(factory=dict)
    cursor: int = 0
    attempt: int = 0
    assigned: tuple[int, ...] = ()
    writer_token: bytes = b""

    @classmethod
    def create(cls, plan: StepPlan) -> StepLedger:
        """Return a ledger in which every slot is open."""
        reason = plan.validation_error()
        if reason is not None:
            raise ValueError(reason)
        return cls(plan, [SlotState.OPEN] * plan.slot_count)

    def copy(self) -> StepLedger:
        """Return an independent copy; the samples are immutable and therefore shared."""
        return attrs.evolve(self, states=list(self.states), samples=dict(self.samples))

    # Slots

    def slot_number(self, slot: Slot) -> int | None:
        """Return the number of a slot within this part, or None if it has no such slot."""
        groups = self.plan.part_groups
        if slot.group not in groups or not 0 <= slot.index < self.plan.samples_per_group:
            return None
        return (slot.group - groups.start) * self.plan.samples_per_group + slot.index

    def slot_at(self, number: int) -> Slot:
        """Return the slot with the given number."""
        group, index = divmod(number, self.plan.samples_per_group)
        return Slot(self.plan.part_groups.start + group, index)

    def slots_in(self, state: SlotState) -> tuple[Slot, ...]:
        """Return the slots in one state."""
        return tuple(self.slot_at(n) for n, existing in enumerate(self.states) if existing == state)

    def open_slots(self) -> tuple[Slot, ...]:
        """Return the slots that still need a sample."""
        return self.slots_in(SlotState.OPEN)

    def complete(self) -> bool:
        """Return whether every slot was acknowledged or cut."""
        return all(state in (SlotState.DELIVERED, SlotState.CUT) for state in self.states)

    # Samples

    def record(self, sample: Sample, newest_version: int) -> RecordOutcome:
        """Store a produced sample in its slot, unless it is a duplicate, unlabelled or stale."""
        number = self.slot_number(sample.slot)
        if number is None:
            return Duplicate("the step has no such slot")
        existing = self.samples.get(number)
        if existing is not None and existing.sample_id == sample.sample_id:
            # After a takeover, the new coordinator is the copy holder of the same sample.
            same = attrs.evolve(sample, copy_holder=existing.copy_holder) == existing
            return Accepted(repeated=True) if same else Duplicate("the id is taken")
        if self.states[number] != SlotState.OPEN:
            return Duplicate(f"the slot is {self.states[number].name.lower()}")
        error = find_span_error(sample.spans)
        if error is not None:
            return Unlabelled(error.reason)
        if not is_fresh(sample.spans, newest_version, self.plan.staleness_bound):
            return Stale(min(span.version for span in sample.spans), newest_version)
        self.states[number] = SlotState.READY
        self.samples[number] = sample
        return Accepted()

    def cut(self, slot: Slot) -> bool:
        """Abandon an open slot permanently; return False if it is not open."""
        number = self.slot_number(slot)
        if number is None or self.states[number] != SlotState.OPEN:
            return False
        self.states[number] = SlotState.CUT
        return True

    def reopen(self, slot: Slot) -> bool:
        """Discard a recorded but unassigned sample; return False if there is none."""
        number = self.slot_number(slot)
        if number is None or number in self.assigned or number not in self.samples:
            return False
        self._reopen(number)
        return True

    def unassigned(self, newest_version: int) -> tuple[Sample, ...]:
        """Return the fresh unassigned samples, those of complete groups first."""
        size = self.plan.samples_per_group
        waiting = {n // size for n, state in enumerate(self.states) if state == SlotState.OPEN}
        numbers = sorted(self.samples.keys() - set(self.assigned))
        numbers.sort(key=lambda n: n // size in waiting)
        return tuple(self.samples[n] for n in numbers if self._is_fresh(n, newest_version))

    def discard_stale(self, newest_version: int) -> tuple[Slot, ...]:
        """Discard stale unassigned samples, and return their slots, which are open again."""
        numbers = sorted(self.samples.keys() - set(self.assigned))
        stale = [n for n in numbers if not self._is_fresh(n, newest_version)]
        for number in stale:
            self._reopen(number)
        return tuple(self.slot_at(n) for n in stale)

    # Cursor

    def classify_pull(self, cursor: int, attempt: int) -> PullKind:
        """Classify a pull by its cursor and attempt."""
        if cursor == self.cursor + 1 and self.assigned:
            return PullKind.NEXT
        if cursor != self.cursor:
            return PullKind.GONE if cursor < self.cursor else PullKind.AHEAD
        if attempt == self.attempt:
            return PullKind.CURRENT
        return PullKind.NEW_ATTEMPT if attempt > self.attempt else PullKind.OLD_ATTEMPT

    def assignment(self) -> Assignment:
        """Return the samples assigned to the current cursor."""
        samples = tuple(self.samples[number] for number in self.assigned)
        return Assignment(self.cursor, self.attempt, samples)

    def assign(self, slots: Iterable[Slot], newest_version: int) -> Assignment:
        """Assign fresh samples to the current cursor, which must not have an assignment yet."""
        if self.assigned:
            raise ValueError("the assignment of a cursor and attempt never changes")
        numbers = tuple(self._find_fresh(slots, newest_version))
        self.assigned = numbers
        return self.assignment()

    def acknowledge(self, cursor: int) -> bool:
        """Mark the samples of the cursor as delivered and advance it.

        Returns False if ``cursor`` is not the current one or has no assignment.
        """
        if cursor != self.cursor or not self.assigned:
            return False
        for number in self.assigned:
            self.states[number] = SlotState.DELIVERED
            del self.samples[number]
        self.assigned = ()
        self.cursor += 1
        self.attempt = 0
        return True

    def begin_attempt(self, attempt: int) -> None:
        """Revoke the assignment of the cursor, so that its samples can be assigned again.

        The caller guarantees that the trainer uses no response to a lower attempt.
        """
        if attempt <= self.attempt:
            raise ValueError(f"attempt {attempt} does not follow attempt {self.attempt}")
        self.attempt = attempt
        self.assigned = ()

    def _find_fresh(self, slots: Iterable[Slot], newest_version: int) -> Iterator[int]:
        for slot in slots:
            number = self.slot_number(slot)
            if number is None or number not in self.samples:
                raise ValueError(f"no sample to assign in {slot}")
            if not self._is_fresh(number, newest_version):
                raise ValueError(f"the sample in {slot} is stale")
            yield number

    def _is_fresh(self, number: int, newest_version: int) -> bool:
        spans = self.samples[number].spans
        return is_fresh(spans, newest_version, self.plan.staleness_bound)

    def _reopen(self, number: int) -> None:
        self.states[number] = SlotState.OPEN
        del self.samples[number]
