"""Guards against a cache that misses changes or deletions, or that lists at every refresh."""

from pistachionotch.clock import ManualClock
from pistachionotch.objects.cache import ObjectCache
from pistachionotch.objects.memory import MemoryStore


def values(object_cache):
    return {key: stored.value for key, stored in object_cache.objects.items()}


def test_refresh_applies_writes_and_deletions_and_lists_once():
    store = MemoryStore(ManualClock())
    first = store.put("members/a", b"1", None).unwrap()
    store.put("other/x", b"0", None)
    object_cache = ObjectCache(store, "members/")
    assert object_cache.refresh()
    store.put("members/a", b"2", first.version)
    kept = store.put("members/b", b"3", None).unwrap()
    assert object_cache.refresh()
    assert values(object_cache) == {"members/a": b"2", "members/b": b"3"}
    store.delete("members/b", kept.version)
    assert object_cache.refresh()
    assert values(object_cache) == {"members/a": b"2"}
    assert store.calls["list"] == 1


def test_expired_watch_lists_the_objects_again():
    store = MemoryStore(ManualClock(), history_limit=2)
    store.put("members/a", b"1", None)
    object_cache = ObjectCache(store, "members/")
    assert object_cache.refresh()
    for number in range(4):
        store.put(f"members/b{number}", b"2", None)
    assert object_cache.refresh()
    assert len(object_cache.objects) == 5


def test_outage_keeps_the_objects_and_is_reported():
    store = MemoryStore(ManualClock())
    store.put("members/a", b"1", None)
    object_cache = ObjectCache(store, "members/")
    assert object_cache.refresh()
    store.set_outage(True)
    assert not object_cache.refresh()
    assert values(object_cache) == {"members/a": b"1"}


def test_objects_deleted_during_an_outage_are_kept_for_the_grace_period():
    # Their owners are still running and write them again once they can reach the store.
    clock = ManualClock()
    store = MemoryStore(clock=clock)
    kept = store.put("servers/kept", b"{}", None).unwrap()
    gone = store.put("servers/gone", b"{}", None).unwrap()
    object_cache = ObjectCache(store, "servers/", clock=clock, deletion_grace_ms=2_000)
    assert object_cache.refresh()
    store.faults.outage = True
    assert not object_cache.refresh()
    store.faults.outage = False
    store.delete("servers/kept", kept.version)
    store.delete("servers/gone", gone.version)
    assert object_cache.refresh()
    assert sorted(object_cache.objects) == ["servers/gone", "servers/kept"]
    clock.advance(1_000)
    store.put("servers/kept", b"{}", None)
    assert object_cache.refresh()
    clock.advance(1_000)
    changes = object_cache.change_count
    assert object_cache.refresh()
    assert sorted(object_cache.objects) == ["servers/kept"]
    assert object_cache.change_count > changes
    store.delete("servers/kept", store.objects["servers/kept"].version)
    assert object_cache.refresh()
    assert object_cache.objects == {}, "without an outage what is deleted is gone"


def test_objects_deleted_during_an_outage_are_kept_when_listed_again():
    clock = ManualClock()
    store = MemoryStore(clock=clock)
    stored = store.put("servers/a", b"{}", None).unwrap()
    object_cache = ObjectCache(store, "servers/", clock=clock, deletion_grace_ms=2_000)
    object_cache.refresh()
    store.faults.outage = True
    object_cache.refresh()
    store.faults.outage = False
    store.delete("servers/a", stored.version)
    store.history.clear()
    store.discarded_revision = store.revision
    assert object_cache.refresh()
    assert list(object_cache.objects) == ["servers/a"]
    clock.advance(2_000)
    assert object_cache.refresh()
    assert object_cache.objects == {}


class WatchRecorder:
    """Store that records the timeout of each watch."""

    def __init__(self, store):
        self.store = store
        self.waits = []

    def watch(self, prefix, since, wait_ms):
        self.waits.append(wait_ms)
        return self.store.watch(prefix, since, 0)


