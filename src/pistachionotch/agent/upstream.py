"""Calls from an agent to its upstream and their results."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from functools import singledispatch

import attrs

from ..clock import Clock
from ..config.spec import Address
from ..http_client import Connection, ExchangeError, Header, ResponseHead
from ..malformed import MALFORMED
from ..prefixes.view import PrefixCacheUsage, parse_usage
from ..wire.messages import FINISH_REASON_HEADER, Submit

CONNECT_TIMEOUT_MS = 2_000
# Longest pause within one response; the attempt's own deadline usually expires earlier.
READ_TIMEOUT_MS = 120_000
# Refusals have short bodies; anything beyond this size is cut off.
MAX_REFUSAL_BYTES = 64 * 1024
# Tokens that arrive within this time share one message, which limits the message rate of fast
# streams.
COALESCE_MS = 20
# Longer, because a sample is read only once it is complete, and because one entry receives all the
# tokens of a trainer's step.
SAMPLE_COALESCE_MS = 1000
MAX_EVENT_BYTES = 256 * 1024
NO_VERSION = -1
# Header in which an engine names the version of its software, in lower case.
SOFTWARE_HEADER = "x-software-version"
_HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "content-length", "host", "keep-alive", "transfer-encoding", "te", "upgrade"}
)


@attrs.frozen
class EngineUpstream:
    """Hold the address of a model engine and the model that it serves."""

    host: str
    port: int
    model: str


@attrs.frozen
class ServiceUpstream:
    """Hold the address and the name of a service that is not a model engine."""

    host: str
    port: int
    service: str


Upstream = EngineUpstream | ServiceUpstream


@attrs.frozen
class UpstreamPiece:
    """Hold a part of a response and the weight version that the engine reported with it.

    ``software`` is the version of the engine's software; empty if it names none.
    """

    data: bytes
    version: int
    tokens: int
    software: str = ""


@attrs.frozen
class UpstreamCompleted:
    """Report that the upstream's response is complete."""

    status: int
    headers: tuple[tuple[str, str], ...]
    usage: PrefixCacheUsage | None = None


# Pauses before the checks whether an upstream has crashed. A process that ends may close its
# connections before it stops to listen.
CRASH_CHECK_PAUSES_MS = (0, 50)


@attrs.frozen
class UpstreamFailed:
    """Report that there is no complete response; if ``sent``, the call may have been executed."""

    reason: str
    sent: bool
    # Whether the upstream ended during the call and accepts no connections any more.
    crashed: bool = False


Emit = Callable[[UpstreamPiece], None]


def call(
    upstream: Upstream, submit: Submit, clock: Clock, emit: Emit
) -> UpstreamCompleted | UpstreamFailed:
    """Send one attempt's call to the upstream and emit the pieces of its response."""
    connection = Connection(Address(upstream.host, upstream.port))
    try:
        connection.open(CONNECT_TIMEOUT_MS)
        return _exchange(upstream, connection, submit, clock, emit)
    except ExchangeError as error:
        connection.close()
        crashed = error.closed and has_crashed(connection.address, clock)
        return UpstreamFailed(error.reason, error.sent, crashed)
    except MALFORMED as error:
        return UpstreamFailed(f"{type(error).__name__}: {error}", sent=connection.exchanges > 0)
    finally:
        connection.close()


def has_crashed(address: Address, clock: Clock) -> bool:
    """Return whether an upstream that closed a connection accepts no new ones."""
    for pause_ms in CRASH_CHECK_PAUSES_MS:
        clock.sleep_ms(pause_ms)
        probe = Connection(address)
        try:
            probe.open(CONNECT_TIMEOUT_MS)
        except ExchangeError as error:
            return error.refused
        probe.close()
    return False


@singledispatch
def _exchange(
    upstream: Upstream, connection: Connection, submit: Submit, clock: Clock, emit: Emit
) -> UpstreamCompleted | UpstreamFailed:
    raise TypeError(type(upstream))


def _send(
    connection: Connection, submit: Submit, body: bytes, *extra_headers: Header
) -> ResponseHead:
    headers = [("Host", str(connection.address)), *_headers(submit).items(), *extra_headers]
    connection.send(submit.method, submit.path, headers, body, READ_TIMEOUT_MS)
    return connection.read_head(READ_TIMEOUT_MS)


