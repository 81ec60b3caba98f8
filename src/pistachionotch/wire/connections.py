"""WebSocket connections and a server that close their sockets safely under gevent."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

import attrs
from websockets.frames import Frame, Opcode
from websockets.protocol import Event
from websockets.sync.client import ClientConnection
from websockets.sync.connection import Connection
from websockets.sync.server import Server, ServerConnection

# Pause after a failed accept, for example when no file descriptor is free.
ACCEPT_RETRY_S = 0.1

DATA_OPCODES = frozenset({Opcode.TEXT, Opcode.BINARY, Opcode.CONT})


class DeferredSocketClose(Connection):
    """Connection mixin that closes the socket only after the reader has stopped using it.

    The library closes the socket while its reader still has it in a selector, or is about to select
    again. gevent's event loop then finds a closed file descriptor and aborts the process.
    """

    # Callback that receives each data frame in the reader's task. Calling ``recv`` instead requires
    # a second task and locks, which took 4 % of the CPU time of an idle entry.
    on_data_frame: Callable[[bytes | str], None] | None = None

    def recv_events(self) -> None:
        """Read until the connection ends, then close the socket."""
        try:
            super().recv_events()
        finally:
            super().close_socket()

    def process_event(self, event: Event) -> None:
        """Pass on a message, or drop it if it arrives after the connection was closed."""
        if (
            self.on_data_frame is not None
            and isinstance(event, Frame)
            and event.opcode in DATA_OPCODES
        ):
            # Each message is one binary frame; any other frame is passed on as an empty string,
            # which the codec rejects.
            is_complete = event.opcode is Opcode.BINARY and event.fin
            self.on_data_frame(bytes(event.data) if is_complete else "")
            return
        with contextlib.suppress(EOFError):
            super().process_event(event)

    def close_socket(self) -> None:
        """Shut down the connection in both directions, so that the reader ends and closes it."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        # A reader that is blocked until its messages are consumed would never see the shutdown.
        self.recv_messages.close()


class DeferredCloseClientConnection(DeferredSocketClose, ClientConnection):
    """Client connection that defers closing its socket."""


class DeferredCloseServerConnection(DeferredSocketClose, ServerConnection):
    """Server connection that defers closing its socket."""


@attrs.define
class BlockingAcceptServer:
    """Server that accepts connections without a selector.

    The library's accept loop never closes its selector, which leaves a watcher on a closed file
    descriptor when the server stops. It also ends permanently when a single accept fails.
    """

    server: Server
    log: Any
    socket: Any = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.socket = self.server.socket

    def serve_forever(self) -> None:
        """Accept connections until ``shutdown`` closes the socket."""
        try:
            while True:
                try:
                    accepted = self.socket.accept()
                except OSError as error:
                    if self.socket.fileno() < 0:
                        return
                    self.log.warning("accept failed", error=str(error))
                    time.sleep(ACCEPT_RETRY_S)
                    continue
                thread = threading.Thread(target=self.server.handler, args=accepted)
                with self.server.lock:
                    self.server.handler_threads.add(thread)
                thread.start()
        finally:
            self.server.socket_closed.set()
            self.server.shutdown_watcher.close()

    def shutdown(self) -> None:
        """Stop accepting, close the connections and wait for their handlers."""
        self.server.shutdown()
