"""Client of the platform's metadata store that implements ``ObjectStore``.

The key ``kind/name`` stands for the platform's object ``name`` of that kind; further slashes become
tildes. The value is the JSON text of the object's ``spec``; only ``put_status`` writes ``status``.
"""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

import attrs
from returns.result import Failure, Result, Success

from ..config.spec import Address
from ..http_client import Connection, ConnectionPool, ExchangeError
from ..logs import logger
from ..malformed import MALFORMED, describe
from ..measures import Measures
from ..objects.api import (
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
from .tolerant_json import dump_value, load_tolerantly

CONNECT_TIMEOUT_MS = 500
# A slow store takes a hundred times its usual 4 ms; one that exceeds this limit counts as down.
RESPONSE_TIMEOUT_MS = 1_000
OBJECTS_PATH = "/api/objects/"
PEER = "object-api"
# With these statuses the store states that it did not carry out the request.
NOT_EXECUTED_STATUSES = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})
NO_SPEC = b"null"


@attrs.frozen
class _Reply:
    status: int
    fields: Any


@attrs.frozen
class _NoReply:
    reason: str
    # Whether the store may have received the request.
    sent: bool


@attrs.define
class PlatformStore:
    """Access the platform's store at one address."""

    address: Address
    pool: ConnectionPool
    # Counts the calls by kind of object and operation.
    measures: Measures = attrs.field(factory=Measures)

    def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Return the object, or None if it does not exist."""
        reply = self._call("get", _kind(key), "GET", _object_path(key))
        if isinstance(reply, _NoReply):
            return Failure(StoreUnavailable(reply.reason))
        if reply.status == HTTPStatus.NOT_FOUND:
            return Success(None)
        if reply.status != HTTPStatus.OK:
            return Failure(StoreUnavailable(f"status {reply.status}"))
        return _parse_result(lambda: self._parse_expected(key, reply.fields))

    def list(self, prefix: str) -> Result[tuple[StoredObject, ...], StoreUnavailable]:
        """Return all objects under ``prefix`` in the order of their keys."""
        return self.snapshot(prefix).map(lambda snapshot: snapshot.objects)

    def snapshot(self, prefix: str) -> Result[Snapshot, StoreUnavailable]:
        """Read all pages of a kind and return its objects with the revision to watch from."""
        kind = prefix.partition("/")[0]
        objects: list[StoredObject] = []
        # That of the first page: the first watch returns what changed while the pages were read.
        revision: int | None = None
        after = ""
        while True:
            query = "?" + urlencode({"after": after}) if after else ""
            reply = self._call("list", kind, "GET", OBJECTS_PATH + quote(kind) + query)
            if isinstance(reply, _NoReply):
                return Failure(StoreUnavailable(reply.reason))
            if reply.status != HTTPStatus.OK:
                return Failure(StoreUnavailable(f"status {reply.status}"))
            try:
                items = reply.fields["items"]
                page = [stored for item in items if (stored := _parse_entry(kind, item))]
                more = bool(reply.fields["has_more"])
                page_revision = int(reply.fields["current_rev"])
            except MALFORMED as error:
                return Failure(StoreUnavailable(f"malformed answer: {error!r}"))
            objects.extend(page)
            revision = page_revision if revision is None else revision
            if not (more and page):
                return Success(Snapshot(revision, tuple(objects)))
            after = _wire_name(page[-1].key.partition("/")[2])

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[StoredObject, StoreError]:
        """Write the object if its version is ``expected_version``; None means create only."""
        kind, _, name = key.partition("/")
        metadata: dict[str, Any] = {"name": _wire_name(name)}
        body = {"metadata": metadata, "spec": json.loads(value)}
        if expected_version is None:
            reply = self._call("create", kind, "POST", OBJECTS_PATH + quote(kind), body)
        else:
            metadata["revision"] = expected_version
            reply = self._call("replace", kind, "PUT", _object_path(key), body)
        return self._write_result(key, reply)

    def put_status(self, key: str, status: Any) -> Result[StoredObject, StoreError]:
        """Replace the status of an object that another writer owns."""
        target = _object_path(key) + "/status"
        reply = self._call("status", _kind(key), "PUT", target, {"status": status})
        return self._write_result(key, reply)

    def delete(self, key: str, expected_version: int) -> Result[None, StoreError]:
        """Delete the object if its version is ``expected_version``."""
        query = "?" + urlencode({"revision": expected_version})
        reply = self._call("delete", _kind(key), "DELETE", _object_path(key) + query)
        return self._write_result(key, reply).map(lambda _deleted: None)

    def watch(self, prefix: str, since: int, timeout_ms: int) -> Result[WatchBatch, StoreError]:
        """Wait for objects of a kind newer than ``since``; no changes after a time-out."""
        kind = prefix.partition("/")[0]
        query = urlencode({"watch": since, "wait_ms": timeout_ms})
        reply = self._call(
            "watch", kind, "GET", f"{OBJECTS_PATH}{quote(kind)}?{query}", wait_ms=timeout_ms
        )
        if isinstance(reply, _NoReply):
            return Failure(StoreUnavailable(reply.reason))
        if reply.status == HTTPStatus.GONE:
            return Failure(WatchExpired(since))
        if reply.status != HTTPStatus.OK:
            return Failure(StoreUnavailable(f"status {reply.status}"))
        try:
            events = reply.fields["events"]
            changes = [change for event in events if (change := _parse_change(kind, event))]
            return Success(WatchBatch(int(reply.fields["current_rev"]), tuple(changes)))
        except MALFORMED as error:
            return Failure(StoreUnavailable(f"malformed answer: {error!r}"))

    def _write_result(self, key: str, reply: _Reply | _NoReply) -> Result[StoredObject, StoreError]:
        if isinstance(reply, _NoReply):
            if reply.sent:
                return Failure(WriteAmbiguous(reply.reason))
            return Failure(StoreUnavailable(reply.reason))
        if reply.status in (HTTPStatus.OK, HTTPStatus.CREATED):
            return _parse_result(lambda: self._parse_expected(key, reply.fields)).lash(
                lambda error: Failure(WriteAmbiguous(error.reason))
            )
        if reply.status == HTTPStatus.CONFLICT:
            return _parse_result(lambda: self._parse_expected(key, reply.fields)).bind(
                lambda current: Failure(VersionConflict(current))
            )
        if reply.status == HTTPStatus.NOT_FOUND:
            return Failure(VersionConflict(None))
        if reply.status in NOT_EXECUTED_STATUSES:
            return Failure(StoreUnavailable(f"status {reply.status}"))
        if HTTPStatus.BAD_REQUEST <= reply.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return Failure(StoreRejected(reply.status, str(reply.fields)))
        return Failure(WriteAmbiguous(f"status {reply.status}"))

    def _parse_expected(self, key: str, fields: Any) -> StoredObject:
        """Decode the requested object; raises ``ValueError`` if the response holds another one."""
        stored = _parse_object(key.partition("/")[0], fields)
        if stored.key != key.replace("~", "/"):
            # A response was sent twice, so every later one on its connection belongs to an earlier
            # request; close the idle connections to the store.
            self.pool.forget(self.address, PEER)
            raise ValueError(f"an answer about {stored.key} instead of {key}")
        return stored

    def _call(
        self,
        operation: str,
        kind: str,
        method: str,
        target: str,
        body: Any = None,
        wait_ms: int = 0,
    ) -> Any:
        """Count a call by its purpose and make it."""
        self.measures.count("store_calls", f"{kind}, {operation}")
        return self._request(method, target, body, wait_ms)

    def _request(self, method: str, target: str, body: Any = None, wait_ms: int = 0) -> Any:
        """Send a request once and return its response; it is not retried if that is lost."""
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        headers = [("Host", str(self.address))]
        if body is not None:
            headers.append(("Content-Type", "application/json"))
        connection: Connection | None = None
        try:
            connection = self.pool.take(self.address, PEER, CONNECT_TIMEOUT_MS)
            connection.send(method, target, headers, data, RESPONSE_TIMEOUT_MS)
            head = connection.read_head(RESPONSE_TIMEOUT_MS + wait_ms)
            text = connection.read_body(RESPONSE_TIMEOUT_MS)
            self.pool.give_back(connection, PEER, head)
            connection = None
            return _Reply(head.status, _json_or_none(text))
        except ExchangeError as error:
            return _NoReply(error.reason, error.sent)
        finally:
            if connection is not None:
                connection.close()


def _json_or_none(text: bytes) -> Any:
    try:
        return load_tolerantly(text)
    except MALFORMED:
        # The status may be enough; a caller that needs the fields reports them as malformed.
        return None


def _parse_result(read: Any) -> Any:
    try:
        return Success(read())
    except MALFORMED as error:
        return Failure(StoreUnavailable(f"malformed answer: {error!r}"))


def _wire_name(name: str) -> str:
    return name.replace("/", "~")


def _kind(key: str) -> str:
    return key.partition("/")[0]


def _object_path(key: str) -> str:
    kind, _, name = key.partition("/")
    return f"{OBJECTS_PATH}{quote(kind)}/{quote(_wire_name(name), safe='')}"


def _parse_object(kind: str, fields: Any) -> StoredObject:
    metadata = fields["metadata"]
    name = str(metadata["name"]).replace("~", "/")
    return StoredObject(f"{kind}/{name}", int(metadata["revision"]), dump_value(fields.get("spec")))


def _parse_entry(kind: str, fields: Any) -> StoredObject | None:
    """Decode one object of several; None if it can't even be named."""
    try:
        return _parse_object(kind, fields)
    except MALFORMED as error:
        logger("objects").warning("object without name", kind=kind, error=describe(error))
        return None


def _parse_change(kind: str, event: Any) -> Change | None:
    stored = _parse_entry(kind, event["object"])
    if stored is None:
        return None
    return Change(stored.key, stored.version, None if event["removed"] else stored.value)
