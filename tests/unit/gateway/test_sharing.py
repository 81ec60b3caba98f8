"""Guards against copies that are outdated or revert changes, and against too many watchers."""

import random

import pytest
import structlog

from pistachionotch.clock import ManualClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.following import MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS, Follower
from pistachionotch.gateway.sharing import (
    AVOID_WATCHER_MS,
    MAX_AGE_MS,
    WATCHER_COUNT,
    ChangeLog,
    CopiesApp,
    ListingCopy,
    Watchers,
    apply_delta,
    dump_copy,
    load_copy,
)
from pistachionotch.objects.api import StoredObject
from pistachionotch.objects.cache import ObjectCache
from pistachionotch.objects.memory import MemoryStore

NODES = [f"gateway-{number}" for number in range(9)]


class Fleet:
    """Gateways that follow one prefix and exchange copies by function calls, without a network."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryStore(clock=self.clock)
        self.followers = {}
        self.lost = set()
        self.sent = []
        self.seen = {node: [] for node in NODES}
        for number, node in enumerate(NODES):
            self.followers[node] = self.make(number, node)

    def make(self, number, node):
        fleet = self

        class CalledWatchers(Watchers):
            def _request_copy(self, address, prefix, token, wait_ms):
                asked = NODES[address.port]
                copy = None if asked in fleet.lost else fleet.followers[asked].copy(token, 0)
                if copy is None:
                    return None
                fleet.sent.append(len(copy.objects))
                return load_copy(dump_copy(copy))

        def other_gateways():
            return {each: Address("10.0.0.1", at) for at, each in enumerate(NODES) if each != node}

        watchers = CalledWatchers(node, None, self.clock, random.Random(number), other_gateways)
        return Follower(
            ObjectCache(self.store, "servers/"),
            self.clock,
            lambda objects, revision: self.seen[node].append((revision, sorted(objects))),
            structlog.get_logger(),
            watchers=watchers,
            wait_ms=0,
        )

    def watching(self):
        any_watchers = self.followers[NODES[0]].watchers
        return set(any_watchers.active_watchers())

    def rounds(self, count=1):
        for _ in range(count):
            # Watchers run first, since the other gateways wait for their copies.
            for node in sorted(NODES, key=lambda node: node not in self.watching()):
                if node not in self.lost:
                    self.followers[node].step()

    def calls(self):
        return sum(self.store.calls.values())


@pytest.fixture
def fleet():
    return Fleet()


def test_change_reaches_all_gateways_through_two_watchers(fleet):
    fleet.rounds(2)
    fleet.store.put("servers/a", b"{}", None)
    before = fleet.calls()
    fleet.rounds(2)
    assert all(seen[-1] == (1, ["servers/a"]) for seen in fleet.seen.values())
    assert fleet.calls() - before <= 2 * WATCHER_COUNT
    assert len(fleet.watching()) == WATCHER_COUNT


def test_a_lost_watcher_is_replaced_by_the_next(fleet):
    fleet.rounds(2)
    fleet.lost.add(sorted(fleet.watching())[0])
    fleet.store.put("servers/a", b"{}", None)
    fleet.rounds(6)
    for node in NODES:
        if node not in fleet.lost:
            assert fleet.seen[node][-1] == (1, ["servers/a"])


def test_after_a_failed_request_the_other_regular_watcher_is_used(fleet):
    fleet.rounds(2)
    real = fleet.watching()
    node = next(node for node in NODES if node not in real)
    watchers = fleet.followers[node].watchers
    for _ in range(20):
        watchers.avoided = {next(iter(sorted(real))): fleet.clock.now_ms() + AVOID_WATCHER_MS}
        watchers.current = ""
        assert watchers.fetch("servers/", -1) is not None
        assert watchers.current in real


def test_a_copy_that_is_too_old_is_not_used(fleet):
    fleet.rounds(2)
    node = next(node for node in NODES if node not in fleet.watching())
    fleet.clock.advance(MAX_AGE_MS + 1)
    fleet.store.put("servers/a", b"{}", None)
    fleet.followers[node].step()
    assert fleet.seen[node][-1] == (1, ["servers/a"]), "it asked the object API itself"


def test_copy_older_than_the_local_one_is_not_used(fleet):
    fleet.rounds(2)
    watchers = fleet.followers[next(n for n in NODES if n not in fleet.watching())].watchers
    copy = ListingCopy(revision=3, age_ms=0, token="x:1", is_snapshot=True, objects={})
    watchers._request_copy = lambda *_arguments: copy
    assert watchers.fetch("servers/", 4) is None
    fleet.clock.advance(AVOID_WATCHER_MS + 1)
    assert watchers.fetch("servers/", 3).revision == 3


def test_unknown_prefix_is_not_served(fleet):
    assert fleet.followers[NODES[0]].copy("", 0) is None
    app = CopiesApp(lambda _prefix, _since, _wait_ms: None)
    environ = {"PATH_INFO": "/copies/other/", "QUERY_STRING": "since=&wait_ms=0"}
    assert app.answer(environ)[0] == 404


def test_single_gateway_is_its_own_watcher():
    watchers = Watchers("a", None, ManualClock(), random.Random(1), dict)
    assert watchers.fetch("servers/", -1) is None
    assert watchers.addresses() == []


def test_only_changes_are_transferred(fleet):
    for number in range(50):
        fleet.store.put(f"servers/{number:02}", b"{}", None)
    fleet.rounds(2)
    del fleet.sent[:]
    stored = fleet.store.objects["servers/07"]
    fleet.store.put("servers/07", b"[]", stored.version)
    fleet.store.delete("servers/08", fleet.store.objects["servers/08"].version)
    fleet.rounds(2)
    assert max(fleet.sent) == 2
    for node in NODES:
        assert fleet.followers[node].object_cache.objects == fleet.store.objects


def test_changes_are_merged_and_unknown_states_need_a_snapshot():
    log = ChangeLog("x")
    start = log.token
    first, second = (StoredObject("k", version, b"") for version in (1, 2))
    log.add({}, {"k": first})
    log.add({"k": first}, {"k": second})
    log.add({"k": second}, {})
    assert log.since(start) == {"k": None}
    assert apply_delta({"k": first, "other": first}, log.since(start)) == {"other": first}
    assert log.since(log.token) == {}
    for unknown in ("", "y:0", "x:9", "x:-1", "x:"):
        assert log.since(unknown) is None
    for _ in range(300):
        log.add({}, {})
    assert log.since(start) is None


def test_entry_removed_without_a_revision_leaves_all_copies(fleet):
    # The entry is removed without a change of the store's revision.
    fleet.store.put("servers/a", b"{}", None)
    fleet.rounds(2)
    for node in fleet.watching():
        follower = fleet.followers[node]
        follower.object_cache.objects.pop("servers/a")
        follower._changed()
    fleet.rounds(1)
    assert all(seen[-1][1] == [] for seen in fleet.seen.values())


def test_retries_back_off_in_an_outage_and_changes_arrive_soon_after_it(fleet):
    follower = fleet.followers[NODES[0]]
    follower.watchers = None
    fleet.store.faults.outage = True
    started_ms = fleet.clock.now_ms()
    while fleet.clock.now_ms() - started_ms < 20_000:
        follower.step()
    assert fleet.calls() <= 13
    fleet.store.faults.outage = False
    fleet.store.put("servers/a", b"{}", None)
    started_ms = fleet.clock.now_ms()
    follower.step()
    assert fleet.seen[NODES[0]][-1] == (1, ["servers/a"])
    assert fleet.clock.now_ms() - started_ms <= MAX_RETRY_PAUSE_MS
    fleet.store.faults.outage = True
    started_ms = fleet.clock.now_ms()
    follower.step()
    assert fleet.clock.now_ms() - started_ms == RETRY_PAUSE_MS
