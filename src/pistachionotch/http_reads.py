"""Reads over kept HTTP connections that outlast the servers' idle limits."""

from __future__ import annotations

from collections.abc import Iterable

from .config.spec import Address
from .http_client import Connection, ConnectionPool, ExchangeError, Header, ResponseHead

# Idle time after which a kept connection is not reused. A read can be sent again, so that it may
# find the connection closed.
READ_IDLE_MS = 60_000
# Limit on an answer that lists objects.
MAX_READ_BYTES = 256 * 1024 * 1024


def read_kept(
    pool: ConnectionPool,
    address: Address,
    target: str,
    headers: Iterable[Header],
    connect_timeout_ms: int,
    timeout_ms: int,
) -> tuple[ResponseHead, bytes]:
    """Send a GET and return the whole response; raises ``ExchangeError``.

    It is sent again, on a new connection, if the server has just closed the kept one.
    """
    peer = str(address)
    pairs = [("Host", peer), *headers]
    connection = pool.take(address, peer, connect_timeout_ms)
    kept = connection.exchanges > 0
    try:
        return _exchange(pool, connection, peer, target, pairs, timeout_ms)
    except ExchangeError as error:
        if not (kept and error.closed) or connection.parser.message_begun:
            raise
    connection = pool.take(address, peer, connect_timeout_ms, fresh=True)
    return _exchange(pool, connection, peer, target, pairs, timeout_ms)


def _exchange(
    pool: ConnectionPool,
    connection: Connection,
    peer: str,
    target: str,
    headers: list[Header],
    timeout_ms: int,
) -> tuple[ResponseHead, bytes]:
    try:
        connection.send("GET", target, headers, b"", timeout_ms)
        head = connection.read_head(timeout_ms)
        body = connection.read_body(timeout_ms, MAX_READ_BYTES)
    except BaseException:
        connection.close()
        raise
    connection.idle_limit_ms = READ_IDLE_MS
    pool.give_back(connection, peer, head)
    return head, body
