"""Guards against calls that run twice, and against answering "not run" for a call that ran.

The state machine compares the calls that were sent with the answers to callers, under lost answers,
outages, restarts, paused agents, races and late responses. Each faulty subclass of the manager
below omits one protective step, and the state machine must detect that.
"""

import random

import attrs
import pytest
from claim_machine import DEPLOYMENT_KEY, RETENTION_MS, SCOPE, ClaimMachine
from machine_runs import run_variant

from pistachionotch.clock import ManualClock
from pistachionotch.idempotency.claim import (
    AttemptRefused,
    ClaimStateError,
    InProgress,
    OutcomeUnknown,
    Replay,
    RunPermitted,
    StoredResult,
    WrongAgent,
    parse_claim,
)
from pistachionotch.idempotency.manager import MAX_RESULT_BYTES, ClaimManager
from pistachionotch.idempotency.records import RecordPhase, Records
from pistachionotch.objects.memory import Faults, MemoryStore

BOTH = {"caller_keys": ("k1",), "issued_keys": 2}
CALLERS = {"caller_keys": ("k1", "k2"), "issued_keys": 0}
ONE_CALLER = {"caller_keys": ("k1",), "issued_keys": 0}
ISSUED = {"caller_keys": (), "issued_keys": 3}


def check(manager_type, keys, examples):
    """Run the state machine with the kinds of keys in ``keys`` only, which is faster."""
    run_variant(ClaimMachine, {"manager_type": manager_type, **keys}, examples, steps=40)


@pytest.mark.parametrize("keys", [BOTH, CALLERS, ISSUED])
def test_no_call_runs_twice_or_after_a_not_run_refusal(keys):
    check(ClaimManager, keys, 150)


class AcceptsKeysOfEarlierIncarnations(ClaimManager):
    def _begin_issued(self, issued, key):
        if issued is not None and issued.agent == self.agent:
            self.issued_count = max(self.issued_count, issued.sequence)
            issued = attrs.evolve(issued, incarnation=self.incarnation)
        return super()._begin_issued(issued, key)


class EvictsWithoutRaisingSequence(ClaimManager):
    def __init__(self, *args, **settings):
        super().__init__(*args, **settings)

        class UnraisedSequence(Records):
            def _evict(self, record):
                super()._evict(record)
                self.max_evicted_sequence = 0

        self.records = UnraisedSequence(self.records.max_records, self.records.max_result_bytes)


class ReplacesForeignClaims(ClaimManager):
    def __init__(self, *args, **settings):
        super().__init__(*args, **settings)
        self.writer._may_replace = lambda record, found: True


class RunsAfterAmbiguousRelease(ClaimManager):
    def maintain(self):
        super().maintain()
        for record in self.records.records.values():
            if record.phase is RecordPhase.RELEASING:
                record.phase = RecordPhase.ABANDONED


class SendsWithoutPermission(ClaimManager):
    def mark_sending(self, scope, key, permission_id=None):
        record = self._record(scope, key, None)
        record.phase = RecordPhase.SENT


class RefusesWithoutRevoking(ClaimManager):
    def revoke(self, scope, key):
        revoked = super().revoke(scope, key)
        if revoked:
            self.records.finished.pop(key)
            self.records.records.pop(key)
        return revoked


class ClaimsInAnyEpoch(ClaimManager):
    def _begin_claim(self, name, epoch):
        stored = self.store.get(name).value_or(None)
        current = None if stored is None else parse_claim(stored.value)
        return super()._begin_claim(name, 0 if current is None else current.epoch)


class IgnoresBusyRecords(ClaimManager):
    def _begin_claim(self, name, epoch):
        record = self.records.get(name)
        if record is not None:
            record.busy = False
        return super()._begin_claim(name, epoch)


# Most omitted steps violate both guarantees, and either violation may be found first.
RAN_AGAIN = "ran twice|ran after NOT_RUN|told NOT_RUN of a call that ran"


@pytest.mark.parametrize(
    ("faulty", "keys", "fault"),
    [
        (AcceptsKeysOfEarlierIncarnations, ISSUED, RAN_AGAIN),
        (EvictsWithoutRaisingSequence, ISSUED, RAN_AGAIN),
        (ReplacesForeignClaims, CALLERS, "ran twice"),
        (RunsAfterAmbiguousRelease, ONE_CALLER, RAN_AGAIN),
        (SendsWithoutPermission, CALLERS, "DID NOT RAISE"),
        (RefusesWithoutRevoking, ISSUED, "ran after NOT_RUN"),
        (ClaimsInAnyEpoch, ONE_CALLER, "ran after NOT_RUN"),
        (IgnoresBusyRecords, CALLERS, "permission to run was given to another"),
    ],
)
def test_state_machine_detects_a_missing_step(faulty, keys, fault):
    with pytest.raises((AssertionError, ClaimStateError, pytest.fail.Exception), match=fault):
        check(faulty, keys, 3_000)


