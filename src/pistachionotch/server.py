"""HTTP server of a daemon, with limits on slow and silent clients."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler

from .http_server import NoDelayServer

# Further connections wait in the listen queue. An entry has a few hundred open requests at peak.
MAX_CONNECTIONS = 1024
# Limit on waiting for the next request line, and for the client to receive sent data.
IDLE_TIMEOUT_S = 30.0
HEADER_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
# Keys of the WSGI environment.
RAW_TARGET = "pistachionotch.target"
RAW_HEADERS = "pistachionotch.headers"
CLIENT_SOCKET = "pistachionotch.socket"


@contextmanager
def time_limit(seconds: float) -> Iterator[None]:
    """Raise ``TimeoutError`` unless the block finishes in time, even if data keeps arriving."""
    with gevent.Timeout(seconds, TimeoutError("the client is too slow")):
        yield


class TimeoutHandler(WSGIHandler):  # type: ignore[misc, unused-ignore]
    """A connection handler with a timeout on each wait for the client."""

    def __init__(self, sock: socket.socket, *arguments: Any) -> None:
        sock.settimeout(IDLE_TIMEOUT_S)
        super().__init__(sock, *arguments)

    def read_requestline(self) -> Any:
        """Wait for the next request on this connection."""
        with time_limit(IDLE_TIMEOUT_S):
            return super().read_requestline()

    def read_request(self, raw_requestline: str) -> Any:
        """Read the headers."""
        with time_limit(HEADER_TIMEOUT_S):
            return super().read_request(raw_requestline)

    def get_environ(self) -> dict[str, Any]:
        """Add the unmodified target and headers, for forwarding, and the client's socket."""
        environ: dict[str, Any] = super().get_environ()
        environ[RAW_TARGET] = self.path
        environ[RAW_HEADERS] = tuple(self.headers.items())
        environ[CLIENT_SOCKET] = self.socket
        return environ


def make_server(host: str, port: int, application: Any) -> NoDelayServer:
    """Return a server that limits its connections and the waits for clients."""
    return NoDelayServer(
        (host, port),
        application,
        spawn=Pool(MAX_CONNECTIONS),
        handler_class=TimeoutHandler,
        log=None,
    )
