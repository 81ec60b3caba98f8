"""Stand-in for the object API: its HTTP protocol, with call counters and fault switches.

``GET /counters`` returns the number of calls by kind. ``GET /faults`` and ``PUT /faults`` read and
set the switches ``outage``, ``slow_ms``, ``lose_answers`` (no response to the next N writes, which
take effect) and ``lose_writes`` (the same without their effect). These requests are neither counted
nor subject to the faults.
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
from ..http_server import NoDelayServer
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
class Response:
    """A response before it is sent; ``version`` becomes its ETag."""

    status: int
    body: bytes = b""
    version: int | None = None
    content_type: str = "application/octet-stream"


class BadRequestError(Exception):
    """Raised for a request that violates the protocol."""


@attrs.define
class ObjectStoreApp:
    """Serve a ``MemoryStore`` as a WSGI application."""

    store: MemoryStore = attrs.field(factory=MemoryStore)
    slow_ms: int = 0

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request."""
        try:
            response = self._dispatch(environ)
        except (BadRequestError, ValueError) as error:
            response = Response(
                HTTPStatus.BAD_REQUEST, str(error).encode(), content_type="text/plain"
            )
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        if response.version is not None:
            headers.append(("ETag", f'"{response.version}"'))
        start_response(f"{int(response.status)} {HTTPStatus(response.status).phrase}", headers)
        return [response.body]

    def _dispatch(self, environ: Environ) -> Response:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"].encode("latin-1").decode()
        if path == "/faults":
            return self._handle_faults(method, environ)
        if path == "/counters":
            return _json_response(dict(self.store.calls))
        # The delay precedes the effect, so a write takes effect even after its client timed out.
        gevent.sleep(self.slow_ms / MS_PER_SECOND)
        if path == "/watch":
            return self._watch(environ)
        if path == "/objects":
            return self._list(environ)
        if not path.startswith("/objects/"):
            return Response(HTTPStatus.NOT_FOUND)
        return self._object(method, path.removeprefix("/objects/"), environ)

    def _object(self, method: str, key: str, environ: Environ) -> Response:
        if method == "GET":
            return _to_response(self.store.get(key), _object_response)
        if method == "PUT":
            written = self.store.put(key, _read_body(environ), _expected_version(environ))
            return _to_response(
                written, lambda stored: Response(HTTPStatus.OK, version=stored.version)
            )
        if method == "DELETE":
            version = _expected_version(environ)
            if version is None:
                raise BadRequestError("DELETE needs If-Match")
            deleted = self.store.delete(key, version)
            return _to_response(deleted, lambda _none: Response(HTTPStatus.OK))
        return Response(HTTPStatus.METHOD_NOT_ALLOWED)

    def _list(self, environ: Environ) -> Response:
        listed = self.store.snapshot(_query_parameters(environ).get("prefix", ""))
        return _to_response(
            listed,
            lambda found: _json_response(
                {
                    "revision": found.revision,
                    "objects": [_encode_item(each) for each in found.objects],
                }
            ),
        )

    def _watch(self, environ: Environ) -> Response:
        query = _query_parameters(environ)
        timeout_ms = min(int(query.get("timeout_ms", "0")), MAX_WATCH_MS)
        batch = self.store.watch(query.get("prefix", ""), int(query.get("since", "0")), timeout_ms)
        return _to_response(
            batch,
            lambda seen: _json_response(
                {
                    "revision": seen.revision,
                    "changes": [_encode_item(each) for each in seen.changes],
                }
            ),
        )

    def _handle_faults(self, method: str, environ: Environ) -> Response:
        faults = self.store.faults
        if method == "PUT":
            switches = json.loads(_read_body(environ))
            self.slow_ms = int(switches.get("slow_ms", self.slow_ms))
            faults.lose_answers = int(switches.get("lose_answers", faults.lose_answers))
            faults.lose_writes = int(switches.get("lose_writes", faults.lose_writes))
            self.store.set_outage(bool(switches.get("outage", faults.outage)))
        return _json_response({**attrs.asdict(faults), "slow_ms": self.slow_ms})


def _to_response(result: Result[T, StoreError], build: Callable[[T], Response]) -> Response:
    if isinstance(result, Success):
        return build(result.unwrap())
    return error_response(result.failure())


@singledispatch
def error_response(error: StoreError) -> Response:
    """Return the response for a store error."""
    raise TypeError(f"no response for {error!r}")


@error_response.register
def _(error: StoreUnavailable) -> Response:
    return Response(
        HTTPStatus.SERVICE_UNAVAILABLE, error.reason.encode(), content_type="text/plain"
    )


@error_response.register
def _(error: VersionConflict) -> Response:
    return Response(HTTPStatus.PRECONDITION_FAILED)


@error_response.register
def _(error: WatchExpired) -> Response:
    return Response(HTTPStatus.GONE)


@error_response.register
def _(error: StoreRejected) -> Response:
    return Response(error.status, error.reason.encode(), content_type="text/plain")


@error_response.register
def _(error: WriteAmbiguous) -> Response:
    # On this error gevent's WSGI server closes the connection without a response.
    raise ConnectionResetError(errno.ECONNRESET, error.reason)


def _object_response(found: StoredObject | None) -> Response:
    if found is None:
        return Response(HTTPStatus.NOT_FOUND)
    return Response(HTTPStatus.OK, found.value, version=found.version)


def _json_response(fields: dict[str, Any]) -> Response:
    return Response(HTTPStatus.OK, json.dumps(fields).encode(), content_type="application/json")


def _encode_item(each: StoredObject | Change) -> dict[str, Any]:
    value = None if each.value is None else base64.b64encode(each.value).decode()
    return {"key": each.key, "version": each.version, "value": value}


def _query_parameters(environ: Environ) -> dict[str, str]:
    return {name: values[-1] for name, values in parse_qs(environ["QUERY_STRING"]).items()}


def _read_body(environ: Environ) -> bytes:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    # One byte more than the limit is enough for the store to reject the value.
    body: bytes = environ["wsgi.input"].read(min(length, MAX_VALUE_BYTES + 1))
    if len(body) < min(length, MAX_VALUE_BYTES + 1):
        raise BadRequestError("the body is shorter than its Content-Length")
    return body


def _expected_version(environ: Environ) -> int | None:
    if environ.get("HTTP_IF_NONE_MATCH") == "*":
        return None
    match = environ.get("HTTP_IF_MATCH", "")
    if not match:
        raise BadRequestError("a write needs If-Match or If-None-Match: *")
    return int(match.strip('"'))


def serve(app: ObjectStoreApp, host: str = "127.0.0.1", port: int = 0) -> WSGIServer:
    """Start a server in the background; port 0 selects a free port, see ``server_port``."""
    server = NoDelayServer((host, port), app, log=None)
    server.start()
    return server
