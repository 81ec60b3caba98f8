"""HTTP client of the object API.

Reads use a small pool of keep-alive connections. ``HTTPClient.request`` resends a PUT or DELETE
automatically if the connection closes before the response. If the first request had been applied,
the second would then fail with a conflict caused by the client's own write. Writes and long-polling
watches therefore each use a new connection and fail instead of sending the request a second time.
"""

from __future__ import annotations

import base64
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

import attrs
import gevent
from geventhttpclient.client import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Result, Success

from ..clock import MS_PER_SECOND
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


class SecondAttemptError(Exception):
    """Raised to stop the HTTP library from sending a request twice."""


class ResponseTimeoutError(Exception):
    """The complete response did not arrive in time.

    This is a separate type because catching ``gevent.Timeout`` would also catch a caller's timeout.
    """


class SingleConnectionPool(ConnectionPool):  # type: ignore[misc, unused-ignore]
    """Pool that hands out a single new connection; ``connected`` is set once it was opened."""

    connected = False

    def get_socket(self) -> Any:
        """Return the connection; raise if the request is about to be sent a second time."""
        if self.connected:
            raise SecondAttemptError("connection closed before the answer")
        socket = super().get_socket()
        self.connected = True
        return socket


class SingleAttemptClient(HTTPClient):  # type: ignore[misc, unused-ignore]
    """HTTP client that sends at most one request, on its own connection."""

    def __init__(
        self, host: str, port: int, connect_timeout_s: float, response_timeout_s: float
    ) -> None:
        super().__init__(host, port)
        self.pool = SingleConnectionPool(
            host,
            port,
            host,
            port,
            size=1,
            connection_timeout=connect_timeout_s,
            network_timeout=response_timeout_s,
        )
        self._connection_pool = self.pool


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
_TRANSPORT_ERRORS = (OSError, HTTPParseError, SecondAttemptError, ResponseTimeoutError)


class HttpObjectStore:
    """Client of the object API at one address."""

    def __init__(
        self,
        host: str,
        port: int,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        response_timeout_ms: int = RESPONSE_TIMEOUT_MS,
    ) -> None:
        self.host = host
        self.port = port
        self.connect_timeout_ms = connect_timeout_ms
        self.response_timeout_ms = response_timeout_ms
        self.read_client = self._new_read_client()

    def close(self) -> None:
        """Close the keep-alive connections."""
        self.read_client.close()

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
        read_client = self.read_client
        try:
            with gevent.Timeout(limit_ms / MS_PER_SECOND, ResponseTimeoutError):
                return _read_reply(read_client.request("GET", path))
        except _TRANSPORT_ERRORS as error:
            # The other pooled connections may be unresponsive as well, so none is reused. The old
            # client is not closed, because that would fail the greenlets that are waiting on it.
            if self.read_client is read_client:
                self.read_client = self._new_read_client()
            return _NoResponse(repr(error), connected=True)

    def _send_once(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str], wait_ms: int = 0
    ) -> Reply | _NoResponse:
        response_ms = self.response_timeout_ms + wait_ms
        client = SingleAttemptClient(
            self.host,
            self.port,
            self.connect_timeout_ms / MS_PER_SECOND,
            response_ms / MS_PER_SECOND,
        )
        limit_ms = self.connect_timeout_ms + response_ms
        try:
            with gevent.Timeout(limit_ms / MS_PER_SECOND, ResponseTimeoutError):
                return _read_reply(client.request(method, path, body, dict(headers)))
        except _TRANSPORT_ERRORS as error:
            return _NoResponse(repr(error), connected=client.pool.connected)
        finally:
            client.close()

    def _new_read_client(self) -> HTTPClient:
        return HTTPClient(
            self.host,
            self.port,
            concurrency=READ_CONNECTIONS,
            connection_timeout=self.connect_timeout_ms / MS_PER_SECOND,
            network_timeout=self.response_timeout_ms / MS_PER_SECOND,
        )


def _read_reply(response: Any) -> Reply:
    body = response.read()
    if not response.message_complete:
        raise HTTPParseError("connection closed before the end of the answer")
    return Reply(response.status_code, str(response.get("etag") or ""), body)


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
