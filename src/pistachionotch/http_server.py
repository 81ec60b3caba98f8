"""WSGI server of the daemons and stand-ins."""

from __future__ import annotations

import socket
from typing import Any

from gevent.pywsgi import WSGIServer


class PromptServer(WSGIServer):  # type: ignore[misc, unused-ignore]
    """Send each part of a response at once.

    gevent sends headers and body separately; on a kept connection Nagle's algorithm then holds the
    body back until the client's delayed acknowledgement, which made a read take 44 ms.
    """

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)
