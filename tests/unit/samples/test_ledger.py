"""Tests of the step ledger: size limits, serialization, and the samples that it accepts."""

import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure
from step_fixtures import make_sample

from pistachionotch.samples.ledger import (
    Accepted,
    Duplicate,
    Stale,
    StepLedger,
    StepPlan,
    Unlabelled,
)
from pistachionotch.samples.ledger_format import MAX_LEDGER_BYTES, from_bytes, to_bytes
from pistachionotch.samples.sample import Sample, Slot, body_digest, new_sample_id
from pistachionotch.samples.spans import MAX_SPANS, MAX_UINT32, VersionSpan

PLAN = StepPlan("t", 1, "m", groups=2, samples_per_group=2, staleness_bound=2)
RNG = random.Random(5)


def full_ledger(plan, spans, name):
    ledger = StepLedger.create(plan)
    for number in range(plan.slot_count):
        names = (name(number), name(number + plan.slot_count))
        sample_id = new_sample_id(RNG)
        sample = Sample(sample_id, ledger.slot_at(number), body_digest(b""), spans, *names)
        assert ledger.record(sample, spans[-1].version) == Accepted()
    return ledger


def test_largest_step_stays_under_one_megabyte():
    """Uses the maximum of every field: 2,048 slots, distinct node names, the maximum of spans."""
    plan = StepPlan("t" * 64, MAX_UINT32, "m" * 64, 256, 8, 2, 2**42, 18, "f" * 32)
    spans = tuple(VersionSpan(MAX_UINT32 - i % 2, MAX_UINT32) for i in range(MAX_SPANS))
    ledger = full_ledger(plan, spans, lambda number: f"{number:064}")
    ledger.attempt = 1
    ledger.assign([ledger.slot_at(n) for n in range(plan.slot_count)], MAX_UINT32)
    ledger.writer_token = bytes(8)
    data = to_bytes(ledger)
    assert len(data) < MAX_LEDGER_BYTES
    assert from_bytes(data).unwrap() == ledger


def test_acknowledged_step_is_small():
    plan = StepPlan("t", 1, "m", 256, 8, 2)
    ledger = full_ledger(plan, (VersionSpan(7, 900),), lambda n: f"agent-{n % 1100}")
    ledger.assign([ledger.slot_at(n) for n in range(plan.slot_count)], 7)
    assert ledger.acknowledge(0) and ledger.complete()
    assert len(to_bytes(ledger)) < 2 * plan.slot_count


def test_record_refuses_duplicate_stale_and_unlabelled_samples():
    ledger = StepLedger.create(PLAN)
    sample = make_sample(RNG, Slot(0, 0), versions=(5, 6))
    assert ledger.record(sample, 8) == Stale(5, 8)
    assert ledger.record(sample, 7) == Accepted()
    assert ledger.record(attrs.evolve(sample, copy_holder="entry-2"), 7) == Accepted(repeated=True)
    assert ledger.record(attrs.evolve(sample, spans=()), 7) == Duplicate("the id is taken")
    assert ledger.record(make_sample(RNG, Slot(0, 0), (7,)), 7) == Duplicate("the slot is ready")
    assert isinstance(ledger.record(make_sample(RNG, Slot(2, 0), (7,)), 7), Duplicate)
    assert isinstance(ledger.record(make_sample(RNG, Slot(0, 1), ()), 7), Unlabelled)
    swaps = make_sample(RNG, Slot(0, 1), [7] * (MAX_SPANS + 1))
    assert isinstance(ledger.record(swaps, 7), Unlabelled)


def test_cut_slot_accepts_no_sample_and_filled_slot_cannot_be_cut():
    ledger = StepLedger.create(PLAN)
    ledger.record(make_sample(RNG, Slot(0, 0)), 1)
    assert not ledger.cut(Slot(0, 0))
    assert ledger.cut(Slot(0, 1)) and not ledger.cut(Slot(0, 1))
    assert ledger.record(make_sample(RNG, Slot(0, 1)), 1) == Duplicate("the slot is cut")


def test_assignment_cannot_change_under_its_attempt():
    ledger = StepLedger.create(PLAN)
    ledger.record(make_sample(RNG, Slot(0, 0)), 1)
    ledger.begin_attempt(1)
    ledger.assign([Slot(0, 0)], 1)
    assert not ledger.reopen(Slot(0, 0))
    with pytest.raises(ValueError, match="never changes"):
        ledger.assign([], 1)
    with pytest.raises(ValueError, match="does not follow"):
        ledger.begin_attempt(1)
    ledger.begin_attempt(2)
    with pytest.raises(ValueError, match="stale"):
        ledger.assign([Slot(0, 0)], 9)


INVALID_PLANS = [{"groups": 0}, {"groups": 2049, "samples_per_group": 1}, {"staleness_bound": -1}]
INVALID_PLANS += [{"step": -1}, {"trainer": "a/b"}, {"model": ""}]


@pytest.mark.parametrize("changes", INVALID_PLANS)
def test_invalid_plans_are_refused(changes):
    with pytest.raises(ValueError):
        StepLedger.create(attrs.evolve(PLAN, **changes))


@settings(max_examples=300)
@given(st.data())
def test_damaged_ledgers_are_reported_and_never_raise(data):
    ledger = StepLedger.create(PLAN)
    ledger.record(make_sample(random.Random(1), Slot(0, 0)), 1)
    ledger.assign([Slot(0, 0)], 1)
    good = bytearray(to_bytes(ledger))
    position = data.draw(st.integers(0, len(good) - 1))
    good[position] = data.draw(st.integers(0, 255))
    result = from_bytes(bytes(good[: data.draw(st.integers(position, len(good)))]))
    if not isinstance(result, Failure):
        result.unwrap().unassigned(1)
        assert from_bytes(to_bytes(result.unwrap())) == result
