"""Guards against deleting claims within the retention period or whose call may still be sent."""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from machine_runs import run_variant

from pistachionotch.clock import ManualClock
from pistachionotch.idempotency import cleanup
from pistachionotch.idempotency.claim import ClaimPhase, StoredClaim
from pistachionotch.idempotency.cleanup import ClaimCleaner
from pistachionotch.objects.memory import Faults, MemoryStore

RETENTION_MS = 1_600
FAULTS = st.sampled_from([None, "lose_answers", "lose_writes", "delay_writes"])


def put_claim(store, name, phase):
    value = StoredClaim(name, "a", "1", phase).to_bytes()
    return store.put(f"claims/{name}", value, None).unwrap()


class OffsetClock:
    """Clock with an offset, like the monotonic clock of another VM."""

    def __init__(self, clock, offset_ms):
        self.clock = clock
        self.offset_ms = offset_ms

    def now_ms(self):
        return self.clock.now_ms() + self.offset_ms


class CleanerMachine(RuleBasedStateMachine):
    cleaner_type = ClaimCleaner

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.cleaners = [self.new_cleaner(number) for number in range(2)]
        self.written = {}
        self.count = 2

    def new_cleaner(self, number):
        clock = OffsetClock(self.clock, number * 1_000_000)
        cleaner = self.cleaner_type(self.store, clock, RETENTION_MS, random.Random(number))
        cleaner.shard = 0
        return cleaner

    @rule(phase=st.sampled_from(ClaimPhase))
    def write_claim(self, phase):
        self.store.faults = Faults()
        stored = put_claim(self.store, f"000{len(self.written)}", phase)
        self.written[stored.key] = (self.clock.now_ms(), phase)

    @rule(number=st.integers(0, 1), fault=FAULTS, repeat=st.integers(1, 3))
    def step(self, number, fault, repeat):
        if fault is not None:
            setattr(self.store.faults, fault, 1)
        for _ in range(repeat):
            self.cleaners[number].step()
            self.cleaners[number].shard = 0
            self.clock.advance(100)

    @rule(number=st.integers(0, 1))
    def restart(self, number):
        self.count += 1
        self.cleaners[number] = self.new_cleaner(self.count)

    @rule(duration_ms=st.sampled_from([10, 100, 500]))
    def advance(self, duration_ms):
        self.clock.advance(duration_ms)

    @rule()
    def deliver_delayed(self):
        self.store.deliver_delayed()

    @invariant()
    def only_old_final_claims_are_deleted(self):
        for key, (written_ms, phase) in self.written.items():
            if key in self.store.objects:
                continue
            assert phase is not ClaimPhase.CLAIMED, "deleted a claim that may still be sent"
            assert self.clock.now_ms() - written_ms >= RETENTION_MS, "deleted too early"


def check(cleaner_type, examples=150):
    run_variant(CleanerMachine, {"cleaner_type": cleaner_type}, examples, steps=40)


def test_cleaner_deletes_only_old_final_claims():
    check(ClaimCleaner)


class UsesClockOfAnotherVm(ClaimCleaner):
    """Faulty cleaner that measures the elapsed time from a clock reading of another VM."""

    def _observe_ledger(self, current):
        super()._observe_ledger(current)
        self.observed_ms = 0


class MarksNewerRevisions(ClaimCleaner):
    """Faulty cleaner that marks revisions newer than the write with the time before it."""

    def _observe_ledger(self, current):
        super()._observe_ledger(current)
        ledger = cleanup.parse_ledger(current.value)
        marks = tuple((revision + 3, at_ms) for revision, at_ms in ledger.marks)
        value = cleanup.AgeLedger(ledger.active_ms, marks).to_bytes("t")
        self.ledger_object = type(current)(current.key, current.version, value)


def test_state_machine_detects_wrong_ages():
    for faulty in (UsesClockOfAnotherVm, MarksNewerRevisions):
        with pytest.raises(AssertionError, match="deleted too early"):
            check(faulty, 2_000)


def test_state_machine_detects_deletion_of_unfinished_claims(monkeypatch):
    monkeypatch.setattr(cleanup, "DELETABLE", frozenset(ClaimPhase))
    with pytest.raises(AssertionError, match="may still be sent"):
        check(ClaimCleaner, 2_000)


def test_old_final_claims_are_eventually_deleted():
    clock = ManualClock()
    store = MemoryStore(clock)
    put_claim(store, "000a", ClaimPhase.DONE)
    put_claim(store, "000b", ClaimPhase.CLAIMED)
    cleaner = ClaimCleaner(store, clock, RETENTION_MS, random.Random(0))
    for _ in range(60):
        cleaner.shard = 0
        cleaner.step()
        clock.advance(50)
    assert [claim.key for claim in store.list("claims/").unwrap()] == ["claims/000b"]
