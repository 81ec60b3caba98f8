"""Guards against batches that stand still because the object API rejects their entries."""

import random

import attrs
import pytest
import structlog
from batch_cluster import ROUTE, Cluster, item_ids, submission
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success
from test_batch_log import item
from test_batch_run import make_owner, make_run

from pistachionotch.batches.model import BatchErrorKind
from pistachionotch.batches.records import entry_bytes
from pistachionotch.batches.run import MAX_ENTRY_BYTES, MAX_PAGE_BYTES, MIN_ENTRY_BYTES
from pistachionotch.clock import ManualClock, SystemClock
from pistachionotch.gateway.origin_store import OriginStore
from pistachionotch.http_client import ConnectionPool
from pistachionotch.objects.api import StoreRejected, WriteAmbiguous
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.objects.read_back import put_with_read_back
from pistachionotch.objects.relay import RelayedStore
from pistachionotch.objects.values import ValueLimit, json_size, prefix_within
from pistachionotch.software.memory import StreamMemory
from pistachionotch.software.origin import BegunStream, Origin

VALUE_BYTES = 1_048_576
ORIGIN = Origin("s", "v1")
# Texts whose characters have more than one byte in an object.
TEXTS = {
    "japanese": "審査員は毛並みと歩様と気質を順に見て点数を付けます。",
    "emoji": "\U0001f416\U0001f9aa\U0001f3c6",
    "control": '\x00\x01\x1b\x7f\t"\\',
    "ascii": "event 1 of 25, ",
}


@attrs.define
class LimitedStore(MemoryStore):
    """Store that rejects values over a limit, and may lose the answers to large writes."""

    max_bytes: int = VALUE_BYTES
    ambiguous_bytes: int = VALUE_BYTES
    rejected: int = 0

    def put(self, key, value, expected_version):
        if len(value) > self.max_bytes:
            self.rejected += 1
            return Failure(StoreRejected(413, "value_bytes"))
        if len(value) > self.ambiguous_bytes:
            return Failure(WriteAmbiguous("no response"))
        return super().put(key, value, expected_version)


def finish(run, name, text):
    state = run.progress[name]
    state.add_event(1, text, 3, ORIGIN)
    run.finish(state, True, 0)


def list_all(batches, run, most=200):
    for _ in range(most):
        if not run.unlisted:
            return
        assert batches.writer.list_once(run)
    raise AssertionError(f"{len(run.unlisted)} results are still not listed")


