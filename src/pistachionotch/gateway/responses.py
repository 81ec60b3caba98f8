"""Client requests and the responses to them, independent of the transport."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator

import attrs

from ..http_client import Header
from ..limits.byte_budget import Holding
from .upstream_protocol import RequestPurpose


@attrs.frozen(kw_only=True)
class ClientCall:
    """A client request to be forwarded."""

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[Header, ...]
    body: bytes
    received_ms: int
    budget_ms: int | None = None
    # Number of the last event that the client has of this stream; the response goes on after it.
    resume_after: int | None = None
    # Request ID of the attempt that brought the stream's first event; empty if not stated.
    begun_by: str = ""
    purpose: RequestPurpose = RequestPurpose.CALL
    # Identity of the request across the attempts of its caller; empty if it has none.
    content: str = ""
    # Name of the account that sent it; empty if it has none.
    account: str = ""
    # Identity of the last part of the prompt that calls share; empty if there is none.
    session: str = ""
    # Asked right before each attempt is sent; None if the call may always be sent.
    may_send: Callable[[], bool] | None = None
    # Memory that the request holds; None if the call is not a client's.
    room: Holding | None = None

    def hold_answer(self, size: int) -> None:
        """Count bytes of the answer, which has room even without any left: the call has run."""
        if self.room is not None:
            self.room.grow(size, force=True)

    def takes_up(self) -> bool:
        """Return whether the client has events of the stream and wants those after them."""
        return self.resume_after is not None and (self.resume_after > 0 or bool(self.begun_by))


@attrs.frozen
class BufferedResponse:
    """A response whose whole body is in memory."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    # Proof issued by the upstream; empty if this process generated the response.
    proof: str = ""
    # Number of attempts of this call that ended with status 500 from an upstream.
    server_errors: int = 0


@attrs.frozen
class StreamingResponse:
    """A response whose body is sent to the client chunk by chunk as it arrives."""

    status: int
    headers: tuple[Header, ...]
    parts: Iterator[bytes]


@attrs.define
class RejoinedParts:
    """An iterator over the parts of a body whose first one has been taken from it already."""

    first: bytes
    rest: Iterator[bytes]

    def __iter__(self) -> RejoinedParts:
        return self

    def __next__(self) -> bytes:
        if self.first:
            part, self.first = self.first, b""
            return part
        return next(self.rest)

    def close(self) -> None:
        """Release the rest."""
        self.rest.close()  # type: ignore[attr-defined]


class FailureCause(enum.Enum):
    """Reason why there is no upstream response for a call."""

    NO_ROUTE = "no such route"
    # No key that is in force; sending the same request again will not succeed.
    UNAUTHORIZED = "not authorized"
    NOT_RUN = "not run"
    UNKNOWN = "may have run"
    TIMEOUT = "time is up"
    INVALID = "invalid request"
    TOO_LARGE = "the body is too large"
    # Taking the stream up again will never succeed.
    BEGIN_ANEW = "not run, the stream can only begin anew"
    # Sending the same request again soon will not succeed.
    CONDEMNED = "not run, servers crashed under this request"


@attrs.frozen
class CallFailure:
    """A call that failed without an upstream response."""

    cause: FailureCause
    reason: str
    retry_after_ms: int | None = None
    # Number of attempts of this call that ended with status 500 from an upstream.
    server_errors: int = 0


ClientResponse = BufferedResponse | StreamingResponse | CallFailure
