"""Guards against a copy that misses changes or deletions, and against listing at each refresh."""

from pistachionotch.clock import ManualClock
from pistachionotch.objects.cache import ObjectCache
from pistachionotch.objects.memory import MemoryStore


def values(object_cache):
    return {key: stored.value for key, stored in object_cache.objects.items()}


def test_refresh_follows_writes_and_deletions_and_lists_once():
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


def test_the_copy_is_listed_again_after_the_history_was_cut():
    store = MemoryStore(ManualClock(), history_limit=2)
    store.put("members/a", b"1", None)
    object_cache = ObjectCache(store, "members/")
    assert object_cache.refresh()
    for number in range(4):
        store.put(f"members/b{number}", b"2", None)
    assert object_cache.refresh()
    assert len(object_cache.objects) == 5


def test_an_outage_keeps_the_copy_and_is_told():
    store = MemoryStore(ManualClock())
    store.put("members/a", b"1", None)
    object_cache = ObjectCache(store, "members/")
    assert object_cache.refresh()
    store.set_outage(True)
    assert not object_cache.refresh()
    assert values(object_cache) == {"members/a": b"1"}


def test_entries_that_lapsed_in_an_outage_stay_for_a_moment():
    # Their owners live and write them again as soon as they reach the store.
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


def test_entries_that_lapsed_stay_through_a_new_listing_too():
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


class Waiting:
    """Note how long each waiting read may wait."""

    def __init__(self, store):
        self.store = store
        self.waits = []

    def watch(self, prefix, since, wait_ms):
        self.waits.append(wait_ms)
        return self.store.watch(prefix, since, 0)


def held_after_an_outage():
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


def test_what_lapsed_is_not_held_longer_by_further_losses():
    # The path to the object API comes and goes; a server that has left must not stay all the while.
    clock, store, object_cache = held_after_an_outage()
    for _ in range(2):
        clock.advance(900)
        store.faults.outage = True
        assert not object_cache.refresh()
        store.faults.outage = False
        assert object_cache.refresh()
    clock.advance(200)
    assert object_cache.refresh()
    assert object_cache.objects == {}


def test_a_waiting_read_ends_when_what_lapsed_is_to_be_dropped():
    clock, store, object_cache = held_after_an_outage()
    clock.advance(1_500)
    waiting = Waiting(store)
    object_cache.store = waiting
    assert object_cache.refresh(1_000)
    assert waiting.waits == [500]