@pytest.mark.parametrize("kind", TEXTS)
def test_results_collected_in_an_outage_are_listed_whatever_their_characters(kind):
    # The sizes of entries were counted in characters; the object API counts bytes.
    store = LimitedStore()
    run, batches = make_run(store, 40), make_owner()
    text = TEXTS[kind] * (20_000 // len(TEXTS[kind]))
    store.faults.outage = True
    for name in run.progress:
        finish(run, name, text)
    assert not batches.writer.list_once(run)
    store.faults.outage = False
    list_all(batches, run)
    assert [result.text for result in run.listed] == [text] * 40
    assert store.rejected == 0
    assert batches.writer.end(run)


@pytest.mark.parametrize("kind", TEXTS)
def test_a_result_larger_than_an_object_is_stored_in_pieces_and_read_everywhere(kind):
    # Such an entry was written again and again, and the batch could not be ended either.
    cluster = Cluster()
    cluster.store = LimitedStore()
    first, second = cluster.start("a"), cluster.start("b")
    first.submit(submission(), ROUTE)
    run = first.owner.runs["b1"]
    text = TEXTS[kind] * (2_500_000 // len(TEXTS[kind]))
    finish(run, "i0", "small")
    finish(run, "i1", text)
    finish(run, "i2", "last")
    list_all(first.owner, run)
    assert cluster.store.rejected == 0
    assert all(
        len(each.value) <= MAX_ENTRY_BYTES for each in cluster.store.list("batch-log/").unwrap()
    )
    del cluster.peers.services["a"]
    page = second.read("b1", 1, 0)
    assert [result.text for result in page.results] == [text]
    assert second.owner.runs["b1"].listed == run.listed
    assert second.end("b1") is None


def test_a_new_owner_starts_the_pieces_of_a_text_anew():
    cluster = Cluster()
    cluster.store = LimitedStore()
    first, second = cluster.start("a"), cluster.start("b")
    first.submit(submission(), ROUTE)
    run = first.owner.runs["b1"]
    finish(run, "i1", "a" * 2_000_000)
    assert first.owner.writer.list_once(run) and first.owner.writer.list_once(run)
    assert run.unlisted
    del cluster.peers.services["a"]
    assert item_ids(second.read("b1", 0, 0)) == []
    other = second.owner.runs["b1"]
    finish(other, "i1", "b" * 2_000_000)
    list_all(second.owner, other)
    assert [result.text for result in other.listed] == ["b" * 2_000_000]
    third = cluster.start("c")
    del cluster.peers.services["b"]
    assert [result.text for result in third.read("b1", 0, 0).results] == ["b" * 2_000_000]


@pytest.mark.parametrize("max_bytes", [300_000, 20_000, 6_000])
def test_entries_become_smaller_if_the_object_api_counts_more_than_expected(max_bytes):
    store = LimitedStore(max_bytes=max_bytes)
    run, batches = make_run(store, 3), make_owner()
    for name in run.progress:
        finish(run, name, "x" * 400_000)
    list_all(batches, run, 2_000)
    assert [result.text for result in run.listed] == ["x" * 400_000] * 3
    assert store.rejected < 12
    assert batches.writer.end(run)


def test_a_result_that_cannot_be_stored_at_all_ends_as_a_failure_and_is_logged_once():
    store = LimitedStore()
    run, batches = make_run(store, 3), make_owner()
    store.max_bytes = MIN_ENTRY_BYTES // 8
    finish(run, "i0", "x" * 2_000)
    finish(run, "i1", "y")
    with structlog.testing.capture_logs() as lines:
        batches.writer.log = structlog.get_logger()
        list_all(batches, run)
    assert [(result.id, result.done) for result in run.listed] == [("i0", False), ("i1", True)]
    failed = [line for line in lines if line["event"].startswith("result not storable")]
    assert [line["item"] for line in failed] == ["i0"]
    assert batches.writer.end(run)


def test_an_end_does_not_wait_for_results_that_are_rejected():
    store = LimitedStore()
    run, batches = make_run(store, 3), make_owner()
    finish(run, "i0", "x" * 50_000)
    store.max_bytes = 1_000
    batches.writer.list_once(run)
    assert batches.writer.end(run)


def test_an_end_does_not_wait_for_results_whose_write_gets_no_answer():
    # A large write to a slow object API may take longer than its time limit each time.
    store = LimitedStore(ambiguous_bytes=10_000)
    run, batches = make_run(store, 3), make_owner()
    finish(run, "i0", "x" * 50_000)
    assert not batches.writer.list_once(run)
    assert run.log.pending is not None
    assert batches.writer.end(run)
    assert run.ended and run.listed == []


def test_an_end_that_supersedes_results_comes_after_them_if_they_are_stored():
    store = LimitedStore()
    run, batches = make_run(store, 3), make_owner()
    finish(run, "i0", "x")
    store.faults.lose_answers = 2
    # The write takes effect although neither it nor its repetition is answered.
    batches.writer.list_once(run)
    assert batches.writer.end(run)
    assert [result.id for result in run.listed] == ["i0"]


def test_a_submission_with_an_item_over_the_limit_is_refused_for_good():
    cluster = Cluster()
    cluster.store = LimitedStore()
    service = cluster.start("a")
    found = attrs.evolve(submission(), items=(item("i0"), item("i1", 2 * VALUE_BYTES)))
    error = service.submit(found, ROUTE)
    assert error.kind is BatchErrorKind.REJECTED and error.retry_after_ms is None


def test_a_rejection_after_a_lost_answer_is_final():
    answers = iter([Failure(WriteAmbiguous("no response")), Failure(StoreRejected(413, "large"))])

    class Scripted:
        def put(self, _key, _value, _version):
            return next(answers)

        def get(self, _key):
            return Success(None)

    outcome = put_with_read_back(Scripted(), "k/x", b"token", None, "token")
    assert isinstance(outcome.failure(), StoreRejected)


def test_a_value_over_the_limit_is_not_sent_and_logged_once():
    direct = MemoryStore()
    with structlog.testing.capture_logs() as lines:
        store = RelayedStore(
            direct,
            ConnectionPool(SystemClock()),
            SystemClock(),
            random.Random(1),
            structlog.get_logger(),
            list,
            limit=ValueLimit(10_000),
        )
        for _ in range(5):
            error = store.put("k/x", b"x" * 10_001, None).failure()
            assert isinstance(error, StoreRejected)
    assert direct.calls["put"] == 0
    assert [line["key"] for line in lines if line["event"] == "write rejected for good"] == ["k/x"]
    assert not isinstance(store.put("k/x", b"x" * 10, None), Failure)


def test_begun_streams_with_long_ids_fit_into_their_object():
    # The ids are those of the clients' requests.
    clock = ManualClock()
    store = MemoryStore()
    limit = ValueLimit(50_000)
    records = OriginStore("n", store, clock, lambda: 0, structlog.get_logger(), limit=limit)
    memory = StreamMemory()
    for number in range(100):
        clock.advance(1)
        memory.remember(f"{number:04d}" + "x" * 4_000, BegunStream(ORIGIN, clock.now_ms(), 60_000))
    assert records.save_streams(memory, frozenset({ORIGIN}))
    (stored,) = store.list("origins/").unwrap()
    assert limit.allows(stored.value)
    assert b"0099xxx" in stored.value


def test_a_page_is_limited_in_bytes():
    # A page of 900,000 characters of this text has 5.4 MB as JSON.
    run = make_run(MemoryStore(), 12)
    for name in run.progress:
        finish(run, name, TEXTS["japanese"] * 1_000)
    run.apply(attrs.evolve(run.next_entry("t"), results=tuple(run.unlisted)))
    page = run.page(0)
    assert json_size([result.text for result in page.results]) <= MAX_PAGE_BYTES + 100
    assert 1 < len(page.results) < 12


@given(text=st.text(max_size=400), max_bytes=st.integers(12, 600))
def test_a_prefix_fits_and_makes_progress(text, max_bytes):
    if not text:
        return
    count = prefix_within(text, max_bytes)
    assert 1 <= count <= len(text)
    assert count == 1 or json_size(text[:count]) <= max_bytes


@given(
    texts=st.lists(st.text(max_size=60), min_size=1, max_size=3), limit=st.integers(1_100, 1_400)
)
def test_pieces_and_results_put_every_text_together_again(texts, limit):
    store = MemoryStore()
    run, batches = make_run(store, 3), make_owner()
    run.entry_bytes = limit
    names = list(run.progress)[: len(texts)]
    for name, text in zip(names, texts, strict=True):
        finish(run, name, text * 20)
    while run.unlisted:
        entry = run.next_entry("t")
        assert len(entry_bytes(entry)) <= limit + 1_024
        assert batches.writer.list_once(run)
    assert [result.text for result in run.listed] == [text * 20 for text in texts]
