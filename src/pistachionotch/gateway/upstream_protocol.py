"""What the gateway needs to know of the protocol that its upstreams speak."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Protocol

import attrs
from returns.result import Result

from ..http_client import Header, ResponseHead
from ..objects.api import StoredObject, StoreError
from .catalog import Catalog
from .upstreams import UpstreamRecord


@attrs.frozen(kw_only=True)
class UpstreamRequest:
    """Describe one request to an upstream."""

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[Header, ...]
    body: bytes
    # The upstream refuses the request unless it is this instance.
    instance: str
    # Time left for the response; None means no limit.
    budget_ms: int | None = None
    # Number of the last event that was received; the stream goes on after it.
    resume_after: int | None = None
    # 0 is the most urgent.
    urgency: int | None = None


@attrs.frozen(kw_only=True)
class UpstreamResponse:
    """Hold the start of a response."""

    head: ResponseHead
    # Whether the response answers this request; another one's belongs to nobody.
    matches: bool
    # Whether the upstream states that it did not run the request.
    not_run: bool
    # The upstream's proof that comes with the response, empty if there is none.
    proof: str
    # Whether the upstream says that it is leaving.
    leaving: bool
    # Weight versions of the response, newest last; empty for plain services.
    versions: tuple[int, ...]


@attrs.frozen(kw_only=True)
class StreamEvent:
    """Hold one event of a stream; ``version`` is set where the weights change."""

    number: int
    data: str
    version: int | None = None


class EventReader(Protocol):
    """Split the bytes of a stream into events."""

    # Bytes of an event that is not complete yet.
    incomplete: bytes

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete now; raises ``ValueError`` on malformed ones."""


class OrderAnswer(enum.Enum):
    """Say what an engine answered to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds already"
    # Another order is in progress, or the number of orders is not the expected one.
    CONFLICT = "conflict"
    OUTDATED_FENCE = "outdated fence"
    REJECTED = "rejected"


@attrs.frozen(kw_only=True)
class EngineReport:
    """Hold what an engine says of itself, some hundred milliseconds old."""

    # Whether an order is being carried out.
    busy: bool
    # Number of orders that it accepted since it started.
    orders: int
    versions: dict[str, int]


@attrs.frozen(kw_only=True)
class LoadOrder:
    """Order an engine to load a weight version."""

    model: str
    version: int
    # Whether running streams go on under the new version; otherwise they finish first.
    keep_running: bool
    holder: str
    fence: int
    # The engine refuses the order unless it has accepted this many before.
    expected_orders: int


class UpstreamProtocol(Protocol):
    """Translate between the gateway's types and an upstream's protocol."""

    def request_headers(self, request: UpstreamRequest) -> list[Header]:
        """Return all headers of a request."""

    def read_response(self, request: UpstreamRequest, head: ResponseHead) -> UpstreamResponse:
        """Interpret the headers of a response."""

    def event_reader(self) -> EventReader:
        """Return a reader for one stream."""

    def report_request(self, instance: str) -> UpstreamRequest:
        """Return the request for an engine's report."""

    def read_report(self, body: bytes) -> EngineReport:
        """Read a report; raises one of ``MALFORMED``."""

    def order_request(self, instance: str, order: LoadOrder) -> UpstreamRequest:
        """Return the request that gives an order."""

    def read_order_answer(self, status: int) -> OrderAnswer:
        """Interpret the status of an answer to an order."""

    def response_headers(self, head: ResponseHead) -> list[Header]:
        """Return the headers that go back to the client."""


class Listings(Protocol):
    """Read the objects that the operator, the upstreams and the trainers keep in the object API.

    Each reader takes the objects under its prefix, by key.
    """

    catalog_prefix: str
    upstreams_prefix: str
    versions_prefix: str
    evacuations_prefix: str

    def catalog(self, objects: Mapping[str, StoredObject]) -> Catalog | None:
        """Return the newest configuration, None if there is none that can be read."""

    def upstreams(self, objects: Mapping[str, StoredObject]) -> list[UpstreamRecord]:
        """Return the registrations that name a usable upstream."""

    def versions(self, objects: Mapping[str, StoredObject]) -> dict[str, int]:
        """Return the newest named weight version by model."""

    def confirm_evacuation(self, key: str) -> Result[StoredObject, StoreError]:
        """Tell the operator that a VM with a disk holds nothing that would be lost."""
