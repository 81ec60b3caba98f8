"""HTTP server of a daemon, with limits on slow and silent clients."""

from __future__ import annotations

import contextlib
import re
import socket
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPException, LineTooLong
from typing import Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import Input, WSGIHandler, _InvalidClientInput

from .chunk_framing import ChunkedSource
from .client_socket import ClientSocket
from .clock import SystemClock
from .http_server import NoDelayServer
from .limits.connection_table import ConnectionTable, OpenConnection, Stage
from .logs import logger
from .measures import Measures
from .time_slice import TimeSlice

# An entry has a few hundred open requests at peak.
MAX_CONNECTIONS = 1024
# Connections accepted before others run, so that those which make room for them can be closed.
MAX_ACCEPT = 16
# Bytes that the system keeps for a client that does not read. By default it keeps up to 4 MiB for
# each connection, which no budget of this process counts. It doubles the number for its own data.
SEND_BUFFER_BYTES = 128 * 1024
# Bytes that are handed to the system at once, so that it is known how much of an answer is sent.
SEND_PART_BYTES = 64 * 1024
# Bytes that the system keeps of what a client sends before its turn, by default several MiB. With
# the longest round trip on the platform's links, 24 ms, this allows about 10 MB/s by calculation.
RECEIVE_BUFFER_BYTES = 256 * 1024
# Bytes of all header lines of a request; the platform's limit is 16 KiB. Without one, a hundred
# lines of 64 KiB each would be kept.
MAX_HEAD_BYTES = 64 * 1024
# Limit on waiting for the next request line, and for the client to receive sent data.
IDLE_TIMEOUT_S = 30.0
HEADER_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
# Limits on what is read of a body that its request did not need, so that its sender gets the
# response before the connection is closed.
MAX_DISCARDED_BYTES = 1024 * 1024
DISCARD_TIMEOUT_S = 5.0
# Bytes that are read of a chunked body at once. gevent reads the framing byte by byte, and other
# tasks run only in between while data is there; chunks may have a single byte.
CHUNKED_PART_BYTES = 4 * 1024
HEAD_END = b"\r\n\r\n"
# A request line that took less time was there already.
SHORTEST_WAIT_S = 0.0005
# A header without folding, or the end of the head; RFC 9112, section 5.
_HEAD_LINE = re.compile(rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*)?(?:\r?\n)?")
# Keys of the WSGI environment.
RAW_TARGET = "pistachionotch.target"
RAW_HEADERS = "pistachionotch.headers"
CLIENT_SOCKET = "pistachionotch.socket"
CONNECTION = "pistachionotch.connection"
# Sent to a client that gets no connection, before its request has been read.
NO_CONNECTION_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\nConnection: close\r\n"
    b"Content-Length: 0\r\n\r\n"
)


@contextmanager
def time_limit(seconds: float) -> Iterator[None]:
    """Raise ``TimeoutError`` unless the block finishes in time, even if data keeps arriving."""
    with gevent.Timeout(seconds, TimeoutError("the client is too slow")):
        yield


class _BoundedInput(Input):  # type: ignore[misc, unused-ignore]
    """A request body of which only a limited unread rest is discarded."""

    __slots__ = ()

    @property
    def unusable(self) -> bool:
        """Whether no further request can be read from the connection."""
        return bool(self._chunked_input_error)

    def read(self, length: int | None = None) -> bytes:
        """Return up to ``length`` bytes of the body, or all of it.

        Raises ``_InvalidClientInput`` if chunks are malformed or their framing exceeds its limit.
        """
        if not self.chunked_input:
            data: bytes = super().read(length)
            return data
        left = sys.maxsize if length is None or length < 0 else length
        parts = []
        while left > 0 and (part := self._read_part(min(left, CHUNKED_PART_BYTES))):
            parts.append(part)
            left -= len(part)
        return b"".join(parts)

    def _read_part(self, length: int) -> bytes:
        self.rfile.begin_read(length)
        try:
            part: bytes = super().read(length)
        except _InvalidClientInput as error:
            logger("connections").info("malformed chunks", peer=self.rfile.peer, reason=str(error))
            self._chunked_input_error = True  # type: ignore[misc, unused-ignore]
            raise
        self.rfile.content += len(part)
        return part

    def _discard(self) -> None:
        if self.unusable or not (self.chunked_input or self.position < (self.content_length or 0)):
            return
        self.send_100_continue_enabled = False  # type: ignore[misc, unused-ignore]
        left = MAX_DISCARDED_BYTES
        time_slice = TimeSlice()
        try:
            with time_limit(DISCARD_TIMEOUT_S):
                while left > 0:
                    part = self.read(min(left, CHUNKED_PART_BYTES))
                    if not part:
                        return
                    left -= len(part)
                    time_slice.end_if_over()
        except OSError:
            # The sender is slow or gone; its request has had its response.
            left = 0
        self._chunked_input_error = True  # type: ignore[misc, unused-ignore]


