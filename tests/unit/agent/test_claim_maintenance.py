"""Guards against calls that stay in progress after their agent died or failed to save them."""

import random

import gevent
import pytest

from pistachionotch.agent.claim_maintenance import ClaimantLiveness, ClaimMaintenance
from pistachionotch.clock import ManualClock, SystemClock
from pistachionotch.idempotency.claim import (
    AttemptRefused,
    InProgress,
    OutcomeUnknown,
    Replay,
    RunPermitted,
    StoredResult,
)
from pistachionotch.idempotency.manager import ClaimManager
from pistachionotch.membership.directory import Member
from pistachionotch.membership.registration import encode_registration
from pistachionotch.objects.memory import MemoryStore

RESULT = StoredResult(201, (), b"done")
SCOPE, KEY = "services/storefront", "key-1"


@pytest.fixture
def store():
    return MemoryStore(ManualClock())


def _make_claim_manager(store, agent):
    liveness = ClaimantLiveness(store)
    rng = random.Random(1)
    return ClaimManager(store, store.clock, agent, "i1", b"k" * 16, 3_600_000, rng, liveness)


def _register(store, agent, incarnation):
    member = Member(agent, "127.0.0.1:1", "cebu", "visayas", incarnation, (SCOPE,))
    current = store.get(f"members/{agent}").unwrap()
    value = encode_registration(member, "token")
    store.put(f"members/{agent}", value, current.version if current else None).unwrap()


def _begin_sending(store, agent):
    claim_manager = _make_claim_manager(store, agent)
    assert isinstance(claim_manager.begin(SCOPE, KEY), RunPermitted)
    claim_manager.mark_sending(SCOPE, KEY)
    return claim_manager


def test_saved_result_is_replayed_by_other_agents(store):
    _register(store, "agent-3", "i1")
    claim_manager = _begin_sending(store, "agent-3")
    claim_manager.record_response(SCOPE, KEY, RESULT)
    ClaimMaintenance(claim_manager, store.clock).finish(1000)
    assert _make_claim_manager(store, "agent-4").begin(SCOPE, KEY) == Replay(RESULT)


@pytest.mark.parametrize(
    ("incarnation", "decision"),
    [("i1", InProgress), ("i2", OutcomeUnknown), (None, OutcomeUnknown)],
)
def test_claim_is_in_progress_only_while_its_agent_may_run(store, incarnation, decision):
    _begin_sending(store, "agent-3")
    if incarnation is not None:
        _register(store, "agent-3", incarnation)
    assert isinstance(_make_claim_manager(store, "agent-4").begin(SCOPE, KEY), decision)


def test_agent_with_unreadable_registration_may_still_run(store):
    store.set_outage(True)
    assert ClaimantLiveness(store)("agent-3", "i1")


def test_claim_that_is_being_released_is_not_in_progress(store):
    """Guards against a retry right after an outage that is refused as being in progress."""
    claim_manager = _make_claim_manager(store, "agent-3")
    store.faults.lose_writes = 50
    assert isinstance(claim_manager.begin(SCOPE, KEY), AttemptRefused)
    store.faults.lose_writes = 0
    release, decisions = claim_manager.writer.release, []

    def release_slowly(record):
        job = gevent.spawn(lambda: decisions.append(claim_manager.begin(SCOPE, KEY)))
        gevent.sleep(0.05)
        job.join(timeout=0)
        return release(record)

    claim_manager.writer.release = release_slowly
    claim_manager.clock = SystemClock()
    claim_manager.maintain()
    gevent.sleep(0.1)
    assert [type(decision) for decision in decisions] == [RunPermitted]


@pytest.mark.parametrize(("outage_ms", "saved"), [(500, True), (5_000, False)])
def test_drain_waits_for_claims_until_its_limit(store, outage_ms, saved):
    """Guards against results lost if an outage meets a drain, and against endless drains."""
    claim_manager = _begin_sending(store, "agent-3")
    claim_manager.record_response(SCOPE, KEY, RESULT)
    maintain = claim_manager.maintain

    def maintain_in_outage():
        store.set_outage(store.clock.now_ms() < outage_ms)
        maintain()

    claim_manager.maintain = maintain_in_outage
    ClaimMaintenance(claim_manager, store.clock).finish(1_000)
    assert store.clock.now_ms() <= (1_100 if not saved else outage_ms + 100)
    store.set_outage(False)
    assert isinstance(_make_claim_manager(store, "agent-4").begin(SCOPE, KEY), Replay) is saved
