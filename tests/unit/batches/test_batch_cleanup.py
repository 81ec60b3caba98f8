"""Guards against batches that are never removed, or removed before their retention time ends."""

import attrs
import pytest
import structlog
from test_batch_log import done, entry, head

from pistachionotch.batches.cleanup import CLOCK_MARGIN_MS, OPEN_RETENTION_FACTOR, BatchCleaner
from pistachionotch.batches.log import BatchLog, create_batch, load_head
from pistachionotch.clock import ManualClock
from pistachionotch.objects.memory import MemoryStore

RETENTION_MS = 120_000
PAST_MS = RETENTION_MS + CLOCK_MARGIN_MS


@pytest.fixture
def store():
    found = MemoryStore()
    create_batch(found, attrs.evolve(head(items=9, size=5_000), accepted_ms=0), 10_000)
    log = BatchLog(found, "b1")
    log.append(entry("t1", done("i1")))
    log.append(entry("t2", ended=True))
    return found


def clean(store, age_ms):
    log = structlog.get_logger()
    return BatchCleaner(store, ManualClock(), lambda: age_ms, RETENTION_MS, log).clean()


def test_an_ended_batch_is_removed_with_all_its_objects_after_its_retention_time(store):
    assert clean(store, PAST_MS - 1) == 0
    assert load_head(store, "b1").unwrap() is not None
    assert clean(store, PAST_MS) == 1
    assert store.objects == {}


def test_an_open_batch_is_kept_much_longer(store):
    last = store.objects["batch-log/b1.00001"]
    store.delete(last.key, last.version)
    assert clean(store, PAST_MS) == 0
    assert clean(store, RETENTION_MS * OPEN_RETENTION_FACTOR) == 1


def test_an_interrupted_removal_is_resumed(store):
    store.faults.lose_writes = 0
    deleted = []
    original = store.delete

    class Interrupted(MemoryStore):
        def delete(self, key, version):
            if len(deleted) == 2:
                self.faults.outage = True
            deleted.append(key)
            return (
                original(key, version) if not self.faults.outage else super().delete(key, version)
            )

    broken = Interrupted(objects=store.objects)
    clean(broken, PAST_MS)
    assert "batches/b1" in store.objects
    assert clean(store, RETENTION_MS * OPEN_RETENTION_FACTOR) == 1
    assert store.objects == {}
