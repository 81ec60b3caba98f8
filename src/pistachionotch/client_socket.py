"""Sockets of clients, and the watch that notices that a client has disconnected."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from typing import Any

import attrs
import gevent

# Event of the loop's watchers: the descriptor can be read.
_READABLE = 1


@attrs.define(eq=False)
class ClientSocket:
    """The socket of one client, and the only watch on it.

    The task that serves the client closes the socket; others only shut it down. libev aborts the
    process if it finds a watch on a closed descriptor, and the HTTP server closes the descriptor
    without ending gevent's waits for it. So the watch has to be over before: ``end_watch`` takes
    effect at once, while a greenlet that waits would end only in a later round of the event loop.
    """

    sock: Any
    _events: Any = attrs.field(init=False, default=None)

    def watch(self, disconnected: Callable[[], None]) -> None:
        """Call back in the event loop, at most once, when the client disconnects.

        The watch ends with the callback, with ``end_watch``, or when the client sends more data,
        which is left unread.
        """
        self.end_watch()
        self._events = gevent.get_hub().loop.io(self.sock.fileno(), _READABLE)
        self._events.start(self._check, disconnected)

    def end_watch(self) -> None:
        """End the watch, if there is one."""
        events, self._events = self._events, None
        if events is not None:
            events.stop()
            events.close()

    def _check(self, disconnected: Callable[[], None]) -> None:
        self.end_watch()
        if self._is_at_end():
            disconnected()

    def _is_at_end(self) -> bool:
        timeout = self.sock.gettimeout()
        self.sock.settimeout(0)
        try:
            # Peek only: a pipelined request must stay in the buffer until this one is answered.
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.sock.settimeout(timeout)

    def stop_receiving(self) -> None:
        """Let a read of the client's data find its end."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def discard_unsent(self) -> None:
        """Let the close of the socket discard what its client has not taken.

        Otherwise the system keeps these bytes for minutes after the connection was closed.
        """
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def cut(self) -> None:
        """Discard unsent data and end the waits for the client."""
        self.discard_unsent()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
