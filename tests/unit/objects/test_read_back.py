"""Guards against lost write answers that are repeated blindly or reported wrongly."""

import json

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from pistachionotch.clock import ManualClock
from pistachionotch.objects.api import StoreUnavailable, VersionConflict, WriteAmbiguous
from pistachionotch.objects.memory import Faults, MemoryStore
from pistachionotch.objects.read_back import put_with_read_back


def value_with(token):
    return json.dumps({"token": token}).encode()


def put(store, token, expected=None):
    return put_with_read_back(store, "k", value_with(token), expected, token)


def test_lost_answer_is_settled_by_the_token_without_a_second_write():
    store = MemoryStore(ManualClock(), faults=Faults(lose_answers=1))
    assert put(store, "a").unwrap() == store.objects["k"]
    assert store.calls["put"] == 1


def test_write_lost_on_the_way_is_repeated_once_its_condition_was_read_to_hold():
    store = MemoryStore(ManualClock(), faults=Faults(lose_writes=1))
    assert isinstance(put(store, "a"), Success)
    assert store.calls == {"put": 2, "get": 1}


def test_delayed_write_and_its_repetition_take_effect_once():
    store = MemoryStore(ManualClock(), faults=Faults(delay_writes=1))
    first = put(store, "a").unwrap()
    store.deliver_delayed()
    assert store.objects["k"] == first


def test_lost_answer_stays_ambiguous_when_the_read_back_fails():
    class FailsAfterWrite(MemoryStore):
        def get(self, key):
            self.faults.outage = True
            return super().get(key)

    store = FailsAfterWrite(ManualClock(), faults=Faults(lose_answers=1))
    assert isinstance(put(store, "a").failure(), WriteAmbiguous)


def test_loss_of_every_answer_ends_as_ambiguous_not_as_a_loop():
    store = MemoryStore(ManualClock(), faults=Faults(lose_writes=50))
    assert isinstance(put(store, "a").failure(), WriteAmbiguous)


def test_conflict_after_a_lost_answer_does_not_claim_that_the_write_had_no_effect():
    store = MemoryStore(ManualClock())

    class OvertakenStore(MemoryStore):
        def get(self, key):
            current = store.objects[key]
            store.put(key, value_with("other"), current.version).unwrap()
            return store.get(key)

        def put(self, key, value, expected_version):
            store.faults.lose_answers = 1
            return store.put(key, value, expected_version)

    conflict = put(OvertakenStore(ManualClock()), "a").failure()
    assert conflict == VersionConflict(store.objects["k"], own_write_ambiguous=True)


def test_outage_and_plain_conflict_are_passed_on():
    store = MemoryStore(ManualClock())
    put(store, "a").unwrap()
    assert put(store, "b").failure() == VersionConflict(store.objects["k"])
    store.set_outage(True)
    assert isinstance(put(store, "c").failure(), StoreUnavailable)


def test_value_without_its_token_is_a_programming_error():
    with pytest.raises(ValueError, match="writer token"):
        put_with_read_back(MemoryStore(ManualClock()), "k", b"{}", None, "a")


FAULTS = st.sampled_from(["none", "lose_answers", "lose_writes", "delay_writes", "deliver"])


@attrs.define
class Writer:
    """Adds one to a counter per success; the sum of reported successes is the oracle."""

    settle: bool
    reported: int = 0
    unsure: int = 0

    def add(self, store, token):
        current = store.get("n").unwrap()
        count = 0 if current is None else json.loads(current.value)["count"]
        value = json.dumps({"count": count + 1, "token": token}).encode()
        version = None if current is None else current.version
        if self.settle:
            result = put_with_read_back(store, "n", value, version, token)
        else:
            result = store.put("n", value, version)
        if isinstance(result, Success):
            self.reported += 1
        elif isinstance(result.failure(), WriteAmbiguous):
            self.unsure += 1


def run_counter(steps, settle):
    store = MemoryStore(ManualClock())
    writer = Writer(settle)
    for number, fault in enumerate(steps):
        if fault == "deliver":
            store.deliver_delayed()
            continue
        if fault != "none":
            setattr(store.faults, fault, 1)
        writer.add(store, f"t{number}")
    store.deliver_delayed()
    current = store.objects.get("n")
    count = 0 if current is None else json.loads(current.value)["count"]
    return writer, count


@settings(max_examples=200)
@given(st.lists(FAULTS, max_size=12))
def test_single_losses_never_make_a_reported_count_differ_from_the_store(steps):
    writer, count = run_counter(steps, settle=True)
    assert writer.unsure == 0
    assert writer.reported == count


def test_the_counter_oracle_finds_writes_that_are_not_settled():
    writer, count = run_counter(["lose_answers"], settle=False)
    assert writer.reported != count
