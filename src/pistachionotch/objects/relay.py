"""Object API through another process, for a process whose own path to it is cut.

The platform cuts off single VMs from the object API, or refuses their calls, while it serves the
others. A call by way of a peer has the same conditions and the same effect as a direct one. After a
direct call was lost, calls go through peers until a direct watch succeeds again.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from functools import singledispatch
from http import HTTPStatus
from typing import Any, TypeVar

import attrs
import cbor2
from returns.result import Failure, Result, Success

from ..clock import Clock
from ..config.spec import Address
from ..http_client import Connection, ConnectionPool, ExchangeError
from ..malformed import MALFORMED, load_cbor
from ..measures import Measures
from .api import (
    Change,
    ObjectStore,
    Snapshot,
    StoredObject,
    StoreError,
    StoreRejected,
    StoreUnavailable,
    VersionConflict,
    WatchBatch,
    WatchExpired,
    WriteAmbiguous,
)

T = TypeVar("T")
RELAY_PATH = "/objects"
CONNECT_TIMEOUT_MS = 400
# A peer's own call may take the object API's time limit.
RESPONSE_TIMEOUT_MS = 1_500
# Peers that are asked before the object API counts as out.
MAX_PEERS_TRIED = 2
# While no peer reaches the object API either, the next call tries that again after this time.
PEERS_RETRY_MS = 1_000
# While calls go through peers, a watch tries the direct path this often.
DIRECT_RETRY_MS = 1_000


@attrs.frozen
class RelayCall:
    """Hold one call to the object API as it travels between processes."""

    operation: str
    key: str
    value: bytes = b""
    version: int | None = None
    wait_ms: int = 0


def execute_call(store: ObjectStore, call: RelayCall) -> Result[Any, StoreError]:
    """Make a call at a store."""
    if call.operation == "get":
        return store.get(call.key)
    if call.operation == "snapshot":
        return store.snapshot(call.key)
    if call.operation == "put":
        return store.put(call.key, call.value, call.version)
    if call.operation == "delete" and call.version is not None:
        return store.delete(call.key, call.version)
    if call.operation == "watch" and call.version is not None:
        return store.watch(call.key, call.version, call.wait_ms)
    return Failure(StoreRejected(HTTPStatus.BAD_REQUEST, f"unknown operation {call.operation}"))


@attrs.define
class RelayedStore:
    """Call the object API directly, or through a peer while the direct path is lost."""

    direct: ObjectStore
    pool: ConnectionPool
    clock: Clock
    rng: random.Random
    log: Any
    # Addresses of the other processes that may have a path.
    peers: Callable[[], Sequence[Address]]
    measures: Measures = attrs.field(factory=Measures)
    direct_lost: bool = False
    direct_retry_ms: int = 0
    peers_retry_ms: int = 0
    relayed_calls: int = 0

    def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Return the object, or None when there is none."""
        return self._call(RelayCall("get", key))

    def list(self, prefix: str) -> Result[tuple[StoredObject, ...], StoreUnavailable]:
        """Return all objects under ``prefix``, by key."""
        return self.snapshot(prefix).map(lambda snapshot: snapshot.objects)

    def snapshot(self, prefix: str) -> Result[Snapshot, StoreUnavailable]:
        """Return what ``list`` returns, with the revision to pass to ``watch``."""
        return self._call(RelayCall("snapshot", prefix))

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[StoredObject, StoreError]:
        """Write if the object has ``expected_version``; None means create only."""
        return self._call(RelayCall("put", key, value, expected_version))

    def delete(self, key: str, expected_version: int) -> Result[None, StoreError]:
        """Delete the object if it has ``expected_version``."""
        return self._call(RelayCall("delete", key, b"", expected_version))

    def watch(self, prefix: str, since: int, timeout_ms: int) -> Result[WatchBatch, StoreError]:
        """Wait until something under ``prefix`` is newer than the revision ``since``."""
        return self._call(RelayCall("watch", prefix, b"", since, timeout_ms))

    def _call(self, call: RelayCall) -> Result[Any, Any]:
        if self.direct_lost and not self._may_try_direct(call.operation == "watch"):
            relayed_result = self._call_through_peers(call)
            path_failed = isinstance(relayed_result, Failure) and isinstance(
                relayed_result.failure(), StoreUnavailable
            )
            # Without a peer that helps there is nothing to lose by trying the direct path.
            if not (path_failed and self._may_try_direct(True)):
                return relayed_result
        started_ms = self.clock.now_ms()
        answer = execute_call(self.direct, call)
        if call.operation != "watch":
            self.measures.time("object_api", call.operation, self.clock.now_ms() - started_ms)
        path_failed = isinstance(answer, Failure) and _is_path_failure(answer.failure())
        self._record_direct_result(path_failed, answer)
        # A write without an answer may have happened; its caller settles that before it repeats it.
        if path_failed and isinstance(answer.failure(), StoreUnavailable):
            return self._call_through_peers(call)
        return answer

    def _may_try_direct(self, may_wait: bool) -> bool:
        """Return whether to try the direct path now, at the risk of a time-out."""
        now_ms = self.clock.now_ms()
        if not may_wait or now_ms < self.direct_retry_ms:
            return False
        self.direct_retry_ms = now_ms + DIRECT_RETRY_MS
        return True

    def _record_direct_result(self, path_failed: bool, answer: Result[Any, Any]) -> None:
        if path_failed and not self.direct_lost:
            self.direct_retry_ms = self.clock.now_ms() + DIRECT_RETRY_MS
            self.log.warning("direct path lost", reason=str(answer.failure()))
        if self.direct_lost and not path_failed:
            self.log.warning("direct path regained", relayed=self.relayed_calls)
        self.direct_lost = path_failed

    def _call_through_peers(self, call: RelayCall) -> Result[Any, Any]:
        """Return the first answer of a peer that reaches the object API."""
        if self.clock.now_ms() < self.peers_retry_ms:
            return Failure(StoreUnavailable("no path, directly or through a peer"))
        peers = list(self.peers())
        self.rng.shuffle(peers)
        reason = "no peer is known"
        for peer in peers[:MAX_PEERS_TRIED]:
            answer = self._call_peer(peer, call)
            if isinstance(answer, ExchangeError):
                reason = f"{peer}: {answer.reason}"
                if answer.sent and call.operation in ("put", "delete"):
                    return Failure(WriteAmbiguous(reason))
                continue
            if isinstance(answer, Failure) and isinstance(answer.failure(), StoreUnavailable):
                reason = f"{peer}: {answer.failure().reason}"
                continue
            self.relayed_calls += 1
            self.measures.count("relayed_calls", call.operation)
            return answer
        self.peers_retry_ms = self.clock.now_ms() + PEERS_RETRY_MS
        return Failure(StoreUnavailable(reason))

    def _call_peer(self, peer: Address, call: RelayCall) -> Result[Any, Any] | ExchangeError:
        connection: Connection | None = None
        timeout_ms = RESPONSE_TIMEOUT_MS + call.wait_ms
        body = cbor2.dumps(attrs.astuple(call))
        headers = [("Host", str(peer)), ("Content-Type", "application/cbor")]
        try:
            connection = self.pool.take(peer, RELAY_PATH, CONNECT_TIMEOUT_MS)
            connection.send("POST", RELAY_PATH, headers, body, RESPONSE_TIMEOUT_MS)
            head = connection.read_head(timeout_ms)
            reply = connection.read_body(RESPONSE_TIMEOUT_MS)
            self.pool.give_back(connection, RELAY_PATH, head)
            connection = None
        except ExchangeError as error:
            return error
        finally:
            if connection is not None:
                connection.close()
        if head.status != HTTPStatus.OK:
            return ExchangeError(f"status {head.status}", sent=True)
        try:
            return decode_result(reply)
        except MALFORMED as error:
            return ExchangeError(f"malformed answer: {error!r}", sent=True)


