"""Notice of clients that close their connection before they have an answer."""

from __future__ import annotations

import socket
from typing import Any

import gevent
from gevent.socket import wait_read


class ClientDisconnectedError(gevent.GreenletExit):
    """Break off the work for a client that has left."""


def watch_for_disconnect(sock: Any) -> gevent.Greenlet:
    """Raise ``ClientGoneError`` in the calling greenlet when the client closes its connection."""
    return gevent.spawn(_watch, sock, gevent.getcurrent())


def _watch(sock: Any, worker: Any) -> None:
    try:
        wait_read(sock.fileno())
        # A further request that arrives early is read after this one's answer.
        closed = not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        closed = True
    if closed:
        gevent.kill(worker, ClientDisconnectedError)
