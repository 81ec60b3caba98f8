"""Guards against writes retried blindly or reported wrongly after a lost response."""

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


def test_lost_response_is_resolved_by_the_token_without_a_second_write():
    store = MemoryStore(ManualClock(), faults=Faults(lose_answers=1))
    assert put(store, "a").unwrap() == store.objects["k"]
    assert store.calls["put"] == 1


def test_lost_request_is_retried_after_a_read_shows_that_its_condition_holds():
    store = MemoryStore(ManualClock(), faults=Faults(lose_writes=1))
    assert isinstance(put(store, "a"), Success)
    assert store.calls == {"put": 2, "get": 1}


def test_delayed_write_and_its_retry_are_applied_once():
    store = MemoryStore(ManualClock(), faults=Faults(delay_writes=1))
    first = put(store, "a").unwrap()
    store.deliver_delayed()
    assert store.objects["k"] == first


def test_lost_response_stays_ambiguous_when_the_read_back_fails():
    class FailsAfterWrite(MemoryStore):
        def get(self, key):
            self.faults.outage = True
            return super().get(key)

    store = FailsAfterWrite(ManualClock(), faults=Faults(lose_answers=1))
    assert isinstance(put(store, "a").failure(), WriteAmbiguous)


def test_loss_of_every_request_ends_as_ambiguous_instead_of_looping():
    store = MemoryStore(ManualClock(), faults=Faults(lose_writes=50))
    assert isinstance(put(store, "a").failure(), WriteAmbiguous)


def test_conflict_after_a_lost_response_reports_the_own_write_as_ambiguous():
    store = MemoryStore(ManualClock())

    class ConcurrentWriterStore(MemoryStore):
        def get(self, key):
            current = store.objects[key]
            store.put(key, value_with("other"), current.version).unwrap()
            return store.get(key)

        def put(self, key, value, expected_version):
            store.faults.lose_answers = 1
            return store.put(key, value, expected_version)

    conflict = put(ConcurrentWriterStore(ManualClock()), "a").failure()
    assert conflict == VersionConflict(store.objects["k"], own_write_ambiguous=True)


def test_outage_and_plain_conflict_are_returned():
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
    """Writer that increments a stored counter; its count of reported successes is the oracle."""

    read_back: bool
    reported: int = 0
    ambiguous: int = 0

    def add(self, store, token):
        current = store.get("n").unwrap()
        count = 0 if current is None else json.loads(current.value)["count"]
        value = json.dumps({"count": count + 1, "token": token}).encode()
        version = None if current is None else current.version
        if self.read_back:
            result = put_with_read_back(store, "n", value, version, token)
        else:
            result = store.put("n", value, version)
        if isinstance(result, Success):
            self.reported += 1
        elif isinstance(result.failure(), WriteAmbiguous):
            self.ambiguous += 1


def run_counter(steps, read_back):
    store = MemoryStore(ManualClock())
    writer = Writer(read_back)
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
def test_reported_count_matches_the_store_after_any_single_faults(steps):
    writer, count = run_counter(steps, read_back=True)
    assert writer.ambiguous == 0
    assert writer.reported == count


def test_the_counter_oracle_detects_writes_without_read_back():
    writer, count = run_counter(["lose_answers"], read_back=False)
    assert writer.reported != count
