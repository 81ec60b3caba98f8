"""Reasons to end the work on a request before its client has received a response."""

from __future__ import annotations

import gevent

from ..client_socket import ClientSocket


class ClientDisconnectedError(gevent.GreenletExit):
    """Raised in a worker greenlet when its client has disconnected."""


class DrainEndedError(gevent.GreenletExit):
    """Raised in a worker greenlet whose process is about to end."""


def raise_on_disconnect(client: ClientSocket) -> None:
    """Raise ``ClientDisconnectedError`` in the calling greenlet once its client disconnects.

    This lasts until the watch of the client's socket ends.
    """
    worker = gevent.getcurrent()
    client.watch(lambda: worker.throw(ClientDisconnectedError))
