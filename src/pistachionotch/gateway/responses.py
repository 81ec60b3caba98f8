"""Requests of clients and the answers to them, apart from how they are sent."""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

from ..http_client import Header


@attrs.frozen(kw_only=True)
class ClientCall:
    """Hold one request of a client."""

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[Header, ...]
    body: bytes
    received_ms: int
    budget_ms: int | None = None
    resume_after: int | None = None


@attrs.frozen
class BufferedResponse:
    """Answer with a complete body."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    # The upstream's proof, empty if the answer is this process's own.
    proof: str = ""
    # Attempts of this call that an upstream answered with status 500.
    server_errors: int = 0


@attrs.frozen
class StreamingResponse:
    """Answer with parts that are sent as they come."""

    status: int
    headers: tuple[Header, ...]
    parts: Iterator[bytes]


class FailureCause(enum.Enum):
    """Say why a call has no response of an upstream."""

    NO_ROUTE = "no such route"
    NOT_RUN = "not run"
    UNKNOWN = "may have run"
    TIMEOUT = "time is up"
    INVALID = "invalid request"
    TOO_LARGE = "the body is too large"


@attrs.frozen
class CallFailure:
    """Answer without an upstream's response."""

    cause: FailureCause
    reason: str
    retry_after_ms: int | None = None
    # Attempts of this call that an upstream answered with status 500.
    server_errors: int = 0


ClientResponse = BufferedResponse | StreamingResponse | CallFailure
