"""Guards against one unreadable object of a batch that costs other batches."""

import attrs
import pytest
import structlog
from batch_cluster import Cluster
from test_batch_cleanup import PAST_MS, RETENTION_MS
from test_batch_log import done, entry, head

from pistachionotch.batches.cleanup import BatchCleaner
from pistachionotch.batches.log import HEADS_PREFIX, LOGS_PREFIX, BatchLog, create_batch
from pistachionotch.batches.model import BatchErrorKind
from pistachionotch.clock import ManualClock
from pistachionotch.objects.memory import MemoryStore

# What a store may give back for an object, and records of other types.
UNREADABLE = [b"", b"null", b"[]", b"{", b'{"id":"b1"}', b'{"owner":7}', b'"x"', b"1e999"]


def spoil(store, key, value):
    store.put(key, value, store.objects[key].version if key in store.objects else None)


@pytest.mark.parametrize("value", UNREADABLE)
def test_a_cleanup_goes_on_past_an_unreadable_head(value):
    store, log = MemoryStore(), structlog.get_logger()
    for batch in ("b0", "b2"):
        found = head()
        submission = attrs.evolve(found.submission, id=batch)
        create_batch(store, attrs.evolve(found, submission=submission, accepted_ms=0), 1_000_000)
        BatchLog(store, batch).append(entry("t", ended=True))
    spoil(store, HEADS_PREFIX + "b1", value)
    cleaner = BatchCleaner(store, ManualClock(), lambda: PAST_MS, RETENTION_MS, log)
    with structlog.testing.capture_logs() as logs:
        assert cleaner.clean() == 2
        assert cleaner.clean() == 0
    assert list(store.objects) == [HEADS_PREFIX + "b1"]
    assert len([line for line in logs if line["event"] == "unreadable object"]) == 1
    assert cleaner.odd.measures.counters["odd_objects", "batches"] == 1


@pytest.mark.parametrize("value", UNREADABLE)
@pytest.mark.parametrize("prefix", [HEADS_PREFIX, LOGS_PREFIX])
def test_an_unreadable_batch_is_answered_as_uncertain_and_hides_no_other(prefix, value):
    cluster = Cluster()
    for batch in ("b1", "b2"):
        found = head(node="gone")
        submission = attrs.evolve(found.submission, id=batch)
        create_batch(cluster.store, attrs.evolve(found, submission=submission), 1_000_000)
    spoil(cluster.store, f"{prefix}b1{'' if prefix is HEADS_PREFIX else '.00000'}", value)
    service = cluster.start("a")
    with structlog.testing.capture_logs() as logs:
        for _ in range(3):
            answers = [service.read("b1", 0, 0), service.end("b1"), service.item_body("b1", "i1")]
            assert {answer.kind for answer in answers} == {BatchErrorKind.UNAVAILABLE}
    assert len([line for line in logs if line["event"] == "unreadable object"]) == 1
    kind = prefix.removesuffix("/")
    assert service.measures.counters["odd_objects", kind] == 1
    assert service.read("b2", 0, 0).total == len(head().submission.items)
    # Its client submits it again, for example after an answer that was lost.
    again = attrs.evolve(head().submission, id="b1")
    if prefix is HEADS_PREFIX:
        service.owner_cache.entries.clear()
        assert service.submit(again, None).kind is BatchErrorKind.NOT_ACCEPTED


def test_a_log_with_results_of_unknown_texts_is_uncertain():
    cluster = Cluster()
    create_batch(cluster.store, head(node="gone"), 1_000_000)
    result = attrs.evolve(done("i1"), pieces="unknown")
    BatchLog(cluster.store, "b1").append(entry("t", result))
    service = cluster.start("a")
    for _ in range(2):
        assert service.read("b1", 0, 0).kind is BatchErrorKind.UNAVAILABLE
