"""Interfaces between the gateway and the protocols of upstreams and object API listings."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from http import HTTPStatus
from typing import Protocol

import attrs
from returns.result import Result

from ..http_client import Header, ResponseHead
from ..limits.pacer import PermitWant
from ..objects.api import StoredObject, StoreError
from .catalog import Catalog
from .upstreams import UpstreamRecord

EVENT_STREAM = "text/event-stream"
# Number of a stream's first event.
FIRST_EVENT = 1


class RequestPurpose(enum.Enum):
    """What a request to an upstream is for; the values are metric labels and go into logs."""

    CALL = "call"
    ITEM = "item"
    REWARD = "reward"
    REPORT = "report"
    ORDER = "order"


@attrs.frozen(kw_only=True)
class RateLimitHeader:
    """What the head of a response states about the upstream's rate limit."""

    # Requests per second that the upstream accepts from all gateways together; None if it names no
    # limit, or none that can be read.
    per_second: float | None = None
    # The named values if one of them could not be read or there are several.
    questionable: str = ""
    # Whether the response states anything; otherwise the former limit still holds.
    stated: bool = True


class RunObserver(Protocol):
    """Told what is known about an upstream's run of a request; times are those of the clock."""

    def answered(
        self, sent_ms: int, *, success: bool = True, stream: bool = False, resumed: bool = False
    ) -> None:
        """Record that an answer has begun which doesn't state that the request was not run.

        ``success`` stands for a 2xx, ``stream`` for the head of a stream of events, and ``resumed``
        for a request that continues one.
        """

    def closed(self, sent_ms: int, kept: bool) -> None:
        """Record that the upstream closed the connection, which may be a ``kept`` one."""

    def abandoned(self, sent_ms: int) -> None:
        """Record that the caller left before there was an answer."""


@attrs.frozen(kw_only=True)
class UpstreamRequest:
    """A request to an upstream, independent of the protocol."""

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[Header, ...]
    body: bytes
    # Expected instance; any other upstream rejects the request.
    instance: str
    # Remaining time for the response; None means no limit.
    budget_ms: int | None = None
    # Number of the last event received; the stream resumes after it.
    resume_after: int | None = None
    # Priority; 0 is the highest.
    urgency: int | None = None
    purpose: RequestPurpose = RequestPurpose.CALL
    # How the request waits for a permit if the upstream has announced a rate limit.
    want: PermitWant = PermitWant()
    # Name of the account that the request runs for; empty if it has none.
    account: str = ""
    # Whether ``headers`` may contain the client's own statements of its account and its key, which
    # are then not sent.
    drops_credentials: bool = False
    # None if nobody counts the runs of this request.
    observer: RunObserver | None = None


@attrs.frozen(kw_only=True)
class UpstreamResponse:
    """The head of an upstream's response, parsed."""

    head: ResponseHead
    # Whether the response belongs to this request; otherwise it must be discarded.
    matches: bool
    # Whether the upstream states that it did not execute the request.
    not_run: bool
    # The upstream's proof for the response; empty if there is none.
    proof: str
    # Whether the upstream announces that it is leaving.
    leaving: bool
    rate_limit: RateLimitHeader
    # Weight versions used for the response, newest last; empty for plain services.
    versions: tuple[int, ...]

    def is_stream(self) -> bool:
        """Return whether the body is a series of events of a successful run."""
        media_type = self.head.get("content-type").partition(";")[0].strip().lower()
        return self.head.status == HTTPStatus.OK and media_type == EVENT_STREAM


@attrs.frozen(kw_only=True)
class StreamEvent:
    """An event of a stream; ``version`` is set when the weight version changes."""

    number: int
    data: str
    version: int | None = None


class EventReader(Protocol):
    """Parser that splits the bytes of a stream into events."""

    # Buffered bytes of an incomplete event.
    incomplete: bytes

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events completed by ``data``; raises ``ValueError`` if one is malformed."""


def check_sequence(last: int | None, events: Iterable[StreamEvent]) -> int | None:
    """Return the number of the last event; raises ``ValueError`` unless each follows the former.

    ``last`` is the number of the last event before these, None at the start of a stream.
    """
    for event in events:
        expected = FIRST_EVENT if last is None else last + 1
        if event.number != expected:
            raise ValueError(f"event {event.number} instead of {expected}")
        last = event.number
    return last


class OrderAnswer(enum.Enum):
    """An engine's answer to a load order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds already"
    # Another order is in progress, or ``expected_orders`` does not match.
    CONFLICT = "conflict"
    OUTDATED_FENCE = "outdated fence"
    REJECTED = "rejected"


@attrs.frozen(kw_only=True)
class EngineReport:
    """Status reported by an engine; it may be a few hundred milliseconds old."""

    # Whether the engine is executing an order.
    busy: bool
    # Number of orders accepted since the engine started.
    orders: int
    versions: dict[str, int]


@attrs.frozen(kw_only=True)
class LoadOrder:
    """An order to an engine to load a weight version."""

    model: str
    version: int
    # Whether running streams continue with the new version; otherwise they finish first.
    keep_running: bool
    holder: str
    fence: int
    # Number of orders accepted so far; the engine rejects the order if its count differs.
    expected_orders: int


class UpstreamProtocol(Protocol):
    """Translation between the gateway's types and the protocol of its upstreams."""

    def request_headers(self, request: UpstreamRequest) -> list[Header]:
        """Return all headers to send with a request."""

    def read_response(self, request: UpstreamRequest, head: ResponseHead) -> UpstreamResponse:
        """Parse the head of a response."""

    def event_reader(self) -> EventReader:
        """Return a new parser for one stream."""

    def report_request(self, instance: str) -> UpstreamRequest:
        """Return the request that fetches an engine's report."""

    def read_report(self, body: bytes) -> EngineReport:
        """Parse a report; raises one of ``MALFORMED``."""

    def order_request(self, instance: str, order: LoadOrder) -> UpstreamRequest:
        """Return the request that sends a load order."""

    def read_order_answer(self, status: int) -> OrderAnswer:
        """Map the HTTP status of a response to an order."""

    def response_headers(self, head: ResponseHead) -> list[Header]:
        """Return the response headers to pass on to the client."""


class Listings(Protocol):
    """Decoder for objects that the operator, upstreams and trainers store in the object API.

    Each decoding method takes the objects under its prefix, by key.
    """

    catalog_prefix: str
    upstreams_prefix: str
    versions_prefix: str
    evacuations_prefix: str

    def catalog(self, objects: Mapping[str, StoredObject]) -> Catalog | None:
        """Return the newest readable configuration, or None."""

    def upstreams(self, objects: Mapping[str, StoredObject]) -> list[UpstreamRecord]:
        """Return the registrations of usable upstreams."""

    def versions(self, objects: Mapping[str, StoredObject]) -> dict[str, int]:
        """Return the newest announced weight version by model."""

    def confirm_evacuation(self, key: str) -> Result[StoredObject, StoreError]:
        """Confirm to the operator that a VM with a disk holds no data that would be lost."""
