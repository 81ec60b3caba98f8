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

# Further connections wait in the listen queue. At peak an entry has a few hundred requests open.
MAX_CONNECTIONS = 1024
# Longest wait for the first line of the next request, and for the client to take what is sent.
IDLE_TIMEOUT_S = 30.0
HEADER_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
# Keys of the WSGI environment.
RAW_TARGET = "pistachionotch.target"
RAW_HEADERS = "pistachionotch.headers"
CLIENT_SOCKET = "pistachionotch.socket"


@contextmanager
def time_limit(seconds: float) -> Iterator[None]:
    """Raise ``TimeoutError`` unless the block ends in time, however its bytes trickle in."""
    with gevent.Timeout(seconds, TimeoutError("the client is too slow")):
        yield


class BoundedHandler(WSGIHandler):  # type: ignore[misc, unused-ignore]
    """Serve one connection with a limit on each wait for its client."""

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
        """Add what a forwarding application needs as the client sent it, and the socket."""
        environ: dict[str, Any] = super().get_environ()
        environ[RAW_TARGET] = self.path
        environ[RAW_HEADERS] = tuple(self.headers.items())
        environ[CLIENT_SOCKET] = self.socket
        return environ


def make_server(host: str, port: int, application: Any) -> NoDelayServer:
    """Return a server with these limits."""
    return NoDelayServer(
        (host, port),
        application,
        spawn=Pool(MAX_CONNECTIONS),
        handler_class=BoundedHandler,
        log=None,
    )