def _headers(submit: Submit) -> dict[str, str]:
    headers = {
        name: value for name, value in submit.headers if name.lower() not in _HOP_BY_HOP_HEADERS
    }
    headers["X-Request-Id"] = submit.request
    if submit.key:
        headers["Idempotency-Key"] = submit.key
    return headers


@_exchange.register
def _(
    upstream: ServiceUpstream, connection: Connection, submit: Submit, clock: Clock, emit: Emit
) -> UpstreamCompleted | UpstreamFailed:
    head = _send(connection, submit, submit.body)
    # Raises if the body is shorter than its declared length.
    while data := connection.read_part(READ_TIMEOUT_MS):
        emit(UpstreamPiece(data, NO_VERSION, 0))
    headers = tuple(
        (name, value) for name, value in head.headers if name not in _HOP_BY_HOP_HEADERS
    )
    return UpstreamCompleted(head.status, headers)


@_exchange.register
def _(
    upstream: EngineUpstream, connection: Connection, submit: Submit, clock: Clock, emit: Emit
) -> UpstreamCompleted | UpstreamFailed:
    request_body = json.loads(submit.body)
    request_body["stream"] = True
    json_type = ("Content-Type", "application/json")
    head = _send(connection, submit, json.dumps(request_body).encode(), json_type)
    if head.status != 200:
        emit(UpstreamPiece(_read_refusal(connection), NO_VERSION, 0))
        return UpstreamCompleted(head.status, (json_type,))
    wait_ms = SAMPLE_COALESCE_MS if submit.retain else COALESCE_MS
    finish_reason = ""
    usage: PrefixCacheUsage | None = None
    coalescer = Coalescer(clock, emit, wait_ms, head.get(SOFTWARE_HEADER))
    for event in _events(connection, clock):
        if event == b"[DONE]":
            coalescer.flush()
            return UpstreamCompleted(200, ((FINISH_REASON_HEADER, finish_reason),), usage)
        chunk = json.loads(event)
        usage = parse_usage(chunk.get("usage")) or usage
        choice = chunk["choices"][0]
        finish_reason = choice.get("finish_reason") or finish_reason
        text = choice["text"].encode()
        coalescer.add(text, int(chunk.get("weight_version", NO_VERSION)))
    return UpstreamFailed("stream ended without [DONE]", sent=True)


def _read_refusal(connection: Connection) -> bytes:
    body = b""
    while len(body) < MAX_REFUSAL_BYTES and (part := connection.read_part(READ_TIMEOUT_MS)):
        body += part
    return body[:MAX_REFUSAL_BYTES]


def _events(connection: Connection, clock: Clock) -> Iterator[bytes]:
    """Yield the data of each server-sent event; only complete events restart the timeout."""
    buffer = b""
    last_event_ms = clock.now_ms()
    while True:
        remaining_ms = last_event_ms + READ_TIMEOUT_MS - clock.now_ms()
        if remaining_ms <= 0:
            raise ExchangeError("no event in time", sent=True)
        part = connection.read_part(remaining_ms)
        if not part:
            return
        *events, buffer = (buffer + part).split(b"\n\n")
        if max(len(buffer), *map(len, events), 0) > MAX_EVENT_BYTES:
            raise ValueError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        for event in events:
            last_event_ms = clock.now_ms()
            yield event.removeprefix(b"data: ")


@attrs.define
class Coalescer:
    """Combine tokens of the same weight version that arrive within ``wait_ms`` into one piece."""

    clock: Clock
    emit: Emit
    wait_ms: int = COALESCE_MS
    software: str = ""
    text: bytes = b""
    version: int = NO_VERSION
    tokens: int = 0
    flushed_ms: int | None = None

    def add(self, text: bytes, version: int) -> None:
        """Add one token; flush if the version changes or ``wait_ms`` after the last flush."""
        if version != self.version:
            self.flush()
        self.version = version
        self.text += text
        self.tokens += 1
        # The first token is sent at once, because the entry measures the engine's speed by it.
        if self.flushed_ms is None or self.clock.now_ms() - self.flushed_ms >= self.wait_ms:
            self.flush()

    def flush(self) -> None:
        """Emit the combined tokens as one piece."""
        if not self.tokens:
            return
        self.emit(UpstreamPiece(self.text, self.version, self.tokens, self.software))
        self.text = b""
        self.tokens = 0
        self.flushed_ms = self.clock.now_ms()
