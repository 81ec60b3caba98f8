"""Guards against registrations that outlive their VMs, and against lost registrations."""

import attrs
import pytest

from pistachionotch.clock import ManualClock
from pistachionotch.logs import logger
from pistachionotch.membership.directory import Member
from pistachionotch.membership.registration import Registration, decode_registration
from pistachionotch.membership.stale_registrations import STALE_MS, StaleRegistrationSweeper
from pistachionotch.objects.memory import MemoryStore

KEY = "members/agent-1"
MEMBER = Member("agent-1", "10.0.0.1:7000", "cebu", "visayas", "old", ("fitting",))


@pytest.fixture
def store():
    return MemoryStore(ManualClock())


@pytest.fixture
def registration(store):
    made = Registration(store, MEMBER, store.clock, logger("agent"))
    assert made.ensure_registered()
    return made


def registered(store):
    stored = store.get(KEY).unwrap()
    return decode_registration(stored.value) if stored else None


def sweep(sweeper, listed):
    sweeper.sweep(sweeper.store.snapshot("members/").unwrap().objects, listed)


def test_an_agent_registers_again_after_its_registration_was_deleted(store, registration):
    store.delete(KEY, store.get(KEY).unwrap().version)
    assert registration.ensure_registered()
    assert registered(store) == MEMBER


def test_an_old_incarnation_does_not_replace_a_later_one(store, registration):
    later = attrs.evolve(MEMBER, incarnation="new")
    Registration(store, later, store.clock, logger("agent")).ensure_registered()
    registration.ensure_registered()
    assert registered(store) == later


def test_a_withdrawn_agent_stays_withdrawn(store, registration):
    registration.withdraw()
    registration.ensure_registered()
    assert registered(store) is None


def test_a_registration_is_deleted_after_its_vm_was_absent_for_long(store, registration):
    sweeper = StaleRegistrationSweeper(store, store.clock, logger("directory"))
    sweep(sweeper, {"agent-2"})
    store.clock.advance(STALE_MS - 1)
    sweep(sweeper, {"agent-2"})
    assert registered(store) == MEMBER
    store.clock.advance(1)
    sweep(sweeper, {"agent-2"})
    assert registered(store) is None


@pytest.mark.parametrize("listed", [{"agent-1"}, set()], ids=["listed again", "empty list"])
def test_a_list_with_the_vm_or_without_any_vm_deletes_nothing(store, registration, listed):
    sweeper = StaleRegistrationSweeper(store, store.clock, logger("directory"))
    sweep(sweeper, {"agent-2"})
    store.clock.advance(STALE_MS)
    sweep(sweeper, listed)
    assert registered(store) == MEMBER
