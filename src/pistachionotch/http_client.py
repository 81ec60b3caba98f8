"""HTTP/1.1 client connections that never retry a request automatically."""

from __future__ import annotations

import enum
import socket
import time
from collections import deque
from collections.abc import Iterable
from typing import Any

import attrs
import gevent
import gevent.socket
from geventhttpclient.response import HTTPParseError

from .clock import MS_PER_SECOND, Clock
from .config.spec import Address
from .http_parser import ClosedEarlyError, ResponseParser, is_closed

READ_BYTES = 64 * 1024
# A peer that does not acknowledge data for this long is unreachable; shorter than the 4 s after
# which the platform expects a node to act on a restored path.
USER_TIMEOUT_MS = 3_000
# TCP keepalive probes: the first after this idle time, then at this interval.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# An idle connection is not reused in the last second before the server may close it.
IDLE_CLOSE_MARGIN_MS = 1_000
# Idle time after which a connection is not reused if the server announces no limit.
DEFAULT_IDLE_MS = 4_000

# Limits on the memory that a faulty server can make this process use: bytes of a response head or
# of framing without content, header fields, and bytes of a body that is read as a whole.
MAX_HEAD_BYTES = 64 * 1024
MAX_HEAD_FIELDS = 200
MAX_BODY_BYTES = 16 * 1024 * 1024
# Idle connections that are kept unless the owner of the pool sets another number. Requests that may
# not be repeated never take one, so without a limit each of them would leave one behind.
MAX_IDLE = 1024
# A body up to this size is sent in one piece with its head.
JOINED_BODY_BYTES = 64 * 1024
# Connect timeout when checking whether a peer accepts connections.
PROBE_TIMEOUT_MS = 1_000

Header = tuple[str, str]


class OpenCause(enum.StrEnum):
    """Reason why a connection was opened instead of using a kept one."""

    # The request must not use a kept connection, which its server may just be closing.
    NOT_REPEATABLE = "not repeatable"
    # No exchange with the peer has left a connection yet.
    FIRST = "first"
    # All kept connections are in use, or were closed.
    NONE_IDLE = "none idle"
    # The kept ones were idle for too long, or the peer had closed them.
    IDLE_LIMIT = "idle limit"
    CLOSED_BY_PEER = "closed by peer"
    # The peer closed a kept connection when a repeatable request was sent on it.
    RESENT = "resent"


