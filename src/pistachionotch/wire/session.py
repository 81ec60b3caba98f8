"""Authenticated WebSocket sessions between an entry and an agent.

A session owns its connection; one greenlet reads and one writes. The owner of the session sends
messages with ``send`` and receives ``(session, message)`` pairs in its inbox, the last of which
carries a ``SessionClosed``.
"""

from __future__ import annotations

import contextlib
import hashlib
import hmac
import secrets
from typing import Any

import attrs
import gevent
from gevent.queue import Full, Queue
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.sync.client import connect
from websockets.sync.connection import Connection
from websockets.sync.server import serve

from ..clock import Clock
from . import codec
from .connections import (
    BlockingAcceptServer,
    DeferredCloseClientConnection,
    DeferredCloseServerConnection,
    DeferredSocketClose,
)
from .messages import PROTOCOL_VERSION, Hello, Message, Proof

OUTBOX_MESSAGES = 1024
HANDSHAKE_TIMEOUT_S = 3.0
CLOSE_TIMEOUT_S = 1.0
MAX_MISSED_HEARTBEATS = 3
MIN_HEARTBEAT_INTERVAL_MS = 100
MAX_HEARTBEAT_INTERVAL_MS = 60_000


class HandshakeError(Exception):
    """The peer did not authenticate as a member of the deployment."""


@attrs.frozen
class Identity:
    """Identity of this process towards its peers, with the deployment key."""

    deployment: str
    node: str
    role: str
    zone: str
    incarnation: str
    key: bytes
    upstream: str = ""

    def make_hello(self) -> Hello:
        """Return a hello with a fresh nonce."""
        return Hello(
            PROTOCOL_VERSION,
            self.deployment,
            self.node,
            self.role,
            self.zone,
            self.incarnation,
            secrets.token_bytes(16),
            self.upstream,
        )


@attrs.frozen
class SessionClosed:
    """Final inbox message of a session, with the reason why it ended."""

    reason: str


def _compute_mac(key: bytes, sender: str, client_hello: bytes, server_hello: bytes) -> bytes:
    # The MAC covers the sender's side, so that a proof cannot be reflected to its sender.
    digest = hmac.new(key, sender.encode(), hashlib.sha256)
    for hello in (client_hello, server_hello):
        digest.update(len(hello).to_bytes(4, "big"))
        digest.update(hello)
    return digest.digest()


def _receive_unauthenticated(connection: Connection) -> bytes:
    frame = connection.recv(timeout=HANDSHAKE_TIMEOUT_S)
    if isinstance(frame, str):
        raise HandshakeError("expected a binary frame, got text")
    return frame


def _check_hello(identity: Identity, frame: bytes) -> Hello:
    message = codec.decode(frame)
    if not isinstance(message, Hello):
        raise HandshakeError("first message is not a hello")
    if message.protocol != PROTOCOL_VERSION:
        raise HandshakeError(f"unsupported protocol version {message.protocol}")
    if message.deployment != identity.deployment:
        raise HandshakeError("peer belongs to another deployment")
    return message


def handshake(connection: Connection, identity: Identity, side: str) -> Hello:
    """Authenticate both sides and return the peer's hello; ``side`` is client or server."""
    own_hello = codec.encode(identity.make_hello())
    if side == "client":
        connection.send(own_hello)
        peer = _receive_unauthenticated(connection)
        hellos, peer_side = (own_hello, peer), "server"
    else:
        peer = _receive_unauthenticated(connection)
        connection.send(own_hello)
        hellos, peer_side = (peer, own_hello), "client"
    hello = _check_hello(identity, peer)
    connection.send(codec.encode(Proof(_compute_mac(identity.key, side, *hellos))))
    proof = codec.decode(_receive_unauthenticated(connection))
    expected = _compute_mac(identity.key, peer_side, *hellos)
    if not isinstance(proof, Proof) or not hmac.compare_digest(proof.mac, expected):
        raise HandshakeError("invalid proof of the deployment key")
    connection.protocol.max_message_size = codec.MAX_MESSAGE_BYTES
    return hello


