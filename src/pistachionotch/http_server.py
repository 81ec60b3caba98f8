"""WSGI server used by the daemons and the stand-ins."""

from __future__ import annotations

import socket
from typing import Any

from gevent.pywsgi import WSGIServer


class NoDelayServer(WSGIServer):  # type: ignore[misc, unused-ignore]
    """A WSGI server that disables Nagle's algorithm on its connections.

    gevent sends headers and body separately. On a persistent connection Nagle's algorithm delays
    the body until the client's delayed acknowledgement, so that a read took 44 ms.
    """

    # Whether each connection is closed after its current response.
    closing = False

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)

    def stop_listening(self) -> None:
        """Accept the connections in the listen queue, then close the listening socket.

        While the socket is open, the kernel accepts connections even if the server does not take
        them; it resets them together with their requests when the server exits.
        """
        self.closing = True
        self.stop_accepting()
        while (accepted := self.do_read()) is not None:
            self.do_handle(*accepted)
        self.close()