class MalformedHeadError(HTTPException):
    """A line of a request's head is no header."""


class _HeadLines:
    """The lines of a request's head, up to a limit on their total size.

    The parser of the headers stops at a line that it cannot read and drops those after it, also the
    one that says where the body ends.
    """

    def __init__(self, source: Any, max_bytes: int) -> None:
        self.source = source
        self.left = max_bytes

    def readline(self, size: int) -> bytes:
        """Return the next line; raises ``LineTooLong`` beyond the limit.

        Raises ``MalformedHeadError`` for a line that is neither a header nor the end of the head.
        """
        line: bytes = self.source.readline(min(size, self.left + 1))
        self.left -= len(line)
        if self.left < 0:
            raise LineTooLong("head")
        if not _HEAD_LINE.fullmatch(line):
            raise MalformedHeadError("malformed header")
        return line


class TimeoutHandler(WSGIHandler):  # type: ignore[misc, unused-ignore]
    """A connection handler with a timeout on each wait for the client."""

    close_connection: bool

    def __init__(self, sock: socket.socket, *arguments: Any) -> None:
        sock.settimeout(IDLE_TIMEOUT_S)
        super().__init__(sock, *arguments)
        self.client: ClientSocket = self.server.clients[sock]
        self.connection: OpenConnection = self.server.records[sock]
        self.time_slice = TimeSlice()
        # Whether the last request was there before the one before it had been answered.
        self.was_ahead = False

    def handle_one_request(self) -> Any:
        """Serve one request; no watch of the socket outlasts it."""
        try:
            return super().handle_one_request()
        finally:
            self.client.end_watch()

    def read_requestline(self) -> Any:
        """Wait for the next request on this connection.

        A client that sends requests ahead is served without a wait, so others get their turn here.
        """
        if self.was_ahead:
            self.time_slice.end_if_over()
        self.connection.enter(Stage.IDLE)
        began = time.monotonic()
        with time_limit(IDLE_TIMEOUT_S):
            line = super().read_requestline()
        self.was_ahead = time.monotonic() - began < SHORTEST_WAIT_S
        if not self.was_ahead:
            self.time_slice.restart()
        return line

    def read_request(self, raw_requestline: str) -> Any:
        """Read the headers; False if they are malformed, which gevent answers with 400."""
        try:
            with time_limit(HEADER_TIMEOUT_S):
                return super().read_request(raw_requestline)
        except HTTPException as error:
            logger("connections").info(
                "malformed head",
                port=self.server.server_port,
                peer=self.connection.peer,
                reason=repr(error),
            )
            return False

    def MessageClass(self, source: Any, *arguments: Any) -> Any:  # noqa: N802
        """Parse the header lines; raises ``HTTPException`` if they are too long or malformed."""
        return super().MessageClass(_HeadLines(source, MAX_HEAD_BYTES), *arguments)

    def get_environ(self) -> dict[str, Any]:
        """Add the unmodified target and headers, for forwarding, and the client's socket."""
        environ: dict[str, Any] = super().get_environ()
        self.wsgi_input.__class__ = _BoundedInput
        if self.wsgi_input.chunked_input:
            self.wsgi_input.rfile = ChunkedSource(self.wsgi_input.rfile, self.connection.peer)
        environ[RAW_TARGET] = self.path
        environ[RAW_HEADERS] = tuple(self.headers.items())
        environ[CLIENT_SOCKET] = self.client
        environ[CONNECTION] = self.connection
        has_body = bool(self.content_length) or self.wsgi_input.chunked_input
        self.connection.enter(Stage.RECEIVING if has_body else Stage.RUNNING)
        return environ

    def finalize_headers(self) -> None:
        """Add what the response lacks; a server that stops closes the connection after it."""
        if self.server.closing and not self.close_connection:
            self.close_connection = True
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def _sendall(self, data: Any) -> None:
        stage = self.connection.stage
        if not self.response_length:
            self.connection.begin_answer(self._answer_bytes(data))
        self.connection.enter(Stage.SENDING)
        unsent = memoryview(data)
        try:
            while unsent:
                super()._sendall(unsent[:SEND_PART_BYTES])
                self.connection.sent_bytes += len(unsent[:SEND_PART_BYTES])
                unsent = unsent[SEND_PART_BYTES:]
        except OSError:
            self.client.discard_unsent()
            raise
        # A body may still be on its way, if the request was refused without it.
        self.connection.enter(stage)

    def _answer_bytes(self, first: Any) -> int | None:
        """Return the size of an answer that begins with ``first``; None if it is not known."""
        if self.provided_content_length is None:
            return None
        head_bytes: int = first.find(HEAD_END) + len(HEAD_END)
        return head_bytes + int(self.provided_content_length)

    def handle_one_response(self) -> None:
        """Serve one request, and close the connection if its body was not read to the end."""
        super().handle_one_response()
        if self.wsgi_input.unusable:
            self.close_connection = True