class ExchangeError(Exception):
    """No complete response was received; if ``sent``, the request may have been executed.

    ``closed`` tells that the peer ended the connection after the request had been sent, ``refused``
    that it refused the connection, and did not only fail to answer in time. ``malformed`` tells
    that it has answered with a malformed head.
    """

    def __init__(
        self,
        reason: str,
        sent: bool,
        closed: bool = False,
        refused: bool = False,
        malformed: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.malformed = malformed
        self.closed = closed
        self.refused = refused


@attrs.frozen
class ResponseHead:
    """The status and headers of a response, with header names in lower case."""

    status: int
    headers: tuple[Header, ...]

    def get(self, name: str) -> str:
        """Return a header's value by its lower-case name, empty if absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return ""

    def get_all(self, name: str) -> list[str]:
        """Return all values of a header by its lower-case name."""
        return [value for key, value in self.headers if key == name]


def _set_timeout(sock: Any, timeout_ms: int) -> None:
    sock.settimeout(max(1, timeout_ms) / MS_PER_SECOND)


class Connection:
    """A client connection that carries one exchange at a time."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.sock: Any = None
        self.parser: Any = None
        self.exchanges = 0
        # Why it was opened; None once it has been kept.
        self.open_cause: OpenCause | None = None
        self.idle_since_ms = 0
        self.idle_limit_ms = DEFAULT_IDLE_MS
        self.body_ended = False

    def open(self, timeout_ms: int) -> None:
        """Connect; raises ``ExchangeError`` with ``sent`` False."""
        try:
            self.sock = gevent.socket.create_connection(
                (self.address.host, self.address.port), timeout=max(1, timeout_ms) / MS_PER_SECOND
            )
            _set_options(self.sock)
        except OSError as error:
            self.close()
            refused = not isinstance(error, TimeoutError)
            raise ExchangeError(f"connect: {error}", sent=False, refused=refused) from error

    def send(
        self, method: str, target: str, headers: Iterable[Header], body: bytes, timeout_ms: int
    ) -> None:
        """Send one request."""
        self.parser = ResponseParser(method)
        self.body_ended = False
        lines = [f"{method} {target} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if body or method not in ("GET", "DELETE"):
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self.exchanges += 1
        try:
            _set_timeout(self.sock, timeout_ms)
            if len(body) <= JOINED_BODY_BYTES:
                self.sock.sendall(head + body)
                return
            # Joining a large body to the head would copy it.
            self.sock.sendall(head)
            self.sock.sendall(body)
        except OSError as error:
            raise ExchangeError(f"send: {error}", True, is_closed(error)) from error

    def read_head(self, timeout_ms: int) -> ResponseHead:
        """Wait for the status and headers of the final response."""
        try:
            _set_timeout(self.sock, timeout_ms)
            with gevent.Timeout(max(1, timeout_ms) / MS_PER_SECOND, TimeoutError("no response")):
                received = 0
                while not self.parser.has_final_head:
                    if received >= MAX_HEAD_BYTES:
                        raise HTTPParseError("the head is too large")
                    received += self._feed(MAX_HEAD_BYTES)
        except (OSError, HTTPParseError) as error:
            malformed = isinstance(error, HTTPParseError) and not is_closed(error)
            raise ExchangeError(
                f"response: {error}", True, is_closed(error), malformed=malformed
            ) from error
        headers = tuple(
            (str(name).lower(), str(value)) for name, value in self.parser.info().items()
        )
        if len(headers) > MAX_HEAD_FIELDS:
            reason = "response: the head has too many fields"
            raise ExchangeError(reason, sent=True, malformed=True)
        return ResponseHead(self.parser.get_code(), headers)

    def read_part(self, timeout_ms: int) -> bytes:
        """Return the next bytes of the body, empty at its end.

        The timeout applies to content; receiving only framing bytes does not extend it.
        """
        limit = time.monotonic() + max(1, timeout_ms) / MS_PER_SECOND
        left_ms = timeout_ms
        received = 0
        try:
            while not self.parser._body_buffer and not self.parser.message_complete:
                if received:
                    left_ms = int((limit - time.monotonic()) * MS_PER_SECOND)
                if left_ms <= 0 and received:
                    raise TimeoutError("no content")
                if received >= MAX_HEAD_BYTES:
                    raise HTTPParseError("bytes without content")
                _set_timeout(self.sock, left_ms)
                received += self._feed(READ_BYTES)
        except (OSError, HTTPParseError) as error:
            raise ExchangeError(f"body: {error}", True, is_closed(error)) from error
        part = bytes(self.parser._body_buffer)
        self.parser._body_buffer.clear()
        self.body_ended = not part
        return part

    def read_body(self, timeout_ms: int, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the rest of the body; raises ``ExchangeError`` if it is too large or late."""
        parts = []
        size = 0
        try:
            with gevent.Timeout(max(1, timeout_ms) / MS_PER_SECOND, TimeoutError("body is late")):
                while part := self.read_part(timeout_ms):
                    size += len(part)
                    if size > max_bytes:
                        raise ExchangeError("body: it is too large", sent=True)
                    parts.append(part)
        except TimeoutError as error:
            raise ExchangeError(f"body: {error}", sent=True) from error
        return b"".join(parts)

    def _feed(self, max_bytes: int) -> int:
        data = self.sock.recv(max_bytes)
        try:
            self.parser.feed(data)
        except HTTPParseError as error:
            if not data:
                raise ClosedEarlyError(str(error)) from error
            # Data after a complete response belongs to no request; the response itself is valid.
            if not self.parser.has_excess_bytes:
                raise
        if not data and not self.parser.message_complete:
            raise ClosedEarlyError("connection closed before the end of the response")
        return len(data)

    def can_be_reused(self) -> bool:
        """Return whether the connection can be used for another exchange."""
        if self.sock is None or self.parser is None or self.parser.has_excess_bytes:
            return False
        return self.body_ended and not self.parser.should_close()

    def mark_idle(self, head: ResponseHead, now_ms: int) -> None:
        """Record when the connection became idle and how long the server keeps it open."""
        self.idle_since_ms = now_ms
        for part in head.get("keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdigit():
                self.idle_limit_ms = max(0, int(value) * MS_PER_SECOND - IDLE_CLOSE_MARGIN_MS)

    def stale(self, now_ms: int) -> bool:
        """Return whether an idle connection was closed, sent bytes or may be closed soon."""
        if self.exceeds_idle_limit(now_ms):
            return True
        try:
            self.sock.setblocking(False)
            # Readable data on an idle connection belongs to no request.
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def exceeds_idle_limit(self, now_ms: int) -> bool:
        """Return whether the server may close the connection soon, since it was idle for long."""
        return now_ms - self.idle_since_ms >= self.idle_limit_ms

    def close(self) -> None:
        """Close the connection, discarding any response in progress."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


@attrs.define
class ConnectionPool:
    """A pool of idle connections, keyed by address and the peer that answers there."""

    clock: Clock
    idle: dict[tuple[Address, str], deque[Connection]] = attrs.field(factory=dict)
    opened: int = 0
    max_idle: int = MAX_IDLE
    # All idle connections with the peers that they belong to, the longest idle first.
    idle_order: dict[Connection, str] = attrs.field(factory=dict)

    def take(self, address: Address, peer: str, timeout_ms: int, fresh: bool = False) -> Connection:
        """Return an idle connection, or a new one if there is none or ``fresh`` is set."""
        kept = self.idle.get((address, peer))
        cause = OpenCause.FIRST if kept is None else OpenCause.NONE_IDLE
        if fresh:
            cause = OpenCause.NOT_REPEATABLE
        while kept and not fresh:
            connection = kept.pop()
            self.idle_order.pop(connection, None)
            now_ms = self.clock.now_ms()
            if not connection.stale(now_ms):
                connection.open_cause = None
                return connection
            expired = connection.exceeds_idle_limit(now_ms)
            cause = OpenCause.IDLE_LIMIT if expired else OpenCause.CLOSED_BY_PEER
            connection.close()
        connection = Connection(address)
        connection.open(timeout_ms)
        connection.open_cause = cause
        self.opened += 1
        return connection

    def idle_connections(self, address: Address, peer: str) -> int:
        """Return the number of kept connections to a peer that are not in use."""
        return len(self.idle.get((address, peer), ()))

    def ask(
        self,
        address: Address,
        method: str,
        target: str,
        headers: Iterable[Header],
        body: bytes,
        timeout_ms: int,
        fresh: bool = False,
    ) -> tuple[ResponseHead, bytes]:
        """Send one request and return the whole response; raises ``ExchangeError``.

        Each of connecting, sending, head and body may take ``timeout_ms`` milliseconds.
        """
        peer = str(address)
        connection = self.take(address, peer, timeout_ms, fresh)
        try:
            connection.send(method, target, [("Host", peer), *headers], body, timeout_ms)
            head = connection.read_head(timeout_ms)
            reply = connection.read_body(timeout_ms)
        except BaseException:
            connection.close()
            raise
        self.give_back(connection, peer, head)
        return head, reply

    def give_back(self, connection: Connection, peer: str, head: ResponseHead) -> None:
        """Return the connection to the pool, or close it if it cannot be reused."""
        if not connection.can_be_reused():
            connection.close()
            return
        connection.mark_idle(head, self.clock.now_ms())
        self.idle.setdefault((connection.address, peer), deque()).append(connection)
        self.idle_order[connection] = peer
        self._close_surplus()

    def _close_surplus(self) -> None:
        """Close idle connections that are too old to be reused or too many, the oldest first."""
        now_ms = self.clock.now_ms()
        while self.idle_order:
            oldest, peer = next(iter(self.idle_order.items()))
            is_old = now_ms - oldest.idle_since_ms >= oldest.idle_limit_ms
            if not is_old and len(self.idle_order) <= self.max_idle:
                return
            del self.idle_order[oldest]
            self.idle[(oldest.address, peer)].remove(oldest)
            oldest.close()

    def answers(self, address: Address) -> bool:
        """Return whether a server accepts connections at the address."""
        connection = Connection(address)
        try:
            connection.open(PROBE_TIMEOUT_MS)
        except ExchangeError:
            return False
        connection.close()
        return True

    def refuses(self, address: Address, timeout_ms: int) -> bool:
        """Return whether an address refuses connections, and not only fails to answer in time."""
        connection = Connection(address)
        try:
            connection.open(timeout_ms)
        except ExchangeError as error:
            return error.refused
        connection.close()
        return False

    def forget(self, address: Address, peer: str) -> None:
        """Close and remove the idle connections to a peer."""
        for connection in self.idle.pop((address, peer), ()):
            self.idle_order.pop(connection, None)
            connection.close()