@pytest.fixture
def store():
    return MemoryStore(ManualClock())


def new_manager(store, agent="a1", incarnation="1", **settings):
    rng = random.Random(0)
    return ClaimManager(
        store, store.clock, agent, incarnation, DEPLOYMENT_KEY, RETENTION_MS, rng, **settings
    )


def run_call(claim_manager, key, result):
    permission_id = claim_manager.begin(SCOPE, key).permission_id
    claim_manager.mark_sending(SCOPE, key, permission_id)
    claim_manager.record_response(SCOPE, key, result, permission_id)
    claim_manager.maintain()


def test_another_agent_replays_the_complete_result(store):
    result = StoredResult(201, (("Content-Type", "text/plain"),), b"\x00\xffpaid")
    run_call(new_manager(store), "k", result)
    assert new_manager(store, "a2").begin(SCOPE, "k") == Replay(result)


def test_result_too_large_to_keep_is_unknown_instead_of_incomplete(store):
    claim_manager = new_manager(store)
    run_call(claim_manager, "k", StoredResult(200, (), b"x" * (MAX_RESULT_BYTES + 1)))
    assert isinstance(claim_manager.begin(SCOPE, "k"), OutcomeUnknown)
    assert isinstance(new_manager(store, "a2").begin(SCOPE, "k"), OutcomeUnknown)


def test_claim_of_a_live_agent_is_in_progress_and_of_a_dead_one_unknown(store):
    assert isinstance(new_manager(store).begin(SCOPE, "k"), RunPermitted)
    assert isinstance(new_manager(store, "a2").begin(SCOPE, "k"), InProgress)
    dead = new_manager(store, "a2", is_live=lambda _agent, _incarnation: False)
    assert isinstance(dead.begin(SCOPE, "k"), OutcomeUnknown)
    assert isinstance(new_manager(store, incarnation="2").begin(SCOPE, "k"), OutcomeUnknown)


def test_abandoned_call_runs_later_here_or_after_its_release_elsewhere(store):
    claim_manager, other = new_manager(store), new_manager(store, "a2")
    claim_manager.begin(SCOPE, "k")
    claim_manager.abandon(SCOPE, "k")
    assert isinstance(other.begin(SCOPE, "k"), InProgress)
    assert isinstance(claim_manager.begin(SCOPE, "k"), RunPermitted)
    claim_manager.abandon(SCOPE, "k")
    claim_manager.maintain()
    assert isinstance(other.begin(SCOPE, "k"), RunPermitted)
    assert isinstance(claim_manager.begin(SCOPE, "k"), InProgress)


@pytest.mark.parametrize("fault", [Faults(lose_writes=2), Faults(delay_writes=2)])
def test_claim_with_an_unknown_outcome_is_released_and_can_run_elsewhere(store, fault):
    claim_manager = new_manager(store)
    store.faults = fault
    assert isinstance(claim_manager.begin(SCOPE, "k"), AttemptRefused)
    claim_manager.maintain()
    store.deliver_delayed()
    assert isinstance(new_manager(store, "a2").begin(SCOPE, "k"), RunPermitted)


def test_outage_refuses_callers_keys_and_keeps_issued_keys_working(store):
    claim_manager = new_manager(store)
    store.set_outage(True)
    refused = claim_manager.begin(SCOPE, "k")
    assert isinstance(refused, AttemptRefused)
    assert refused.retry_after_ms > 0
    assert isinstance(claim_manager.begin(SCOPE, claim_manager.issue_key(SCOPE)), RunPermitted)
    store.set_outage(False)
    assert isinstance(claim_manager.begin(SCOPE, "k"), RunPermitted)


def test_issued_key_is_bound_to_agent_scope_and_deployment(store):
    claim_manager = new_manager(store)
    key = claim_manager.issue_key(SCOPE)
    assert new_manager(store, "a2").begin(SCOPE, key) == WrongAgent("a1")
    assert isinstance(claim_manager.begin("another scope", key), OutcomeUnknown)
    assert isinstance(
        claim_manager.begin(SCOPE, key[:-1] + ("0" if key[-1] != "0" else "1")), OutcomeUnknown
    )
    assert isinstance(claim_manager.begin(SCOPE, "pnk1.garbage"), OutcomeUnknown)


def test_a_full_manager_refuses_new_calls_instead_of_evicting_running_ones(store):
    claim_manager = new_manager(store, max_records=1)
    first = claim_manager.issue_key(SCOPE)
    claim_manager.begin(SCOPE, first)
    assert isinstance(claim_manager.begin(SCOPE, claim_manager.issue_key(SCOPE)), AttemptRefused)
    assert isinstance(claim_manager.begin(SCOPE, first), InProgress)
