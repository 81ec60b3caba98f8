"""Ledger of one part of a step: its slots, their samples, and their assignment to a cursor.

The ledger is plain state. Whoever changes it writes it back on the condition that nobody else wrote
in between, and acts on the change only after that write succeeded (see ``delivery``).

One pair of cursor and attempt has at most one assignment. Changing the assignment of a cursor takes
a higher attempt, which is the trainer's statement that it uses no response to a lower one. So a
repeated request that arrives late can never change what the trainer has already used.
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
# Names are part of object keys.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class SlotState(enum.IntEnum):
    """Say how far a slot has come; the numbers are part of the stored format."""

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
    """The slot needs no sample; this one must be discarded."""

    reason: str


@attrs.frozen
class Stale:
    """The sample is older than the bound; the slot stays open."""

    oldest_version: int
    newest_version: int


@attrs.frozen
class Unlabelled:
    """The versions that produced the sample are not known; the slot stays open."""

    reason: str


RecordOutcome = Accepted | Duplicate | Stale | Unlabelled


class PullKind(enum.StrEnum):
    """Classify a pull against the ledger's cursor."""

    CURRENT = "current"
    NEXT = "next"
    NEW_ATTEMPT = "new-attempt"
    OLD_ATTEMPT = "old-attempt"
    GONE = "gone"
    AHEAD = "ahead"


@attrs.frozen
class Assignment:
    """List the samples of one cursor and attempt."""

    cursor: int
    attempt: int
    samples: tuple[Sample, ...]


@attrs.frozen
class StepPlan:
    """Hold what the trainer asked for; it never changes after the step was created."""

    trainer: str
    step: int
    model: str
    groups: int
    samples_per_group: int
    staleness_bound: int
    deadline_unix_ms: int = 0
    # The prompts are stored apart from the ledger, under the digest of their bytes.
    request_parts: int = 0
    request_digest: str = ""
    # A large step has several parts; each has a ledger of its own.
    parts: int = 1
    part: int = 0

    @property
    def part_groups(self) -> range:
        """Return the groups of this part; those of all parts follow each other without gaps."""
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
        """Return why no step can have this plan, or None."""
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
    """Keep the state of one part of a step."""

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
        """Return a ledger that can be changed without changing this one; samples are frozen."""
        return attrs.evolve(self, states=list(self.states), samples=dict(self.samples))

    # Slots

    def slot_number(self, slot: Slot) -> int | None:
        """Return the position of a slot, or None if this part has no such slot."""
        groups = self.plan.part_groups
        if slot.group not in groups or not 0 <= slot.index < self.plan.samples_per_group:
            return None
        return (slot.group - groups.start) * self.plan.samples_per_group + slot.index

    def slot_at(self, number: int) -> Slot:
        """Return the slot at a position."""
        group, index = divmod(number, self.plan.samples_per_group)
        return Slot(self.plan.part_groups.start + group, index)

    def slots_in(self, state: SlotState) -> tuple[Slot, ...]:
        """Return the slots in one state."""
        return tuple(self.slot_at(n) for n, held in enumerate(self.states) if held == state)

    def open_slots(self) -> tuple[Slot, ...]:
        """Return the slots that still need a sample."""
        return self.slots_in(SlotState.OPEN)

    def complete(self) -> bool:
        """Return whether every slot was acknowledged or cut."""
        return all(state in (SlotState.DELIVERED, SlotState.CUT) for state in self.states)

    # Samples

    def record(self, sample: Sample, newest_version: int) -> RecordOutcome:
        """Put a produced sample into its slot, unless it must not be used."""
        number = self.slot_number(sample.slot)
        if number is None:
            return Duplicate("the step has no such slot")
        held = self.samples.get(number)
        if held is not None and held.sample_id == sample.sample_id:
            # A new coordinator holds its own copy of the same body.
            same = attrs.evolve(sample, copy_holder=held.copy_holder) == held
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
        """Give an open slot up for good; False if it is not open."""
        number = self.slot_number(slot)
        if number is None or self.states[number] != SlotState.OPEN:
            return False
        self.states[number] = SlotState.CUT
        return True

    def reopen(self, slot: Slot) -> bool:
        """Discard a sample that was recorded but not assigned; False if there is none."""
        number = self.slot_number(slot)
        if number is None or number in self.assigned or number not in self.samples:
            return False
        self._open(number)
        return True

    def unassigned(self, newest_version: int) -> tuple[Sample, ...]:
        """Return the fresh samples to hand out next, those of complete groups first."""
        size = self.plan.samples_per_group
        waiting = {n // size for n, state in enumerate(self.states) if state == SlotState.OPEN}
        numbers = sorted(self.samples.keys() - set(self.assigned))
        numbers.sort(key=lambda n: n // size in waiting)
        return tuple(self.samples[n] for n in numbers if self._fresh(n, newest_version))

    def discard_stale(self, newest_version: int) -> tuple[Slot, ...]:
        """Reopen the slots of unassigned samples that are older than the bound."""
        numbers = sorted(self.samples.keys() - set(self.assigned))
        stale = [n for n in numbers if not self._fresh(n, newest_version)]
        for number in stale:
            self._open(number)
        return tuple(self.slot_at(n) for n in stale)

    # Cursor

    def classify_pull(self, cursor: int, attempt: int) -> PullKind:
        """Classify a pull."""
        if cursor == self.cursor + 1 and self.assigned:
            return PullKind.NEXT
        if cursor != self.cursor:
            return PullKind.GONE if cursor < self.cursor else PullKind.AHEAD
        if attempt == self.attempt:
            return PullKind.CURRENT
        return PullKind.NEW_ATTEMPT if attempt > self.attempt else PullKind.OLD_ATTEMPT

    def assignment(self) -> Assignment:
        """Return what the current cursor holds."""
        samples = tuple(self.samples[number] for number in self.assigned)
        return Assignment(self.cursor, self.attempt, samples)

    def assign(self, slots: Iterable[Slot], newest_version: int) -> Assignment:
        """Give unassigned fresh samples to the current cursor, which holds none yet."""
        if self.assigned:
            raise ValueError("the assignment of a cursor and attempt never changes")
        numbers = tuple(self._ready(slots, newest_version))
        self.assigned = numbers
        return self.assignment()

    def acknowledge(self, cursor: int) -> bool:
        """Mark the samples of the cursor as used and move on; False if it holds none."""
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
        """Take the assignment of the cursor back; its samples can be assigned again.

        The caller states that the trainer uses no response to a lower attempt.
        """
        if attempt <= self.attempt:
            raise ValueError(f"attempt {attempt} does not follow attempt {self.attempt}")
        self.attempt = attempt
        self.assigned = ()

    def _ready(self, slots: Iterable[Slot], newest_version: int) -> Iterator[int]:
        for slot in slots:
            number = self.slot_number(slot)
            if number is None or number not in self.samples:
                raise ValueError(f"no sample to assign in {slot}")
            if not self._fresh(number, newest_version):
                raise ValueError(f"the sample in {slot} is stale")
            yield number

    def _fresh(self, number: int, newest_version: int) -> bool:
        spans = self.samples[number].spans
        return is_fresh(spans, newest_version, self.plan.staleness_bound)

    def _open(self, number: int) -> None:
        self.states[number] = SlotState.OPEN
        del self.samples[number]
