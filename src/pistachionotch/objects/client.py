"""HTTP client of the object API.

Reads use a small pool of keep-alive connections. Writes and long-polling watches each use a new
connection and are sent once: if a first write had been applied, a second one would fail with a
conflict caused by the client's own write.
"""

from __future__ import annotations

import base64
from collections.abc import Mapping
from http import HTTPStatus
from urllib.parse import quote, urlencode

import attrs
import gevent
from gevent.lock import BoundedSemaphore
from returns.result import Failure, Result, Success

from ..clock import MS_PER_SECOND, SystemClock
from ..config.spec import Address
from ..http_client import Connection, ConnectionPool, ExchangeError
from ..http_reads import MAX_READ_BYTES, read_kept
from ..malformed import load_json
from .api import (
    Change,
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

CONNECT_TIMEOUT_MS = 1_000
RESPONSE_TIMEOUT_MS = 3_000
READ_CONNECTIONS = 4
REJECTED_STATUSES = frozenset({HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE})


class ResponseTimeoutError(Exception):
    """The complete response did not arrive in time.

    This is a separate type because catching ``gevent.Timeout`` would also catch a caller's timeout.
    """


@attrs.frozen
class Reply:
    """A complete HTTP response."""

    status: int
    etag: str
    body: bytes

    def version(self) -> int:
        """Return the version from the ``ETag``; raise ``ValueError`` if it has none."""
        return int(self.etag.strip('"'))


@attrs.frozen
class _NoResponse:
    reason: str
    connected: bool


# All errors that can occur between sending a request and receiving a complete, valid response.
_TRANSPORT_ERRORS = (ExchangeError, ResponseTimeoutError)


class HttpObjectStore:
    """Client of the object API at one address."""

    def __init__(
        self,
        host: str,
        port: int,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        response_timeout_ms: int = RESPONSE_TIMEOUT_MS,
    ) -> None:
        self.address = Address(host, port)
        self.connect_timeout_ms = connect_timeout_ms
        self.response_timeout_ms = response_timeout_ms
        self.pool = ConnectionPool(SystemClock(), max_idle=READ_CONNECTIONS)
        self.reading = BoundedSemaphore(READ_CONNECTIONS)

    def close(self) -> None:
        """Close the keep-alive connections."""
        self.pool.forget(self.address, str(self.address))

    def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Return the object, or None if it does not exist."""
        reply = self._read(_object_path(key))
        if isinstance(reply, _NoResponse):
            return Failure(StoreUnavailable(reply.reason))
        if reply.status == HTTPStatus.NOT_FOUND:
            return Success(None)
        if reply.status != HTTPStatus.OK:
            return Failure(_unavailable(reply))
        try:
            return Success(StoredObject(key, reply.version(), reply.body))
        except ValueError as error:
            return Failure(StoreUnavailable(f"malformed answer: {error}"))

    def list(self, prefix: str) -> Result[tuple[StoredObject, ...], StoreUnavailable]:
        """Return all objects under ``prefix``, sorted by key."""
        return self.snapshot(prefix).map(lambda snapshot: snapshot.objects)

    def snapshot(self, prefix: str) -> Result[Snapshot, StoreUnavailable]:
        """Return all objects under ``prefix`` and the revision to pass to ``watch``."""
        reply = self._read("/objects?" + urlencode({"prefix": prefix}))
        if isinstance(reply, _NoResponse):
            return Failure(StoreUnavailable(reply.reason))
        if reply.status != HTTPStatus.OK:
            return Failure(_unavailable(reply))
        try:
            return Success(_parse_snapshot(reply.body))
        except (ValueError, KeyError, TypeError) as error:
            return Failure(StoreUnavailable(f"malformed answer: {error!r}"))

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[StoredObject, StoreError]:
        """Write the object if it has ``expected_version``; None requires that it does not exist."""
        condition = {"If-None-Match": "*"}
        if expected_version is not None:
            condition = {"If-Match": f'"{expected_version}"'}
        reply = self._send_once("PUT", _object_path(key), value, condition)
        result = self._classify_write_reply(key, reply)
        if isinstance(result, Failure):
            return result
        try:
            return Success(StoredObject(key, result.unwrap().version(), value))
        except ValueError as error:
            return Failure(WriteAmbiguous(f"malformed answer: {error}"))

    def delete(self, key: str, expected_version: int) -> Result[None, StoreError]:
        """Delete the object if it has ``expected_version``."""
        condition = {"If-Match": f'"{expected_version}"'}
        reply = self._send_once("DELETE", _object_path(key), b"", condition)
        return self._classify_write_reply(key, reply).map(lambda _reply: None)

    def watch(self, prefix: str, since: int, timeout_ms: int) -> Result[WatchBatch, StoreError]:
        """Wait for changes under ``prefix`` that are newer than the revision ``since``."""
        query = urlencode({"prefix": prefix, "since": since, "timeout_ms": timeout_ms})
        # A watch that does not wait is an ordinary read, and reusing a connection is cheaper.
        if timeout_ms == 0:
            reply = self._read(f"/watch?{query}")
        else:
            reply = self._send_once("GET", f"/watch?{query}", b"", {}, wait_ms=timeout_ms)
        if isinstance(reply, _NoResponse):
            return Failure(StoreUnavailable(reply.reason))
        if reply.status == HTTPStatus.GONE:
            return Failure(WatchExpired(since))
        if reply.status != HTTPStatus.OK:
            return Failure(_unavailable(reply))
        try:
            return Success(_parse_batch(reply.body))
        except (ValueError, KeyError, TypeError) as error:
            return Failure(StoreUnavailable(f"malformed answer: {error!r}"))

    def _classify_write_reply(
        self, key: str, reply: Reply | _NoResponse
    ) -> Result[Reply, StoreError]:
        if isinstance(reply, _NoResponse):
            if reply.connected:
                return Failure(WriteAmbiguous(reply.reason))
            return Failure(StoreUnavailable(reply.reason))
        if reply.status == HTTPStatus.OK:
            return Success(reply)
        if reply.status in (HTTPStatus.PRECONDITION_FAILED, HTTPStatus.NOT_FOUND):
            return Failure(self._read_conflict(key))
        if reply.status in REJECTED_STATUSES:
            return Failure(StoreRejected(reply.status, reply.body.decode(errors="replace")))
        if reply.status == HTTPStatus.TOO_MANY_REQUESTS:
            return Failure(_unavailable(reply))
        # A 5xx may come from a gateway that had already forwarded the write.
        return Failure(WriteAmbiguous(f"status {reply.status}"))

    def _read_conflict(self, key: str) -> VersionConflict | StoreUnavailable:
        read = self.get(key)
        if isinstance(read, Success):
            return VersionConflict(read.unwrap())
        # The rejected write had no effect, so StoreUnavailable is accurate here.
        return read.failure()

    def _read(self, path: str) -> Reply | _NoResponse:
        limit_ms = self.connect_timeout_ms + self.response_timeout_ms
        try:
            with gevent.Timeout(limit_ms / MS_PER_SECOND, ResponseTimeoutError), self.reading:
                head, body = read_kept(
                    self.pool,
                    self.address,
                    path,
                    (),
                    self.connect_timeout_ms,
                    self.response_timeout_ms,
                )
                return Reply(head.status, head.get("etag"), body)
        except _TRANSPORT_ERRORS as error:
            # The other kept connections may be unresponsive as well, so none is reused.
            self.close()
            return _NoResponse(repr(error), connected=True)

    def _send_once(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str], wait_ms: int = 0
    ) -> Reply | _NoResponse:
        response_ms = self.response_timeout_ms + wait_ms
        limit_ms = self.connect_timeout_ms + response_ms
        connection = Connection(self.address)
        try:
            with gevent.Timeout(limit_ms / MS_PER_SECOND, ResponseTimeoutError):
                connection.open(self.connect_timeout_ms)
                pairs = [("Host", str(self.address)), *headers.items()]
                connection.send(method, path, pairs, body, response_ms)
                head = connection.read_head(response_ms)
                answer = connection.read_body(response_ms, MAX_READ_BYTES)
                return Reply(head.status, head.get("etag"), answer)
        except _TRANSPORT_ERRORS as error:
            return _NoResponse(repr(error), connected=connection.exchanges > 0)
        finally:
            connection.close()


def _object_path(key: str) -> str:
    return "/objects/" + quote(key, safe="/")


def _unavailable(reply: Reply) -> StoreUnavailable:
    return StoreUnavailable(f"status {reply.status}")


def _parse_snapshot(body: bytes) -> Snapshot:
    fields = load_json(body)
    objects = tuple(
        StoredObject(item["key"], int(item["version"]), base64.b64decode(item["value"]))
        for item in fields["objects"]
    )
    return Snapshot(int(fields["revision"]), objects)


def _parse_batch(body: bytes) -> WatchBatch:
    fields = load_json(body)
    changes = tuple(
        Change(item["key"], int(item["version"]), _decode_value(item["value"]))
        for item in fields["changes"]
    )
    return WatchBatch(int(fields["revision"]), changes)


def _decode_value(text: str | None) -> bytes | None:
    return None if text is None else base64.b64decode(text)
