"""Helpers of the stand-ins: JSON responses and a server for WSGI applications."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from ..http_server import NoDelayServer

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]


def read_body(environ: Environ) -> bytes:
    """Return the request body."""
    return environ["wsgi.input"].read()


def respond_json(
    start_response: StartResponse,
    status: int,
    value: Any,
    more_headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Start a response with a JSON body and return the body."""
    body = json.dumps(value).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    headers.extend(more_headers)
    start_response(f"{status} {HTTPStatus(status).phrase}", headers)
    return [body]


def start_server(application: Application, host: str, port: int) -> WSGIServer:
    """Start a server in the background; port 0 selects a free port.

    When it is stopped, the connections that are still open after the time-out are closed.
    """
    server = NoDelayServer((host, port), application, log=None, error_log=None, spawn=Pool())
    server.start()
    return server
