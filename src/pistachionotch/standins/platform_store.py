"""Stand-in for the platform's metadata store, written from its published protocol.

``PUT /faults`` sets the switches ``outage``, ``busy_peers`` (addresses that get status 503),
``slow_ms``, ``lose_answers`` (no response to the next N writes, which take effect), ``lose_writes``
(the same without their effect), ``hold_owner`` (answer late to new objects that name this node as
their owner) and ``forget`` (discard the history of changes now). ``GET /calls``
returns the number of calls by kind.
"""

from __future__ import annotations

import errno
import json
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import attrs
import gevent
from returns.result import Failure, Result

from ..clock import MS_PER_SECOND
from ..objects.api import (
    Change,
    StoredObject,
    StoreError,
    StoreRejected,
    StoreUnavailable,
    VersionConflict,
    WatchExpired,
    WriteAmbiguous,
)
from ..objects.memory import MemoryStore
from .http import Environ, StartResponse, read_body, respond_json

OBJECTS_PATH = "/api/objects/"
DEFAULT_PAGE_SIZE = 500
MAX_WAIT_MS = 30_000
# Delay of the answers of which ``hold_owner`` speaks.
HELD_ANSWER_MS = 1_000


@attrs.define
class PlatformStoreStandIn:
    """Serve a ``MemoryStore`` with the paths and the JSON of the platform's store."""

    store: MemoryStore = attrs.field(factory=MemoryStore)
    slow_ms: int = 0
    busy_peers: set[str] = attrs.field(factory=set)
    page_size: int = DEFAULT_PAGE_SIZE
    held_owner: str = ""

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == "/faults":
            return respond_json(
                start_response, 200, self._set_faults(json.loads(read_body(environ)))
            )
        if path == "/calls":
            return respond_json(start_response, 200, dict(self.store.calls))
        if environ["REMOTE_ADDR"] in self.busy_peers:
            return respond_json(start_response, HTTPStatus.SERVICE_UNAVAILABLE, None)
        gevent.sleep(self.slow_ms / MS_PER_SECOND)
        status, fields = self._dispatch(method, path, environ)
        return respond_json(start_response, status, fields)

    def _set_faults(self, switches: dict[str, Any]) -> dict[str, Any]:
        faults = self.store.faults
        self.slow_ms = int(switches.get("slow_ms", self.slow_ms))
        self.busy_peers = set(switches.get("busy_peers", self.busy_peers))
        faults.lose_answers = int(switches.get("lose_answers", faults.lose_answers))
        faults.lose_writes = int(switches.get("lose_writes", faults.lose_writes))
        self.held_owner = str(switches.get("hold_owner", self.held_owner))
        if switches.get("forget"):
            self.store.history.clear()
            self.store.discarded_revision = self.store.revision
        self.store.set_outage(bool(switches.get("outage", faults.outage)))
        return attrs.asdict(faults)

    def _dispatch(self, method: str, path: str, environ: Environ) -> tuple[int, Any]:
        if not path.startswith(OBJECTS_PATH):
            return HTTPStatus.NOT_FOUND, None
        kind, _, name = path.removeprefix(OBJECTS_PATH).partition("/")
        query = {key: values[0] for key, values in parse_qs(environ["QUERY_STRING"]).items()}
        if method == "GET" and "watch" in query:
            return self._watch(kind, query)
        if method == "GET" and not name:
            return self._list(kind, query)
        if method == "GET":
            return self._get(f"{kind}/{name}")
        if method == "DELETE":
            return self._delete(f"{kind}/{name}", query)
        body = json.loads(read_body(environ))
        if method == "POST" and not name:
            return self._create(kind, body)
        if method == "PUT" and name.endswith("/status"):
            return self._put_status(f"{kind}/{name.removesuffix('/status')}", body)
        if method == "PUT":
            return self._replace(f"{kind}/{name}", body)
        return HTTPStatus.METHOD_NOT_ALLOWED, None

    def _get(self, key: str) -> tuple[int, Any]:
        read = self.store.get(key)
        if isinstance(read, Failure):
            return _error_response(read.failure())
        stored = read.unwrap()
        if stored is None:
            return HTTPStatus.NOT_FOUND, None
        return HTTPStatus.OK, _encode_object(stored)

    def _list(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        listed = self.store.snapshot(f"{kind}/")
        if isinstance(listed, Failure):
            return _error_response(listed.failure())
        after = f"{kind}/{query.get('after', '')}"
        objects = [stored for stored in listed.unwrap().objects if stored.key > after]
        page = objects[: self.page_size]
        return HTTPStatus.OK, {
            "items": [_encode_object(stored) for stored in page],
            "has_more": len(objects) > len(page),
            "current_rev": listed.unwrap().revision,
        }

    def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        wait_ms = min(int(query.get("wait_ms", "0")), MAX_WAIT_MS)
        batch = self.store.watch(f"{kind}/", int(query["watch"]), wait_ms)
        if isinstance(batch, Failure):
            return _error_response(batch.failure())
        return HTTPStatus.OK, {
            "events": [_encode_event(change) for change in batch.unwrap().changes],
            "current_rev": batch.unwrap().revision,
        }

    def _create(self, kind: str, body: dict[str, Any]) -> tuple[int, Any]:
        key = f"{kind}/{body['metadata']['name']}"
        spec = body.get("spec") or {}
        written = self.store.put(key, _encode_value(body.get("spec"), None), None)
        if self.held_owner and (spec.get("owner") or {}).get("node") == self.held_owner:
            gevent.sleep(HELD_ANSWER_MS / MS_PER_SECOND)
        return self._write_response(key, written)

    def _replace(self, key: str, body: dict[str, Any]) -> tuple[int, Any]:
        current = self.store.objects.get(key)
        if current is None:
            return HTTPStatus.NOT_FOUND, None
        status = json.loads(current.value)["status"]
        version = body["metadata"].get("revision", current.version)
        written = self.store.put(key, _encode_value(body.get("spec"), status), version)
        return self._write_response(key, written)

    def _put_status(self, key: str, body: dict[str, Any]) -> tuple[int, Any]:
        current = self.store.objects.get(key)
        if current is None:
            return HTTPStatus.NOT_FOUND, None
        value = _encode_value(json.loads(current.value)["spec"], body.get("status"))
        if value == current.value:
            return HTTPStatus.OK, _encode_object(current)
        return self._write_response(key, self.store.put(key, value, current.version))

    def _delete(self, key: str, query: dict[str, str]) -> tuple[int, Any]:
        current = self.store.objects.get(key)
        if current is None:
            return HTTPStatus.NOT_FOUND, None
        version = int(query.get("revision", current.version))
        deleted = self.store.delete(key, version)
        if isinstance(deleted, Failure):
            return _error_response(deleted.failure())
        return HTTPStatus.OK, _encode_object(current)

    def _write_response(
        self, key: str, written: Result[StoredObject, StoreError]
    ) -> tuple[int, Any]:
        if isinstance(written, Failure):
            return _error_response(written.failure())
        return HTTPStatus.OK, _encode_object(written.unwrap())


def _encode_value(spec: Any, status: Any) -> bytes:
    return json.dumps({"spec": spec, "status": status}).encode()


def _encode_object(stored: StoredObject) -> dict[str, Any]:
    name = stored.key.partition("/")[2]
    metadata = {"name": name, "revision": stored.version, "finalizers": [], "deleting": False}
    return {"metadata": metadata, **json.loads(stored.value)}


def _encode_event(change: Change) -> dict[str, Any]:
    value = change.value or _encode_value(None, None)
    stored = StoredObject(change.key, change.version, value)
    return {"removed": change.value is None, "object": _encode_object(stored)}


def _error_response(error: StoreError) -> tuple[int, Any]:
    match error:
        case VersionConflict(current=current):
            return HTTPStatus.CONFLICT, None if current is None else _encode_object(current)
        case WatchExpired():
            return HTTPStatus.GONE, None
        case StoreUnavailable():
            return HTTPStatus.SERVICE_UNAVAILABLE, None
        case StoreRejected(status=status):
            return status, None
        case WriteAmbiguous():
            # On this error the WSGI server closes the connection without a response.
            raise ConnectionResetError(errno.ECONNRESET, "stand-in loses the answer")