def mark_waiting(environ: dict[str, Any]) -> None:
    """Record that a request is held until there are news; a process that stops ends it."""
    connection: OpenConnection | None = environ.get(CONNECTION)
    if connection is not None:
        connection.enter(Stage.WAITING)


class BoundedServer(NoDelayServer):
    """A server whose connection table decides who gets and loses a connection."""

    max_accept = MAX_ACCEPT

    def __init__(
        self,
        address: tuple[str, int],
        application: Any,
        connections: ConnectionTable,
        measures: Measures,
    ) -> None:
        self.connections = connections
        self.measures = measures
        self.records: dict[Any, OpenConnection] = {}
        self.clients: dict[Any, ClientSocket] = {}
        # The pool has no limit of its own; it ends the handlers when the server stops.
        super().__init__(address, application, spawn=Pool(), handler_class=TimeoutHandler, log=None)

    def do_handle(self, *args: Any) -> None:
        """Give a new connection a place or refuse it."""
        sock, address = args
        peer = str(address[0])
        client = ClientSocket(sock)
        place = self.connections.open(peer, client.cut)
        if place.closed is not None:
            self._report(place.closed, "closed for another connection")
            place.closed.shut()
        if place.connection is None:
            clock = self.connections.clock
            self._report(OpenConnection(peer, lambda: None, clock, clock.now_ms()), "refused")
            _refuse(sock)
            return
        self.records[sock] = place.connection
        self.clients[sock] = client
        super().do_handle(*args)

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection."""
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            super().handle(sock, address)
        finally:
            del self.clients[sock]
            self.connections.remove(self.records.pop(sock))

    def open_connections(self) -> list[OpenConnection]:
        """Return the connections with a request that is not answered up to the last byte."""
        return [connection for connection in self.records.values() if connection.open]

    def _report(self, connection: OpenConnection, outcome: str) -> None:
        self.measures.count("connections_closed_for_room", connection.stage.value)
        logger("connections").warning(
            outcome,
            port=self.server_port,
            peer=connection.peer,
            stage=connection.stage.value,
            waited_ms=self.connections.clock.now_ms() - connection.since_ms,
            open=len(self.connections.connections),
        )


def _refuse(sock: Any) -> None:
    """Tell a client that nothing of its request has run, and close its connection."""
    with contextlib.suppress(OSError):
        sock.setblocking(False)
        sock.send(NO_CONNECTION_ANSWER)
    sock.close()


def make_server(
    host: str,
    port: int,
    application: Any,
    connections: ConnectionTable | None = None,
    measures: Measures | None = None,
) -> BoundedServer:
    """Return a server that limits its connections and the waits for clients."""
    return BoundedServer(
        (host, port),
        application,
        connections or ConnectionTable(SystemClock(), MAX_CONNECTIONS),
        measures or Measures(),
    )
