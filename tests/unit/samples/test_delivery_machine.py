"""Tests of exactly-once delivery, labels and staleness.

Mutants of the code under test verify that the state machine detects faults.
"""

import attrs
import pytest
from delivery_machine import SETTINGS, StepMachine
from hypothesis.stateful import run_state_machine_as_test
from returns.result import Success

from pistachionotch.samples.delivery import (
    DeliveredSample,
    PreparedDelivery,
    SamplesDelivered,
    StepDelivery,
)
from pistachionotch.samples.ledger import Assignment, PullKind, StepPlan
from pistachionotch.samples.ledger_store import CachedLedger, LedgerStore
from pistachionotch.samples.parts import part_plan
from pistachionotch.samples.spans import SpanRecorder
from pistachionotch.samples.steps import StepRegistry


def test_delivery_invariants_hold():
    run_state_machine_as_test(StepMachine, settings=SETTINGS)


class UnconditionalWrite(LedgerStore):
    def write(self, ledger, expected_version):
        self.store.before_call("put")
        current = self.store.objects.get(self.key)
        return super().write(ledger, current.version if current else None)


class ConflictCountsAsWritten(LedgerStore):
    def write(self, ledger, expected_version):
        written = super().write(ledger, expected_version)
        return Success(True) if isinstance(written, Success) else written


class AmbiguousCountsAsWritten(LedgerStore):
    def resolve_ambiguous_write(self, value):
        return Success(True)


class KeptLedgerIsNotCheckedWithoutAWrite(LedgerStore):
    def is_current(self, held):
        return True


class ChangeIsKeptBeforeItsWrite(LedgerStore):
    def write(self, ledger, expected_version):
        self.cached = CachedLedger(expected_version, expected_version, ledger)
        return super().write(ledger, expected_version)


class ChangeIsMadeOnTheKeptLedger(LedgerStore):
    def update(self, change):
        if self.cached is not None:
            change(self.cached.ledger)
        return super().update(change)


class RepeatReplacesLostSamples(StepDelivery):
    def apply_pull(self, ledger, pull, version, cache):
        if ledger.classify_pull(pull.cursor, pull.attempt) == PullKind.CURRENT:
            ledger.assigned = ()
        return super().apply_pull(ledger, pull, version, cache)


class NewAttemptIsNotWritten(StepDelivery):
    def apply_pull(self, ledger, pull, version, cache):
        if (
            ledger.classify_pull(pull.cursor, pull.attempt) == PullKind.NEW_ATTEMPT
            and ledger.assigned
        ):
            prepared = self.prepare(ledger, version, cache)
            if isinstance(prepared, PreparedDelivery):
                renamed = attrs.evolve(prepared.assignment, attempt=pull.attempt)
                return attrs.evolve(prepared, assignment=renamed)
        return super().apply_pull(ledger, pull, version, cache)


class OldAttemptIsAnswered(StepDelivery):
    def apply_pull(self, ledger, pull, version, cache):
        if ledger.classify_pull(pull.cursor, pull.attempt) == PullKind.OLD_ATTEMPT:
            ledger.attempt = pull.attempt
        return super().apply_pull(ledger, pull, version, cache)


class NoAgeCheckAfterWrite(StepDelivery):
    def deliver(self, prepared, pull):
        assignment = prepared.assignment
        pairs = zip(assignment.samples, prepared.bodies, strict=True)
        samples = tuple(DeliveredSample(sample, body) for sample, body in pairs)
        return SamplesDelivered(assignment.cursor, assignment.attempt, samples, 0, 0)


class MissingBodyIsLeftOut(StepDelivery):
    def prepare(self, ledger, version, cache):
        whole = ledger.assignment()
        found = tuple(s for s in whole.samples if self.body(s, cache) is not None)
        if not found:
            return super().prepare(ledger, version, cache)
        bodies = tuple(cache[s.sample_id] for s in found)
        return PreparedDelivery(Assignment(whole.cursor, whole.attempt, found), bodies, 0, 1)


class NoDigestCheck(StepDelivery):
    def body(self, sample, cache):
        return self.bodies(sample)


class AssignedCountsAsUsed(StepDelivery):
    def deliver(self, prepared, pull):
        outcome = super().deliver(prepared, pull)
        self.ledger_store.update(lambda ledger: ledger.acknowledge(pull.cursor))
        return outcome


class MissingVersionTakesThePrevious(SpanRecorder):
    def add(self, version, tokens):
        if version is None and self.spans:
            version = self.spans[-1].version
        super().add(version, tokens)


class VersionChangeIsIgnored(SpanRecorder):
    def add(self, version, tokens):
        super().add(self.spans[0].version if self.spans else version, tokens)


class PartZeroComesFirst(StepRegistry):
    def _create_part(self, plan):
        super()._create_part(part_plan(plan, 0))
        return super()._create_part(plan)


class EachEntryTakesItsOwnPartSize(StepRegistry):
    def _create(self, plan, request):
        return self._create_parts(plan, request)


MUTANTS = [
    ("registry_class", PartZeroComesFirst),
    ("registry_class", EachEntryTakesItsOwnPartSize),
    ("delivery_class", RepeatReplacesLostSamples),
    ("delivery_class", NewAttemptIsNotWritten),
    ("delivery_class", OldAttemptIsAnswered),
    ("delivery_class", NoAgeCheckAfterWrite),
    ("delivery_class", MissingBodyIsLeftOut),
    ("delivery_class", NoDigestCheck),
    ("delivery_class", AssignedCountsAsUsed),
    ("ledgers_class", KeptLedgerIsNotCheckedWithoutAWrite),
    ("ledgers_class", ChangeIsKeptBeforeItsWrite),
    ("ledgers_class", ChangeIsMadeOnTheKeptLedger),
    ("ledgers_class", UnconditionalWrite),
    ("ledgers_class", ConflictCountsAsWritten),
    ("ledgers_class", AmbiguousCountsAsWritten),
    ("recorder_class", MissingVersionTakesThePrevious),
    ("recorder_class", VersionChangeIsIgnored),
]


@pytest.mark.parametrize(("part", "mutant"), MUTANTS, ids=[m.__name__ for _, m in MUTANTS])
def test_machine_detects_mutant(part, mutant):
    machine = type("Mutated", (StepMachine,), {part: mutant})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=SETTINGS)


@pytest.mark.parametrize("extra", [1, -1], ids=["overlap", "gap"])
def test_machine_detects_parts_that_overlap_or_leave_gaps(extra, monkeypatch):
    def groups(plan):
        first, last = (number * plan.groups // plan.parts for number in (plan.part, plan.part + 1))
        return range(first, min(last + extra, plan.groups) if plan.parts > 1 else last)

    monkeypatch.setattr(StepPlan, "part_groups", property(groups))
    with pytest.raises(AssertionError):
        run_state_machine_as_test(StepMachine, settings=SETTINGS)
