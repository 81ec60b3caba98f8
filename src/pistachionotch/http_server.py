"""WSGI server of the daemons and stand-ins."""

from __future__ import annotations

import socket
from typing import Any

from gevent.pywsgi import WSGIServer


class NoDelayServer(WSGIServer):  # type: ignore[misc, unused-ignore]
    """Send each part of a response at once.

    gevent sends headers and body separately; on a kept connection Nagle's algorithm then holds the
    body back until the client's delayed acknowledgement, which made a read take 44 ms.
    """

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)

    def stop_listening(self) -> None:
        """Take the connections that wait in the listen queue, and let nobody connect any more.

        The system accepts connections on behalf of a server that has only stopped to take them, and
        resets them with the requests that they bring when the server ends.
        """
        self.stop_accepting()
        while (accepted := self.do_read()) is not None:
            self.do_handle(*accepted)
        self.close()
