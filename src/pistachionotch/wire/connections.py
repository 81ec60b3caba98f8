"""Websocket connections that close their sockets in an order that gevent allows."""

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

# Pause after a failed accept, such as one without a free descriptor.
ACCEPT_RETRY_S = 0.1

DATA_OPCODES = frozenset({Opcode.TEXT, Opcode.BINARY, Opcode.CONT})


class DeferredSocketClose(Connection):
    """Close the socket only after the reader has stopped watching it.

    The library closes the socket while its reader still has it in a selector, or is about to select
    again. The event loop below gevent then finds a closed descriptor and aborts the process.
    """

    # Takes each data frame in the reader's task; ``recv`` would need a second task and locks, which
    # took 4 % of the processor time of an idle entry.
    on_data_frame: Callable[[bytes | str], None] | None = None

    def recv_events(self) -> None:
        """Read until the end, then close the socket."""
        try:
            super().recv_events()
        finally:
            super().close_socket()

    def process_event(self, event: Event) -> None:
        """Hand a message over, or drop it if it arrives after the close."""
        if (
            self.on_data_frame is not None
            and isinstance(event, Frame)
            and event.opcode in DATA_OPCODES
        ):
            # Peers send a message as one binary frame; an empty text stands for anything else.
            is_complete = event.opcode is Opcode.BINARY and event.fin
            self.on_data_frame(bytes(event.data) if is_complete else "")
            return
        with contextlib.suppress(EOFError):
            super().process_event(event)

    def close_socket(self) -> None:
        """End the connection in both directions, which makes the reader stop and close it."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        # A reader that waits for its messages to be taken would never see the end.
        self.recv_messages.close()


class DeferredCloseClientConnection(DeferredSocketClose, ClientConnection):
    """Connect in the order that gevent allows."""


class DeferredCloseServerConnection(DeferredSocketClose, ServerConnection):
    """Accept in the order that gevent allows."""


@attrs.define
class BlockingAcceptServer:
    """Accept connections without a selector.

    The library's own loop never closes its selector, which leaves a watcher on a closed descriptor
    when the server stops, and ends for good when one accept fails.
    """

    server: Server
    log: Any
    socket: Any = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.socket = self.server.socket

    def serve_forever(self) -> None:
        """Accept until ``shutdown`` closes the socket."""
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
        """Accept no more, close the connections and wait for their handlers."""
        self.server.shutdown()
