"""Guards against results with two positions, missing events, and oversized pages of results."""

import random

import gevent
import pytest
import structlog
from test_batch_log import done, entry, head, owner

from pistachionotch.batches.log import BatchLog, create_batch
from pistachionotch.batches.model import ItemResult
from pistachionotch.batches.owner import BatchOwner
from pistachionotch.batches.run import MAX_PAGE_BYTES, BatchRun, ItemProgress
from pistachionotch.batches.scoring import RewardCallRunner
from pistachionotch.clock import SystemClock
from pistachionotch.gateway.upstreams import UpstreamTable
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.software.origin import Origin

ORIGIN = Origin("s", "v1")


class SlowStore(MemoryStore):
    """Store that lets other tasks run during a write."""

    def put(self, key, value, expected_version):
        gevent.sleep(0.01)
        return super().put(key, value, expected_version)


def make_run(store, items=3, me="a"):
    found = head(items)
    create_batch(store, found, 1_000_000)
    return BatchRun(found, BatchLog(store, "b1"), owner(me), 0, 1_000, None)


def make_owner(me="a"):
    return BatchOwner(
        SystemClock(),
        random.Random(1),
        owner(me),
        "r",
        {},
        UpstreamTable(),
        None,
        RewardCallRunner(
            SystemClock(), UpstreamTable(), None, lambda: None, structlog.get_logger()
        ),
        lambda: None,
        structlog.get_logger(),
    )


def finish(run, name):
    state = run.progress[name]
    state.add_event(1, "text", 3, ORIGIN)
    run.finish(state, True, 0)


def positions(store):
    log = BatchLog(store, "b1")
    found = []
    while (read := log.read_next().unwrap()) is not None:
        found.extend(result.id for result in read.results)
    return found


def test_two_tasks_that_list_concurrently_give_each_result_one_position():
    # Both the task that lists results and the drain of the process write to the log.
    store = SlowStore()
    run, batches = make_run(store), make_owner()
    finish(run, "i0")
    finish(run, "i1")
    gevent.joinall(
        [gevent.spawn(batches.writer.list_once, run) for _ in range(2)], raise_error=True
    )
    finish(run, "i2")
    batches.writer.list_once(run)
    assert positions(store) == ["i0", "i1", "i2"]
    assert [result.id for result in run.listed] == ["i0", "i1", "i2"]


def test_an_end_first_resolves_results_of_unknown_outcome():
    store = MemoryStore()
    run, batches = make_run(store), make_owner()
    finish(run, "i0")
    store.faults.delay_writes = 2
    assert not batches.writer.list_once(run)
    assert batches.writer.end(run)
    assert [result.id for result in run.listed] == ["i0"]
    finish(run, "i1")
    assert batches.writer.list_once(run)
    assert positions(store) == ["i0"], "nothing follows the end"


def test_a_batch_with_another_owner_is_stopped():
    store = MemoryStore()
    run, batches = make_run(store), make_owner()
    BatchLog(store, "b1").append(entry("t", owner=owner("b")))
    finish(run, "i0")
    batches.writer.list_once(run)
    assert run.stopped and not run.open
    assert positions(store) == []


def test_an_end_that_cannot_be_stored_is_not_confirmed():
    store = MemoryStore()
    run, batches = make_run(store), make_owner()
    store.faults.outage = True
    assert not batches.writer.end(run)
    assert not run.ended


@pytest.mark.parametrize("numbers", [(1, 3), (1, 1), (2,), (0,), (1, 2, 1)])
def test_a_missing_or_repeated_event_is_rejected(numbers):
    state = ItemProgress(head().submission.items[0])
    for number in numbers[:-1]:
        state.add_event(number, "a", 1)
    with pytest.raises(ValueError, match="event"):
        state.add_event(numbers[-1], "b", 1)


def test_versions_are_collected_from_the_events():
    state = ItemProgress(head().submission.items[0])
    for number, version in ((1, 3), (2, 3), (3, 4)):
        state.add_event(number, "t", version)
    assert state.versions == [3, 4]


def test_a_page_has_at_least_one_result_and_a_bounded_size():
    run = make_run(MemoryStore())
    large = ItemResult(id="i0", done=True, text="x" * (MAX_PAGE_BYTES + 1))
    run.apply(entry("t", large, done("i1")))
    assert [result.id for result in run.page(0).results] == ["i0"]
    assert run.page(0).next_position == 1
    assert run.page(1).results == (done("i1"),)
    assert run.page(2) == run.page(2)
    assert run.page(2).next_position == 2


def test_listing_waits_until_the_wanted_groups_are_complete():
    run = make_run(MemoryStore())
    for name in ("i0", "i1"):
        finish(run, name)
        assert not run.listing_state().completes
    finish(run, "i2")
    assert run.listing_state().completes