def _is_path_failure(error: StoreError) -> bool:
    return isinstance(error, StoreUnavailable | WriteAmbiguous)


def handle_relayed_call(store: ObjectStore, body: bytes) -> bytes:
    """Make the call of another process and return the encoded result."""
    operation, key, value, version, wait_ms = load_cbor(body)
    call = RelayCall(str(operation), str(key), bytes(value), version, int(wait_ms))
    answer = execute_call(store, call)
    if isinstance(answer, Failure):
        return cbor2.dumps(["error", _encode_value(answer.failure())])
    return cbor2.dumps(["ok", _encode_value(answer.unwrap())])


def decode_result(body: bytes) -> Result[Any, Any]:
    """Decode what ``relay`` returned; raises one of ``MALFORMED``."""
    kind, fields = load_cbor(body)
    value = _decode_value(fields)
    return Success(value) if kind == "ok" else Failure(value)


@singledispatch
def _encode_value(value: Any) -> Any:
    raise TypeError(type(value))


@_encode_value.register
def _(value: None) -> Any:
    return None


@_encode_value.register(StoredObject)
@_encode_value.register(Change)
@_encode_value.register(StoreUnavailable)
@_encode_value.register(WriteAmbiguous)
@_encode_value.register(WatchExpired)
@_encode_value.register(StoreRejected)
def _(value: Any) -> Any:
    return [type(value).__name__, *attrs.astuple(value, recurse=False)]


@_encode_value.register
def _(value: Snapshot) -> Any:
    return ["Snapshot", value.revision, [_encode_value(stored) for stored in value.objects]]


@_encode_value.register
def _(value: WatchBatch) -> Any:
    return ["WatchBatch", value.revision, [_encode_value(change) for change in value.changes]]


@_encode_value.register
def _(value: VersionConflict) -> Any:
    return ["VersionConflict", _encode_value(value.current), value.own_write_ambiguous]


_PLAIN_ERRORS: dict[str, Callable[..., Any]] = {
    kind.__name__: kind
    for kind in (
        StoreUnavailable,
        WriteAmbiguous,
        WatchExpired,
        StoreRejected,
    )
}


def _decode_value(fields: Any) -> Any:
    if fields is None:
        return None
    name, *values = fields
    if name == "Snapshot":
        return Snapshot(values[0], tuple(_decode_value(stored) for stored in values[1]))
    if name == "WatchBatch":
        return WatchBatch(values[0], tuple(_decode_value(change) for change in values[1]))
    if name == "VersionConflict":
        return VersionConflict(_decode_value(values[0]), values[1])
    if name == "StoredObject":
        return decode_stored_object(*values)
    if name == "Change":
        return Change(str(values[0]), int(values[1]), _bytes_or_none(values[2]))
    return _PLAIN_ERRORS[name](*values)


def decode_stored_object(key: Any, version: Any, value: Any) -> StoredObject:
    """Return an object as a peer sent it; raises one of ``MALFORMED``."""
    if not (isinstance(key, str) and isinstance(value, bytes)):
        raise ValueError("the key or the value has another type")
    return StoredObject(key, int(version), value)


def _bytes_or_none(value: Any) -> bytes | None:
    if value is None or isinstance(value, bytes):
        return value
    raise ValueError("the value has another type")
