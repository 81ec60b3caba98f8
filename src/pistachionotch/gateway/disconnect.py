"""Detection of clients that disconnect before they receive a response."""

from __future__ import annotations

import socket
from typing import Any

import gevent
from gevent.socket import wait_read


class ClientDisconnectedError(gevent.GreenletExit):
    """Raised in a worker greenlet when its client has disconnected."""


def watch_for_disconnect(sock: Any) -> gevent.Greenlet:
    """Raise ``ClientGoneError`` in the calling greenlet when the client closes its connection."""
    return gevent.spawn(_watch, sock, gevent.getcurrent())


def _watch(sock: Any, worker: Any) -> None:
    try:
        wait_read(sock.fileno())
        # Peek only: a pipelined request must stay in the buffer until this one is answered.
        closed = not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        closed = True
    if closed:
        gevent.kill(worker, ClientDisconnectedError)
