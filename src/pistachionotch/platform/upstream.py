"""Protocol of the platform's servers: headers, stream events, reports and load orders."""

from __future__ import annotations

import hashlib
import json
import re
from collections.abc import Iterable, Sequence
from http import HTTPStatus

from ..gateway.upstream_protocol import (
    EngineReport,
    LoadOrder,
    OrderAnswer,
    RateLimitHeader,
    RequestPurpose,
    StreamEvent,
    UpstreamRequest,
    UpstreamResponse,
)
from ..http_client import Header, ResponseHead
from ..malformed import MAX_INTEGER_DIGITS, load_json, parse_integer

# Names of response headers are in lower case, as ``ResponseHead`` has them.
REQUEST_ID_HEADER = "Request-Id"
BUDGET_HEADER = "Deadline-Ms"
INSTANCE_HEADER = "Expect-Instance"
RESUME_AFTER_HEADER = "Last-Event-Id"
BEGUN_BY_HEADER = "Resumes"
URGENCY_HEADER = "Priority-Class"
ACCOUNT_HEADER = "Tenant"
CREDENTIAL_HEADER = "Authorization"
# The shared parts of a prompt, separated by commas, the one that most calls share first.
SESSION_HEADER = "Prompt-Prefix"
NOT_RUN_HEADER = "not-run"
PROOF_HEADER = "server-stamp"
LEAVING_HEADER = "server-leaving"
RATE_LIMIT_HEADER = "server-limit"
# Also the name of a field of stream events.
VERSIONS_HEADER = "weight-versions"
REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"
MISDIRECTED_REQUEST = 421
_DECIMAL_NUMBER = re.compile(r"[0-9]{1,18}(\.[0-9]{1,18})?")
# Events have some hundred bytes; without a limit, an endless event would exhaust the memory.
MAX_EVENT_BYTES = 1024 * 1024
_ORDER_ANSWERS: dict[int, OrderAnswer] = {
    HTTPStatus.ACCEPTED: OrderAnswer.ACCEPTED,
    HTTPStatus.OK: OrderAnswer.HOLDS_ALREADY,
    HTTPStatus.CONFLICT: OrderAnswer.CONFLICT,
    HTTPStatus.PRECONDITION_FAILED: OrderAnswer.OUTDATED_FENCE,
}
# Headers that concern a single connection, or that ``ServerProtocol`` sets itself.
_DROPPED_REQUEST_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "content-length",
        "expect",
        "host",
        "request-id",
        "deadline-ms",
        "expect-instance",
        "last-event-id",
        "priority-class",
    }
)
_DROPPED_RESPONSE_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "trailer", "upgrade", "content-length"}
)
# Headers by which a client says who it is; while there are accounts, only the gateway says that.
_IDENTITY_HEADERS = frozenset({ACCOUNT_HEADER.lower(), CREDENTIAL_HEADER.lower()})


