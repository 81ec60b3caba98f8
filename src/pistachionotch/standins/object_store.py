"""Object API stand-in: the published protocol over HTTP, with counters and fault switches.

``GET /counters`` gives the calls by kind; ``GET /faults`` and ``PUT /faults`` read and set the
switches ``outage``, ``slow_ms``, ``lose_answers`` and ``lose_writes`` (the next N writes, after or
before their effect). Neither is counted or subject to the faults.
"""

from __future__ import annotations

import base64
import errno
import json
from collections.abc import Callable, Iterable
from functools import singledispatch
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import parse_qs

import attrs
import gevent
from gevent.pywsgi import WSGIServer
from returns.result import Result, Success

from ..clock import MS_PER_SECOND
from ..http_server import PromptServer
from ..objects.api import (
    MAX_VALUE_BYTES,
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

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
T = TypeVar("T")
MAX_WATCH_MS = 60_000


@attrs.frozen
class Answer:
    """Hold one response."""

    status: int
    body: bytes = b""
    version: int | None = None
    content_type: str = "application/octet-stream"


class BadRequestError(Exception):
    """Report a request that the protocol does not allow."""


@attrs.define
class ObjectStoreApp:
    """Serve a ``MemoryStore`` as a WSGI application."""

    store: MemoryStore = attrs.field(factory=MemoryStore)
    slow_ms: int = 0

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        try:
            answer = self._answer(environ)
        except (BadRequestError, ValueError) as error:
            answer = Answer(HTTPStatus.BAD_REQUEST, str(error).encode(), content_type="text/plain")
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
        ]
        if answer.version is not None:
            headers.append(("ETag", f'"{answer.version}"'))
        start_response(f"{int(answer.status)} {HTTPStatus(answer.status).phrase}", headers)
        return [answer.body]

    def _answer(self, environ: Environ) -> Answer:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"].encode("latin-1").decode()
        if path == "/faults":
            return self._faults(method, environ)
        if path == "/counters":
            return _json_answer(dict(self.store.calls))
        # The delay comes before the effect, so a write whose client gave up takes effect later.
        gevent.sleep(self.slow_ms / MS_PER_SECOND)
        if path == "/watch":
            return self._watch(environ)
        if path == "/objects":
            return self._list(environ)
        if not path.startswith("/objects/"):
            return Answer(HTTPStatus.NOT_FOUND)
        return self._object(method, path.removeprefix("/objects/"), environ)

    def _object(self, method: str, key: str, environ: Environ) -> Answer:
        if method == "GET":
            return _respond(self.store.get(key), _object_answer)
        if method == "PUT":
            written = self.store.put(key, _body(environ), _condition(environ))
            return _respond(written, lambda stored: Answer(HTTPStatus.OK, version=stored.version))
        if method == "DELETE":
            version = _condition(environ)
            if version is None:
                raise BadRequestError("DELETE needs If-Match")
            deleted = self.store.delete(key, version)
            return _respond(deleted, lambda _none: Answer(HTTPStatus.OK))
        return Answer(HTTPStatus.METHOD_NOT_ALLOWED)

    def _list(self, environ: Environ) -> Answer:
        listed = self.store.snapshot(_query(environ).get("prefix", ""))
        return _respond(
            listed,
            lambda found: _json_answer(
                {"revision": found.revision, "objects": [_item(each) for each in found.objects]}
            ),
        )

    def _watch(self, environ: Environ) -> Answer:
        query = _query(environ)
        timeout_ms = min(int(query.get("timeout_ms", "0")), MAX_WATCH_MS)
        batch = self.store.watch(query.get("prefix", ""), int(query.get("since", "0")), timeout_ms)
        return _respond(
            batch,
            lambda seen: _json_answer(
                {"revision": seen.revision, "changes": [_item(each) for each in seen.changes]}
            ),
        )

    def _faults(self, method: str, environ: Environ) -> Answer:
        faults = self.store.faults
        if method == "PUT":
            wanted = json.loads(_body(environ))
            self.slow_ms = int(wanted.get("slow_ms", self.slow_ms))
            faults.lose_answers = int(wanted.get("lose_answers", faults.lose_answers))
            faults.lose_writes = int(wanted.get("lose_writes", faults.lose_writes))
            self.store.set_outage(bool(wanted.get("outage", faults.outage)))
        return _json_answer({**attrs.asdict(faults), "slow_ms": self.slow_ms})


def _respond(result: Result[T, StoreError], build: Callable[[T], Answer]) -> Answer:
    if isinstance(result, Success):
        return build(result.unwrap())
    return error_answer(result.failure())


@singledispatch
def error_answer(error: StoreError) -> Answer:
    """Return the response for a store error."""
    raise TypeError(f"no response for {error!r}")


@error_answer.register
def _(error: StoreUnavailable) -> Answer:
    return Answer(HTTPStatus.SERVICE_UNAVAILABLE, error.reason.encode(), content_type="text/plain")


@error_answer.register
def _(error: VersionConflict) -> Answer:
    return Answer(HTTPStatus.PRECONDITION_FAILED)


@error_answer.register
def _(error: WatchExpired) -> Answer:
    return Answer(HTTPStatus.GONE)


@error_answer.register
def _(error: StoreRejected) -> Answer:
    return Answer(error.status, error.reason.encode(), content_type="text/plain")


@error_answer.register
def _(error: WriteAmbiguous) -> Answer:
    # gevent's WSGI server closes the connection without an answer on this error.
    raise ConnectionResetError(errno.ECONNRESET, error.reason)


def _object_answer(found: StoredObject | None) -> Answer:
    if found is None:
        return Answer(HTTPStatus.NOT_FOUND)
    return Answer(HTTPStatus.OK, found.value, version=found.version)


def _json_answer(fields: dict[str, Any]) -> Answer:
    return Answer(HTTPStatus.OK, json.dumps(fields).encode(), content_type="application/json")


def _item(each: StoredObject | Change) -> dict[str, Any]:
    value = None if each.value is None else base64.b64encode(each.value).decode()
    return {"key": each.key, "version": each.version, "value": value}


def _query(environ: Environ) -> dict[str, str]:
    return {name: values[-1] for name, values in parse_qs(environ["QUERY_STRING"]).items()}


def _body(environ: Environ) -> bytes:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    # One byte above the limit is enough for the store to reject the value.
    body: bytes = environ["wsgi.input"].read(min(length, MAX_VALUE_BYTES + 1))
    if len(body) < min(length, MAX_VALUE_BYTES + 1):
        raise BadRequestError("the body is shorter than its Content-Length")
    return body


def _condition(environ: Environ) -> int | None:
    if environ.get("HTTP_IF_NONE_MATCH") == "*":
        return None
    match = environ.get("HTTP_IF_MATCH", "")
    if not match:
        raise BadRequestError("a write needs If-Match or If-None-Match: *")
    return int(match.strip('"'))


def serve(app: ObjectStoreApp, host: str = "127.0.0.1", port: int = 0) -> WSGIServer:
    """Start serving in the background; the server's ``server_port`` tells the port."""
    server = PromptServer((host, port), app, log=None)
    server.start()
    return server
