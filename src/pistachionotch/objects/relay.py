"""Access to the object API through another process when the direct path fails.

The platform sometimes cuts off individual VMs from the object API, or refuses their calls, while it
serves the others. A call that a peer relays has the same conditions and effects as a direct one.
After a direct call fails, calls go through peers until a direct call succeeds again; normally only
watches try the direct path.
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
from .values import ValueLimit

T = TypeVar("T")
RELAY_PATH = "/objects"
CONNECT_TIMEOUT_MS = 400
# A peer's own call to the object API may take up to that API's timeout.
RESPONSE_TIMEOUT_MS = 1_500
# Peers that are tried before the object API is considered unavailable.
MAX_PEERS_TRIED = 2
# Number of keys whose last rejection is remembered.
MAX_REJECTED_KEYS = 200
# Pause before peers are tried again after none of them could reach the object API.
PEERS_RETRY_MS = 1_000
# Interval at which watches try the direct path while calls go through peers.
DIRECT_RETRY_MS = 1_000


@attrs.frozen
class RelayCall:
    """One call to the object API, as sent between processes."""

    operation: str
    key: str
    value: bytes = b""
    version: int | None = None
    wait_ms: int = 0


def execute_call(store: ObjectStore, call: RelayCall) -> Result[Any, StoreError]:
    """Execute a call on a store and return its result."""
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
    """Object store that calls the API directly, or through a peer while the direct path fails."""

    direct: ObjectStore
    pool: ConnectionPool
    clock: Clock
    rng: random.Random
    log: Any
    # Returns the addresses of the other processes that may reach the object API.
    peers: Callable[[], Sequence[Address]]
    measures: Measures = attrs.field(factory=Measures)
    limit: ValueLimit = ValueLimit(0)
    # Keys of the values that were rejected last, each of which is logged once.
    rejected: dict[str, str] = attrs.field(factory=dict)
    direct_lost: bool = False
    direct_retry_ms: int = 0
    peers_retry_ms: int = 0
    relayed_calls: int = 0

    def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Return the object, or None if it does not exist."""
        return self._call(RelayCall("get", key))

    def list(self, prefix: str) -> Result[tuple[StoredObject, ...], StoreUnavailable]:
        """Return all objects under ``prefix``, sorted by key."""
        return self.snapshot(prefix).map(lambda snapshot: snapshot.objects)

    def snapshot(self, prefix: str) -> Result[Snapshot, StoreUnavailable]:
        """Return the objects that ``list`` returns and the revision to pass to ``watch``."""
        return self._call(RelayCall("snapshot", prefix))

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[StoredObject, StoreError]:
        """Write the object if it has ``expected_version``; None requires that it does not exist.

        A value that is too large is rejected without a call.
        """
        if not self.limit.allows(value):
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            reason = f"{len(value)} bytes, at most {self.limit.max_value_bytes} are allowed"
            return self._record_outcome(key, Failure(StoreRejected(status, reason)))
        return self._record_outcome(key, self._call(RelayCall("put", key, value, expected_version)))

    def _record_outcome(
        self, key: str, result: Result[StoredObject, StoreError]
    ) -> Result[StoredObject, StoreError]:
        """Log a value that is never accepted, once until a write of the key is accepted."""
        error = result.failure() if isinstance(result, Failure) else None
        if not isinstance(error, StoreRejected):
            self.rejected.pop(key, None)
            return result
        self.measures.count("object_api_rejections", key.partition("/")[0])
        if self.rejected.get(key) != error.reason:
            self.rejected[key] = error.reason
            if len(self.rejected) > MAX_REJECTED_KEYS:
                del self.rejected[next(iter(self.rejected))]
            self.log.error(
                "write rejected for good", key=key, status=error.status, reason=error.reason
            )
        return result

    def delete(self, key: str, expected_version: int) -> Result[None, StoreError]:
        """Delete the object if it has ``expected_version``."""
        return self._call(RelayCall("delete", key, b"", expected_version))

    def watch(self, prefix: str, since: int, timeout_ms: int) -> Result[WatchBatch, StoreError]:
        """Wait for changes under ``prefix`` that are newer than the revision ``since``."""
        return self._call(RelayCall("watch", prefix, b"", since, timeout_ms))

    def _call(self, call: RelayCall) -> Result[Any, Any]:
        if self.direct_lost and not self._may_try_direct(call.operation == "watch"):
            relayed_result = self._call_through_peers(call)
            path_failed = isinstance(relayed_result, Failure) and isinstance(
                relayed_result.failure(), StoreUnavailable
            )
            # If no peer can relay the call, there is nothing to lose by trying the direct path.
            if not (path_failed and self._may_try_direct(True)):
                return relayed_result
        started_ms = self.clock.now_ms()
        result = execute_call(self.direct, call)
        if call.operation != "watch":
            self.measures.time("object_api", call.operation, self.clock.now_ms() - started_ms)
        path_failed = isinstance(result, Failure) and _is_path_failure(result.failure())
        self._record_direct_result(path_failed, result)
        # An ambiguous write is not sent through a peer: it may have been applied, and the caller
        # must find out before it retries.
        if path_failed and isinstance(result.failure(), StoreUnavailable):
            return self._call_through_peers(call)
        return result

    def _may_try_direct(self, may_wait: bool) -> bool:
        """Return whether to try the direct path now, at the risk of a timeout."""
        now_ms = self.clock.now_ms()
        if not may_wait or now_ms < self.direct_retry_ms:
            return False
        self.direct_retry_ms = now_ms + DIRECT_RETRY_MS
        return True

    def _record_direct_result(self, path_failed: bool, result: Result[Any, Any]) -> None:
        if path_failed and not self.direct_lost:
            self.direct_retry_ms = self.clock.now_ms() + DIRECT_RETRY_MS
            self.log.warning("direct path lost", reason=str(result.failure()))
        if self.direct_lost and not path_failed:
            self.log.warning("direct path regained", relayed=self.relayed_calls)
        self.direct_lost = path_failed

    def _call_through_peers(self, call: RelayCall) -> Result[Any, Any]:
        """Return the result of the first peer that can reach the object API."""
        if self.clock.now_ms() < self.peers_retry_ms:
            return Failure(StoreUnavailable("no path, directly or through a peer"))
        peers = list(self.peers())
        self.rng.shuffle(peers)
        reason = "no peer is known"
        for peer in peers[:MAX_PEERS_TRIED]:
            result = self._call_peer(peer, call)
            if isinstance(result, ExchangeError):
                reason = f"{peer}: {result.reason}"
                if result.sent and call.operation in ("put", "delete"):
                    return Failure(WriteAmbiguous(reason))
                continue
            if isinstance(result, Failure) and isinstance(result.failure(), StoreUnavailable):
                reason = f"{peer}: {result.failure().reason}"
                continue
            self.relayed_calls += 1
            self.measures.count("relayed_calls", call.operation)
            return result
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


def handle_relayed_call(
    store: ObjectStore, body: bytes, begin_watch: Callable[[], None] = lambda: None
) -> bytes:
    """Execute the call of another process and return the encoded result.

    ``begin_watch`` is called before a wait for changes.
    """
    operation, key, value, version, wait_ms = load_cbor(body)
    call = RelayCall(str(operation), str(key), bytes(value), version, int(wait_ms))
    if call.operation == "watch":
        begin_watch()
    result = execute_call(store, call)
    if isinstance(result, Failure):
        return cbor2.dumps(["error", _encode_value(result.failure())])
    return cbor2.dumps(["ok", _encode_value(result.unwrap())])


def decode_result(body: bytes) -> Result[Any, Any]:
    """Decode the result of ``handle_relayed_call``; raise one of ``MALFORMED`` if it is invalid."""
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
    """Decode an object sent by a peer; raise one of ``MALFORMED`` if it is invalid."""
    if not (isinstance(key, str) and isinstance(value, bytes)):
        raise ValueError("the key or the value has another type")
    return StoredObject(key, int(version), value)


def _bytes_or_none(value: Any) -> bytes | None:
    if value is None or isinstance(value, bytes):
        return value
    raise ValueError("the value has another type")
