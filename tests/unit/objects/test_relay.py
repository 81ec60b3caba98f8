"""Guards against a process that fails without a direct path, and against writes applied twice."""

import random

import pytest
import structlog
from returns.result import Failure, Success

from pistachionotch.clock import ManualClock
from pistachionotch.config.spec import Address
from pistachionotch.objects import relay as relay_module
from pistachionotch.objects.api import (
    Change,
    Snapshot,
    StoredObject,
    StoreRejected,
    StoreUnavailable,
    VersionConflict,
    WatchBatch,
    WatchExpired,
    WriteAmbiguous,
)
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.objects.read_back import put_with_read_back
from pistachionotch.objects.relay import RelayedStore, decode_result, handle_relayed_call

PEERS = (Address("10.0.0.1", 1), Address("10.0.0.2", 1))
STORED = StoredObject("k/a", 3, b"[1]")


class DirectPath:
    """One process's direct path to the shared store, which can be cut."""

    def __init__(self, store):
        self.store = store
        self.cut = False
        self.lose_next_response = False

    def __getattr__(self, name):
        def call(*arguments):
            if self.cut:
                return Failure(StoreUnavailable("cut"))
            answer = getattr(self.store, name)(*arguments)
            if self.lose_next_response and name == "put":
                self.lose_next_response = False
                return Failure(WriteAmbiguous("answer lost"))
            return answer

        return call


class InProcessRelayedStore(RelayedStore):
    """RelayedStore that calls its peers in the same process instead of over a connection."""

    def __init__(self, own, others):
        self.others = others
        super().__init__(
            own,
            None,
            ManualClock(),
            random.Random(1),
            structlog.get_logger(),
            lambda: PEERS,
        )

    def _call_peer(self, peer, call):
        body = relay_module.cbor2.dumps(relay_module.attrs.astuple(call))
        return decode_result(handle_relayed_call(self.others[PEERS.index(peer)], body))


@pytest.fixture
def paths():
    store = MemoryStore()
    return [DirectPath(store) for _ in range(3)]


@pytest.fixture
def relayed(paths):
    return InProcessRelayedStore(paths[0], paths[1:])


def test_calls_go_through_a_peer_while_the_direct_path_is_cut(paths, relayed):
    paths[0].cut = True
    created = relayed.put("k/a", b"[1]", None).unwrap()
    assert relayed.get("k/a") == Success(created)
    assert relayed.put("k/a", b"[2]", None) == Failure(VersionConflict(created))
    assert relayed.snapshot("k/").unwrap().objects == (created,)
    assert relayed.watch("k/", 0, 0).unwrap().changes[0].key == "k/a"
    assert relayed.delete("k/a", created.version) == Success(None)
    assert relayed.direct_lost


def test_a_peer_without_a_path_is_skipped(paths, relayed):
    paths[0].cut = paths[1].cut = True
    assert relayed.get("k/a") == Success(None)


def test_an_outage_of_all_paths_is_reported_without_asking_peers_each_time(paths, relayed):
    for path in paths:
        path.cut = True
    asked = []
    for path in paths[1:]:
        path.get = lambda *_arguments: asked.append(1) or Failure(StoreUnavailable("out"))
    for _ in range(5):
        assert isinstance(relayed.get("k/a").failure(), StoreUnavailable)
    assert len(asked) == 2
    relayed.clock.advance(relay_module.PEERS_RETRY_MS)
    relayed.get("k/a")
    assert len(asked) == 4


def test_a_watch_tries_and_restores_the_direct_path(paths, relayed):
    paths[0].cut = True
    relayed.get("k/a")
    paths[0].cut = False
    relayed.get("k/a")
    assert relayed.direct_lost, "an ordinary call does not risk a time-out"
    relayed.clock.advance(relay_module.DIRECT_RETRY_MS)
    relayed.watch("k/", 0, 0)
    assert not relayed.direct_lost


@pytest.mark.parametrize("operation", ["get", "snapshot"])
def test_a_process_started_in_an_outage_uses_the_direct_path_afterwards(paths, operation):
    # Nothing has been listed yet, so no watch is running that could try the direct path.
    paths[0].cut = True
    peerless = InProcessRelayedStore(paths[0], [])
    peerless.peers = list
    getattr(peerless, operation)("k/")
    paths[0].cut = False
    peerless.clock.advance(relay_module.DIRECT_RETRY_MS)
    assert isinstance(getattr(peerless, operation)("k/"), Success)
    assert not peerless.direct_lost


def test_a_write_with_a_lost_response_is_read_back_through_a_peer(paths, relayed):
    paths[0].lose_next_response = True
    written = put_with_read_back(relayed, "k/a", b'["t"]', None, "t")
    assert written == Success(StoredObject("k/a", 1, b'["t"]'))
    assert relayed.relayed_calls == 1


@pytest.mark.parametrize(
    "result",
    [
        Success(None),
        Success(STORED),
        Success(Snapshot(4, (STORED,))),
        Success(WatchBatch(4, (Change("k/a", 3, None), Change("k/b", 4, b"[]")))),
        Failure(VersionConflict(None)),
        Failure(VersionConflict(STORED)),
        Failure(StoreUnavailable("r")),
        Failure(WriteAmbiguous("r")),
        Failure(WatchExpired(3)),
        Failure(StoreRejected(413, "r")),
    ],
)
def test_every_result_round_trips_between_processes(result):
    class FixedResultStore:
        def get(self, _key):
            return result

    body = relay_module.cbor2.dumps(["get", "k", b"", None, 0])
    assert decode_result(handle_relayed_call(FixedResultStore(), body)) == result


def test_an_unknown_operation_is_rejected():
    body = relay_module.cbor2.dumps(["drop", "k", b"", None, 0])
    assert isinstance(
        decode_result(handle_relayed_call(MemoryStore(), body)).failure(), StoreRejected
    )