class Session:
    """Session that exchanges messages with one authenticated peer."""

    def __init__(
        self,
        connection: DeferredSocketClose,
        peer: Hello,
        clock: Clock,
        inbox: Queue,
        heartbeat_ms: int,
    ) -> None:
        self.connection = connection
        self.peer = peer
        self.clock = clock
        self.inbox = inbox
        self.peer_heartbeat_interval_ms = heartbeat_ms
        self.last_received_ms = clock.now_ms()
        self.closed = False
        self._outbox: Queue = Queue(OUTBOX_MESSAGES)
        # Whether a message is being sent.
        self._sending = False
        gevent.spawn(self._write_messages)

    def send(self, message: Message) -> bool:
        """Queue a message; return False if the session is closed or its outbox is full."""
        if self.closed:
            return False
        try:
            self._outbox.put_nowait(message)
        except Full:
            self.close("peer does not read")
            return False
        return True

    def send_blocking(self, message: Message, timeout_s: float) -> bool:
        """Queue a message, waiting up to ``timeout_s`` seconds for space in the outbox."""
        if self.closed:
            return False
        try:
            self._outbox.put(message, timeout=timeout_s)
        except Full:
            self.close("peer does not read")
            return False
        return not self.closed

    def heartbeat_overdue(self) -> bool:
        """Return whether the peer has missed its heartbeat deadline."""
        return self.heartbeat_overdue_in_ms() <= 0

    def heartbeat_overdue_in_ms(self) -> int:
        """Return the milliseconds until the peer misses its heartbeat deadline."""
        silence_ms = self.clock.now_ms() - self.last_received_ms
        return MAX_MISSED_HEARTBEATS * self.peer_heartbeat_interval_ms + 1 - silence_ms

    def set_heartbeat_interval(self, interval_ms: int) -> None:
        """Derive the heartbeat deadline from the interval that the peer announced."""
        self.peer_heartbeat_interval_ms = max(
            MIN_HEARTBEAT_INTERVAL_MS, min(interval_ms, MAX_HEARTBEAT_INTERVAL_MS)
        )

    def run(self) -> None:
        """Read until the connection ends, then put ``SessionClosed`` into the inbox."""
        reason = "closed by peer"
        try:
            self._install_frame_callback()
            self.connection.recv()  # blocks until it raises, since no frame arrives here any more
        except (ConnectionClosed, WebSocketException, OSError, EOFError) as error:
            reason = str(error) or type(error).__name__
        self.close(reason)

    def _install_frame_callback(self) -> None:
        """Receive frames in the connection's reader, after those that are already queued."""
        pending_frames: list[bytes | str] = []
        self.connection.on_data_frame = pending_frames.append
        with contextlib.suppress(TimeoutError):
            while True:
                self._receive(self.connection.recv(timeout=0))
        # No other task runs before the end of this method, so the frames stay in order.
        for frame in pending_frames:
            self._receive(frame)
        self.connection.on_data_frame = self._receive

    def _receive(self, data: bytes | str) -> None:
        if self.closed:
            return
        try:
            message = codec.decode(data)
        except codec.MalformedMessageError as error:
            self.close(f"malformed message, {error}")
            return
        self.last_received_ms = self.clock.now_ms()
        self.inbox.put((self, message))

    def close(self, reason: str) -> None:
        """Close the connection and notify the owner; do nothing if it is already closed."""
        if self.closed:
            return
        self.closed = True
        self.inbox.put((self, SessionClosed(reason)))
        gevent.spawn(self._close_connection, reason)

    @property
    def unsent_messages(self) -> int:
        """Return the number of messages that are not sent up to their last byte."""
        return self._outbox.qsize() + self._sending

    def flush(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` seconds until all messages are sent."""
        deadline_ms = self.clock.now_ms() + int(timeout_s * 1000)
        while self.unsent_messages and not self.closed and self.clock.now_ms() < deadline_ms:
            gevent.sleep(0.005)

    def _close_connection(self, reason: str) -> None:
        # Exceptions must not be raised in these greenlets from outside: one that interrupts
        # ``Thread.join`` marks the thread as ended, and the library then considers the connection
        # closed.
        close_handshake = gevent.spawn(self.connection.close, reason=reason[:100])
        close_handshake.join(CLOSE_TIMEOUT_S)
        # An unresponsive peer never completes the closing handshake; close the socket regardless.
        self.connection.close_socket()
        # If the outbox is full, the writer is blocked in a send, which fails now.
        with contextlib.suppress(Full):
            self._outbox.put_nowait(StopIteration)

    def _write_messages(self) -> None:
        try:
            for message in self._outbox:
                self._sending = True
                self.connection.send(codec.encode(message))
                self._sending = False
        except (ConnectionClosed, OSError) as error:
            self.close(f"write failed, {error}")


def open_session(
    host: str, port: int, identity: Identity, clock: Clock, inbox: Queue, heartbeat_ms: int
) -> Session:
    """Connect to an agent and authenticate; raise ``OSError`` or ``HandshakeError`` on failure."""
    try:
        connection = connect(
            f"ws://{host}:{port}/",
            compression=None,
            proxy=None,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=None,
            max_size=codec.MAX_UNAUTHENTICATED_BYTES,
            create_connection=DeferredCloseClientConnection,
            legacy=True,  # returns the connection itself instead of a context manager
        )
    except (WebSocketException, TimeoutError, EOFError) as error:
        raise HandshakeError(str(error)) from error
    try:
        peer = handshake(connection, identity, "client")
    except (WebSocketException, TimeoutError, codec.MalformedMessageError) as error:
        connection.close()
        raise HandshakeError(str(error) or type(error).__name__) from error
    except HandshakeError:
        connection.close()
        raise
    assert isinstance(connection, DeferredSocketClose)
    return Session(connection, peer, clock, inbox, heartbeat_ms)


def make_server(
    host: str,
    port: int,
    identity: Identity,
    clock: Clock,
    inbox: Queue,
    heartbeat_ms: int,
    log: Any,
) -> BlockingAcceptServer:
    """Return a server that authenticates each peer and puts its messages into ``inbox``."""

    def accept(connection: Any) -> None:
        try:
            peer = handshake(connection, identity, "server")
        except (
            HandshakeError,
            WebSocketException,
            TimeoutError,
            OSError,
            codec.MalformedMessageError,
        ) as error:
            log.warning("peer handshake failed", reason=str(error) or type(error).__name__)
            connection.close(code=1008, reason="peer did not prove itself")
            return
        Session(connection, peer, clock, inbox, heartbeat_ms).run()

    server = serve(
        accept,
        host,
        port,
        compression=None,
        open_timeout=HANDSHAKE_TIMEOUT_S,
        close_timeout=CLOSE_TIMEOUT_S,
        ping_interval=None,
        max_size=codec.MAX_UNAUTHENTICATED_BYTES,
        create_connection=DeferredCloseServerConnection,
    )
    return BlockingAcceptServer(server, log)
