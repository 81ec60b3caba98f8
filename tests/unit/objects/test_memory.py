"""Guards against watches that miss changes and against unchecked write conditions."""

import gevent

from pistachionotch.clock import ManualClock
from pistachionotch.objects.api import StoreUnavailable, VersionConflict, WatchExpired
from pistachionotch.objects.memory import MemoryStore


def test_versions_do_not_repeat_after_delete_and_create():
    store = MemoryStore(ManualClock())
    first = store.put("k", b"1", None).unwrap()
    store.delete("k", first.version).unwrap()
    second = store.put("k", b"1", None).unwrap()
    assert second.version > first.version
    assert store.put("k", b"2", first.version).failure() == VersionConflict(second)
    assert store.delete("k", first.version).failure() == VersionConflict(second)


def test_watch_returns_the_latest_state_of_each_changed_key_under_the_prefix():
    store = MemoryStore(ManualClock())
    start = store.snapshot("a/").unwrap().revision
    old = store.put("a/1", b"1", None).unwrap()
    store.put("b/1", b"1", None).unwrap()
    store.put("a/2", b"2", None).unwrap()
    store.delete("a/1", old.version).unwrap()
    batch = store.watch("a/", start, 0).unwrap()
    assert [(change.key, change.value) for change in batch.changes] == [
        ("a/2", b"2"),
        ("a/1", None),
    ]
    assert store.watch("a/", batch.revision, 0).unwrap().changes == ()


def test_watch_older_than_the_history_expires_and_a_snapshot_recovers():
    store = MemoryStore(ManualClock(), history_limit=2)
    for number in range(5):
        store.put(f"a/{number}", b"", None).unwrap()
    assert store.watch("a/", 1, 0).failure() == WatchExpired(1)
    snapshot = store.snapshot("a/").unwrap()
    assert store.watch("a/", snapshot.revision, 0).unwrap().changes == ()


def test_watch_from_a_future_revision_expires_instead_of_waiting_forever():
    assert MemoryStore(ManualClock()).watch("", 9, 0).failure() == WatchExpired(9)


def test_waiting_watch_wakes_on_a_change_and_fails_on_an_outage():
    store = MemoryStore()
    change_watch = gevent.spawn(store.watch, "a/", 0, 5_000)
    gevent.sleep(0)
    store.put("b/1", b"", None).unwrap()
    gevent.sleep(0)
    assert not change_watch.ready()
    store.put("a/1", b"", None).unwrap()
    assert change_watch.get(timeout=2).unwrap().changes[0].key == "a/1"
    outage_watch = gevent.spawn(store.watch, "a/", store.revision, 5_000)
    gevent.sleep(0)
    store.set_outage(True)
    assert isinstance(outage_watch.get(timeout=2).failure(), StoreUnavailable)
