"""Calls to the upstream beside the agent, and what came back from them."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from functools import singledispatch
from typing import Any

import attrs

from ..clock import Clock
from ..objects.client import SingleAttemptClient
from ..prefixes.view import PrefixUse, parse_use
from ..wire.messages import FINISH_REASON_HEADER, Submit

CONNECT_TIMEOUT_S = 2.0
# Upper bound on silence within one response; the attempt's own deadline is usually sooner.
READ_TIMEOUT_S = 120.0
PIECE_BYTES = 64 * 1024
# Tokens that arrive within this time share one message, which bounds the messages of fast streams.
COALESCE_MS = 20
# Nobody reads a sample before it is complete, and one entry takes the tokens of a trainer's step.
SAMPLE_COALESCE_MS = 1000
MAX_EVENT_BYTES = 256 * 1024
NO_VERSION = -1
_HOP_HEADERS = frozenset(
    {"connection", "content-length", "host", "keep-alive", "transfer-encoding", "te", "upgrade"}
)


@attrs.frozen
class EngineUpstream:
    """Locate a model engine."""

    host: str
    port: int
    model: str


@attrs.frozen
class ServiceUpstream:
    """Locate a plain service."""

    host: str
    port: int
    service: str


Upstream = EngineUpstream | ServiceUpstream


@attrs.frozen
class UpstreamPiece:
    """Carry response data and the weight version that the engine reported with it."""

    data: bytes
    version: int
    tokens: int


@attrs.frozen
class UpstreamEnd:
    """Say that the upstream's response is complete."""

    status: int
    headers: tuple[tuple[str, str], ...]
    use: PrefixUse | None = None


@attrs.frozen
class UpstreamBroken:
    """Say that there is no complete response; ``sent`` means that the work may have run."""

    reason: str
    sent: bool


Emit = Callable[[UpstreamPiece], None]


def call(
    upstream: Upstream, submit: Submit, clock: Clock, emit: Emit
) -> UpstreamEnd | UpstreamBroken:
    """Run one attempt against the upstream and emit its pieces."""
    # The library's own client sends a request again when a connection closes early, which could run
    # a non-idempotent call twice.
    client = SingleAttemptClient(upstream.host, upstream.port, CONNECT_TIMEOUT_S, READ_TIMEOUT_S)
    try:
        return _exchange(upstream, client, submit, clock, emit)
    except Exception as error:  # the client raises parser, socket and time-out types of its own
        return UpstreamBroken(f"{type(error).__name__}: {error}", sent=client.pool.connected)
    finally:
        client.close()


@singledispatch
def _exchange(
    upstream: Upstream, client: SingleAttemptClient, submit: Submit, clock: Clock, emit: Emit
) -> UpstreamEnd | UpstreamBroken:
    raise TypeError(type(upstream))


def _headers(submit: Submit) -> dict[str, str]:
    headers = {name: value for name, value in submit.headers if name.lower() not in _HOP_HEADERS}
    headers["X-Request-Id"] = submit.request
    if submit.key:
        headers["Idempotency-Key"] = submit.key
    return headers


@_exchange.register
def _(
    upstream: ServiceUpstream, client: SingleAttemptClient, submit: Submit, clock: Clock, emit: Emit
) -> UpstreamEnd | UpstreamBroken:
    response = client.request(submit.method, submit.path, submit.body, _headers(submit))
    length = response.get("content-length")
    received = 0
    while True:
        data = bytes(response.read(PIECE_BYTES))
        if not data:
            break
        received += len(data)
        emit(UpstreamPiece(data, NO_VERSION, 0))
    if length is not None and received != int(str(length)):
        return UpstreamBroken(f"body of {received} bytes instead of {length}", sent=True)
    headers = tuple(
        (str(name), str(value))
        for name, value in response.items()
        if str(name).lower() not in _HOP_HEADERS
    )
    return UpstreamEnd(response.status_code, headers)


@_exchange.register
def _(
    upstream: EngineUpstream, client: SingleAttemptClient, submit: Submit, clock: Clock, emit: Emit
) -> UpstreamEnd | UpstreamBroken:
    wanted = json.loads(submit.body)
    wanted["stream"] = True
    headers = _headers(submit)
    headers["Content-Type"] = "application/json"
    response = client.request(submit.method, submit.path, json.dumps(wanted).encode(), headers)
    if response.status_code != 200:
        emit(UpstreamPiece(bytes(response.read(PIECE_BYTES)), NO_VERSION, 0))
        return UpstreamEnd(response.status_code, (("Content-Type", "application/json"),))
    wait_ms = SAMPLE_COALESCE_MS if submit.retain else COALESCE_MS
    finish_reason = ""
    use: PrefixUse | None = None
    coalescer = Coalescer(clock, emit, wait_ms)
    for event in _events(response):
        if event == b"[DONE]":
            coalescer.flush()
            return UpstreamEnd(200, ((FINISH_REASON_HEADER, finish_reason),), use)
        chunk = json.loads(event)
        use = parse_use(chunk.get("usage")) or use
        choice = chunk["choices"][0]
        finish_reason = choice.get("finish_reason") or finish_reason
        text = choice["text"].encode()
        coalescer.add(text, int(chunk.get("weight_version", NO_VERSION)))
    return UpstreamBroken("stream ended without [DONE]", sent=True)


def _events(response: Any) -> Iterator[bytes]:
    """Yield the data of each server-sent event."""
    while True:
        event = bytes(response.readline(b"\n\n"))
        if not event.endswith(b"\n\n"):
            return
        if len(event) > MAX_EVENT_BYTES:
            raise ValueError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        yield event.removesuffix(b"\n\n").removeprefix(b"data: ")


@attrs.define
class Coalescer:
    """Join tokens of one weight version that arrive close together."""

    clock: Clock
    emit: Emit
    wait_ms: int = COALESCE_MS
    text: bytes = b""
    version: int = NO_VERSION
    tokens: int = 0
    flushed_ms: int | None = None

    def add(self, text: bytes, version: int) -> None:
        """Add one token, sending what has waited long enough."""
        if version != self.version:
            self.flush()
        self.version = version
        self.text += text
        self.tokens += 1
        # The first token goes out at once; the entry takes the engine's speed from its time.
        if self.flushed_ms is None or self.clock.now_ms() - self.flushed_ms >= self.wait_ms:
            self.flush()

    def flush(self) -> None:
        """Send the joined tokens."""
        if not self.tokens:
            return
        self.emit(UpstreamPiece(self.text, self.version, self.tokens))
        self.text = b""
        self.tokens = 0
        self.flushed_ms = self.clock.now_ms()
