"""Guards against log entries that change after a client read them, and two batches with one id."""

import attrs
import pytest
from returns.result import Failure, Success

from pistachionotch.batches.log import BatchLog, create_batch, load_head
from pistachionotch.batches.model import (
    BatchHead,
    BatchItem,
    ItemResult,
    LogEntry,
    Owner,
    Submission,
)
from pistachionotch.config.spec import Address
from pistachionotch.objects.api import StoreUnavailable, WriteAmbiguous
from pistachionotch.objects.memory import MemoryStore

LIMIT = 1_000_000


def owner(node="a"):
    return Owner(node=node, incarnation=f"{node}-1", address=Address("127.0.0.1", 1))


def item(name, size=10):
    return BatchItem(
        id=name,
        target="/p/1",
        headers=(("Model", "m"),),
        body=b"x" * size,
        max_tokens=100,
        expected_tokens=7,
        group="g",
    )


def head(items=3, size=10, node="a"):
    submission = Submission(
        id="b1",
        host="h",
        target="/p/b1",
        items=tuple(item(f"i{number}", size) for number in range(items)),
        model="m",
        step=4,
        min_version=3,
        wanted_groups=1,
    )
    return BatchHead(submission=submission, owner=owner(node), accepted_ms=5)


def entry(token, *results, **more):
    return LogEntry(token=token, results=tuple(results), **more)


def done(name):
    return ItemResult(id=name, done=True, text="t", versions=(3, 4))


def test_a_batch_is_read_back_as_it_was_stored():
    store = MemoryStore()
    assert create_batch(store, head(), LIMIT) == Success(head())
    assert load_head(store, "b1") == Success(head())
    assert load_head(store, "b2") == Success(None)


@pytest.mark.parametrize("size", [100, 5_000])
def test_a_batch_beyond_one_value_is_stored_in_parts(size):
    store = MemoryStore()
    large = head(items=9, size=size)
    assert create_batch(store, large, 10_000) == Success(large)
    assert load_head(store, "b1") == Success(large)
    assert all(len(stored.value) < 10_000 for stored in store.objects.values())


def test_a_second_acceptance_returns_the_stored_batch():
    store = MemoryStore()
    create_batch(store, head(node="a"), LIMIT)
    assert create_batch(store, head(node="b"), LIMIT).unwrap().owner.node == "a"


def test_an_acceptance_whose_response_is_lost_is_confirmed_by_a_read():
    store = MemoryStore()
    store.faults.lose_answers = 1
    assert create_batch(store, head(), LIMIT) == Success(head())


def test_a_batch_whose_part_cannot_be_stored_does_not_exist():
    store = MemoryStore()
    store.faults.lose_writes = 1
    created = create_batch(store, head(items=9, size=5_000), 10_000)
    assert isinstance(created.failure(), StoreUnavailable)
    assert load_head(store, "b1") == Success(None)


def test_an_entry_has_one_writer():
    store = MemoryStore()
    former, latter = BatchLog(store, "b1"), BatchLog(store, "b1")
    assert latter.append(entry("l", owner=owner("b"))).unwrap().token == "l"
    found = former.append(entry("f", done("i1"))).unwrap()
    assert found.owner == owner("b")
    assert former.position == 1


def test_an_entry_of_unknown_outcome_is_resolved_before_the_next():
    store = MemoryStore()
    log = BatchLog(store, "b1")
    store.faults.delay_writes = 2
    assert isinstance(log.append(entry("first", done("i1"))).failure(), WriteAmbiguous)
    store.deliver_delayed()
    # The caller appends another entry, but the first one may be in the log already.
    assert log.append(entry("second", done("i2"))).unwrap().token == "first"
    assert log.append(entry("second", done("i2"))).unwrap().token == "second"
    replayed = BatchLog(store, "b1")
    tokens = [replayed.read_next().unwrap().token for _ in range(2)]
    assert tokens == ["first", "second"]
    assert replayed.read_next() == Success(None)


def test_an_outage_leaves_the_entry_pending():
    store = MemoryStore()
    log = BatchLog(store, "b1")
    store.faults.outage = True
    assert isinstance(log.append(entry("first")), Failure)
    store.faults.outage = False
    assert log.append(entry("other")).unwrap().token == "first"


def test_log_entries_are_read_back_as_they_were_stored():
    store = MemoryStore()
    full = entry("t", done("i1"), attrs.evolve(done("i2"), done=False), owner=owner(), ended=True)
    BatchLog(store, "b1").append(full)
    assert BatchLog(store, "b1").read_next() == Success(full)
