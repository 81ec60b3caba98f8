"""Reasons to end the work on a request before its client has received a response."""

from __future__ import annotations

import socket
from typing import Any

import gevent
from gevent.socket import wait_read


class ClientDisconnectedError(gevent.GreenletExit):
    """Raised in a worker greenlet when its client has disconnected."""


class DrainEndedError(gevent.GreenletExit):
    """Raised in a worker greenlet whose process is about to end."""


def watch_for_disconnect(sock: Any) -> gevent.Greenlet:
    """Raise ``ClientDisconnectedError`` in the calling greenlet once its client disconnects."""
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