def cache_with_retained_object():
    """Return a cache that retains an object deleted during an outage."""
    clock = ManualClock()
    store = MemoryStore(clock=clock)
    stored = store.put("servers/a", b"{}", None).unwrap()
    object_cache = ObjectCache(store, "servers/", clock=clock, deletion_grace_ms=2_000)
    assert object_cache.refresh()
    store.faults.outage = True
    assert not object_cache.refresh()
    store.faults.outage = False
    store.delete("servers/a", stored.version)
    assert object_cache.refresh()
    assert list(object_cache.objects) == ["servers/a"]
    return clock, store, object_cache


def test_further_outages_do_not_extend_the_grace_period():
    # With an unstable path to the object API, a server that has left must still be removed.
    clock, store, object_cache = cache_with_retained_object()
    for _ in range(2):
        clock.advance(900)
        store.faults.outage = True
        assert not object_cache.refresh()
        store.faults.outage = False
        assert object_cache.refresh()
    clock.advance(200)
    assert object_cache.refresh()
    assert object_cache.objects == {}


def test_refresh_waits_no_longer_than_until_the_next_drop():
    clock, store, object_cache = cache_with_retained_object()
    clock.advance(1_500)
    recorder = WatchRecorder(store)
    object_cache.store = recorder
    assert object_cache.refresh(1_000)
    assert recorder.waits == [500]


def test_an_object_that_another_process_retained_is_dropped_once_the_store_is_read():
    """A server that was removed in an outage stayed listed for good, and got requests."""
    clock = ManualClock()
    store = MemoryStore(clock)
    removed = store.put("servers/a", b"{}", None).unwrap()
    store.put("servers/b", b"{}", None)
    first = ObjectCache(store, "servers/", deletion_grace_ms=2_000, clock=clock)
    first.refresh()
    store.set_outage(True)
    first.refresh()
    store.set_outage(False)
    store.delete("servers/a", removed.version)
    first.refresh()
    second = ObjectCache(store, "servers/", deletion_grace_ms=2_000, clock=clock)
    second.replace(dict(first.objects), first.revision)
    assert sorted(second.objects) == ["servers/a", "servers/b"]
    assert second.refresh()
    assert sorted(second.objects) == ["servers/b"]
    # Later reads only ask for changes.
    lists = store.calls["list"]
    assert second.refresh() and store.calls["list"] == lists


def test_an_unchanged_copy_does_not_keep_an_object_beyond_its_grace_period():
    clock = ManualClock()
    store = MemoryStore(clock)
    removed = store.put("servers/a", b"{}", None).unwrap()
    cache = ObjectCache(store, "servers/", deletion_grace_ms=2_000, clock=clock)
    cache.refresh()
    store.set_outage(True)
    cache.refresh()
    store.set_outage(False)
    store.delete("servers/a", removed.version)
    cache.refresh()
    cache.replace(None, cache.revision)
    clock.advance(2_000)
    cache.refresh()
    assert not cache.objects


def test_a_copy_does_not_bring_back_what_the_store_said_is_gone():
    """Another process that reached the store later retains the object for longer (soak 7034)."""
    clock = ManualClock()
    store = MemoryStore(clock)
    removed = store.put("servers/a", b"{}", None).unwrap()
    kept = store.put("servers/b", b"{}", None).unwrap()
    cache = ObjectCache(store, "servers/", deletion_grace_ms=2_000, clock=clock)
    cache.refresh()
    store.delete("servers/a", removed.version)
    cache.refresh()
    assert list(cache.objects) == ["servers/b"]
    retained = {"servers/a": removed, "servers/b": kept}
    cache.replace(dict(retained), cache.revision)
    assert list(cache.objects) == ["servers/b"]
    again = store.put("servers/a", b"{}", None).unwrap()
    cache.replace({**retained, "servers/a": again}, again.version)
    assert list(cache.objects) == ["servers/a", "servers/b"]