class EventReader:
    """Split the bytes of a stream into events."""

    def __init__(self) -> None:
        self.incomplete = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete; raises ``ValueError`` on bad ones."""
        *blocks, self.incomplete = (self.incomplete + data).split(b"\n\n")
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise ValueError("an event is too large")
        return [_parse_event(block.decode()) for block in blocks if block]


def _parse_event(block: str) -> StreamEvent:
    number = None
    version = None
    data = []
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            number = parse_integer(value)
        elif name == "data":
            data.append(value)
        elif name == VERSIONS_HEADER:
            version = parse_integer(value)
    if number is None:
        raise ValueError("event without a number")
    return StreamEvent(number=number, data="\n".join(data), version=version)


class ServerProtocol:
    """Implement ``UpstreamProtocol`` for the platform's servers."""

    def request_headers(self, request: UpstreamRequest) -> list[Header]:
        """Return all headers of a request."""
        headers = [("Host", request.host)]
        if request.request_id:
            headers.append((REQUEST_ID_HEADER, request.request_id))
        headers.append((INSTANCE_HEADER, request.instance))
        if request.budget_ms is not None:
            headers.append((BUDGET_HEADER, str(request.budget_ms)))
        if request.resume_after is not None:
            headers.append((RESUME_AFTER_HEADER, str(request.resume_after)))
        if request.urgency is not None:
            headers.append((URGENCY_HEADER, str(request.urgency)))
        if request.account:
            # Headers are sent as Latin-1, but names of accounts may have any printable characters.
            headers.append((ACCOUNT_HEADER, request.account.encode().decode("latin-1")))
        passed = request.headers
        if request.account or request.drops_credentials:
            passed = without_credentials(passed)
        for name, value in passed:
            if name.lower() not in _DROPPED_REQUEST_HEADERS:
                headers.append((name, value))
        return headers

    def read_response(self, request: UpstreamRequest, head: ResponseHead) -> UpstreamResponse:
        """Interpret the headers of a response."""
        echoed = head.get("request-id")
        misdirected = head.status == MISDIRECTED_REQUEST
        return UpstreamResponse(
            head=head,
            # A server may refuse a request before it echoes the id; a success always has the echo.
            matches=echoed == request.request_id or (not echoed and head.status >= 400),
            not_run=bool(head.get(NOT_RUN_HEADER)) or misdirected,
            proof=head.get(PROOF_HEADER),
            leaving=bool(head.get(LEAVING_HEADER)),
            # A misdirected request is answered by another server, which has its own limit.
            rate_limit=(
                RateLimitHeader(stated=False)
                if misdirected
                else _parse_rate_limit(head.get_all(RATE_LIMIT_HEADER))
            ),
            versions=_parse_versions(head.get(VERSIONS_HEADER)),
        )

    def event_reader(self) -> EventReader:
        """Return a reader for one stream."""
        return EventReader()

    def report_request(self, instance: str) -> UpstreamRequest:
        """Return the request that reads a server's report."""
        return _control_request("GET", REPORT_PATH, b"", instance, RequestPurpose.REPORT)

    def read_report(self, body: bytes) -> EngineReport:
        """Decode a server's report; raises one of ``MALFORMED`` if that fails."""
        fields = load_json(body)
        return EngineReport(
            busy=bool(fields["busy"]),
            # Here "seq" is the number of accepted orders; in other messages it counts other things.
            orders=int(fields["seq"]),
            versions={str(m["name"]): int(m["version"]) for m in fields["models"]},
        )

    def order_request(self, instance: str, order: LoadOrder) -> UpstreamRequest:
        """Return the request that orders a server to load a weight version."""
        fields = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            # With "keep", running requests continue under the new version; "wait" lets them finish.
            "mode": "keep" if order.keep_running else "wait",
            "holder": order.holder,
            "fencing_token": order.fence,
            "expected": order.expected_orders,
        }
        body = json.dumps(fields).encode()
        return _control_request("POST", ORDER_PATH, body, instance, RequestPurpose.ORDER)

    def read_order_answer(self, status: int) -> OrderAnswer:
        """Interpret the status of the response to an order."""
        return _ORDER_ANSWERS.get(status, OrderAnswer.REJECTED)

    def response_headers(self, head: ResponseHead) -> list[Header]:
        """Return the headers that are passed on to the client."""
        return [header for header in head.headers if header[0] not in _DROPPED_RESPONSE_HEADERS]


def without_credentials(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return headers without those that name an account or contain a key."""
    return tuple(header for header in headers if header[0].lower() not in _IDENTITY_HEADERS)


def lasting_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers of a request that are the same in each attempt of its client."""
    return [
        header
        for header in headers
        if header[0].lower() not in _DROPPED_REQUEST_HEADERS
        and header[0].lower() != BEGUN_BY_HEADER.lower()
    ]


def session_of(shared_parts: str) -> str:
    """Return the identity of the last part of a prompt, ``ID:TOKENS``; empty if there is none.

    A session keeps the id while its tokens grow. The identity is a digest, since headers are long
    and state is kept for many sessions.
    """
    last = shared_parts.rstrip(", \t").rpartition(",")[2].partition(":")[0].strip()
    if not last:
        return ""
    return hashlib.blake2b(last.encode(errors="surrogateescape"), digest_size=8).hexdigest()


def _control_request(
    method: str, target: str, body: bytes, instance: str, purpose: RequestPurpose
) -> UpstreamRequest:
    return UpstreamRequest(
        request_id="",
        method=method,
        target=target,
        host="",
        headers=(("Content-Type", "application/json"),) if body else (),
        body=body,
        instance=instance,
        purpose=purpose,
    )


def _parse_rate_limit(values: Sequence[str]) -> RateLimitHeader:
    """Return the lowest valid limit; a repeated header counts like a list of values."""
    parts = [part.strip() for value in values for part in value.split(",")]
    limits = [float(part) for part in parts if _DECIMAL_NUMBER.fullmatch(part)]
    sound = len(parts) == len(limits) <= 1
    return RateLimitHeader(
        per_second=min(limits, default=None),
        questionable="" if sound else ",".join(parts) or "(empty)",
        stated=bool(limits) or not parts,
    )


def _parse_versions(text: str) -> tuple[int, ...]:
    """Return the weight versions of a header, without what is no number that can be stored."""
    parts = text.replace(",", " ").split()
    return tuple(
        int(part)
        for part in parts
        if part.isascii() and part.isdigit() and len(part) <= MAX_INTEGER_DIGITS
    )
