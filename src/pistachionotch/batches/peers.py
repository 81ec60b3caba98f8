"""Requests for batches between gateways: HTTP client and WSGI application."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import parse_qs, quote, urlencode

import attrs
import cbor2

from ..config.spec import Address
from ..http_client import Connection, ConnectionPool, ExchangeError
from ..logs import logger
from ..malformed import MALFORMED, load_cbor
from .model import (
    BatchError,
    BatchErrorKind,
    BatchHead,
    BatchState,
    Owner,
    OwnerTerm,
    ResultPage,
    Submission,
)
from .records import (
    head_bytes,
    item_fields,
    read_head,
    read_result,
    read_state,
    read_term,
    result_fields,
    state_bytes,
    term_fields,
)

BATCHES_PREFIX = "/batches/"
OWNERS_PREFIX = "/owners/"
# Incarnation of requests that any incarnation of a process may answer.
ANY_INCARNATION = "any"
CONNECT_TIMEOUT_MS = 400
# An owner answers a read from memory. Clients time out 1.5 s after the wait that they requested, so
# this timeout leaves time for a takeover.
READ_TIMEOUT_MS = 700
# Ending a batch takes one write to the object API.
RESPONSE_TIMEOUT_MS = 1_200
# Another gateway creates a batch within tens of milliseconds, or some hundred with a slow object
# API. After this timeout the requesting gateway creates it while the client still waits.
SUBMIT_TIMEOUT_MS = 1_200
MEDIA_TYPE = "application/cbor"


@attrs.frozen
class NotOwner:
    """The process that was asked does not own the batch."""


@attrs.frozen
class PeerUnreachable:
    """The peer did not answer; ``refused`` means that no process listens at its address."""

    reason: str
    refused: bool


@attrs.frozen
class PeerRequestFailed:
    """The peer answered with an error or with a malformed response."""

    reason: str


@attrs.frozen
class PeerItemNotFound:
    """The owner knows the batch, but the batch has no such item."""


PeerError = NotOwner | PeerUnreachable | PeerRequestFailed | PeerItemNotFound


@attrs.define
class PeerClient:
    """Client for requests to other gateways."""

    pool: ConnectionPool

    def read(self, owner: Owner, batch: str, position: int, wait_ms: int) -> ResultPage | PeerError:
        """Return results that the owner has listed, from ``position`` on."""
        target = f"{_path(batch)}?position={position}&wait_ms={wait_ms}"
        reply = self._request(owner, "GET", target, READ_TIMEOUT_MS + wait_ms)
        if not isinstance(reply, bytes):
            return reply
        return _decode(reply, _read_page)

    def item_body(self, owner: Owner, batch: str, item: str) -> bytes | PeerError:
        """Return the body of an item."""
        return self._request(
            owner, "GET", f"{_path(batch)}/{quote(item, safe='')}", READ_TIMEOUT_MS
        )

    def end(self, owner: Owner, batch: str) -> None | PeerError:
        """End a batch; None means that it has ended permanently."""
        reply = self._request(owner, "DELETE", _path(batch))
        return None if isinstance(reply, bytes) else reply

    def submit(self, address: Address, head: BatchHead) -> OwnerTerm | BatchError | PeerError:
        """Ask another gateway to accept a batch; returns the owner of an accepted batch."""
        peer = Owner(node="", incarnation=ANY_INCARNATION, address=address)
        submission = head.submission
        body = head_bytes(head, [item_fields(item) for item in submission.items], 0)
        reply = self._request(peer, "POST", _path(submission.id), SUBMIT_TIMEOUT_MS, body)
        if not isinstance(reply, bytes):
            return reply
        decoded = _decode(reply, _read_submission_response)
        if isinstance(decoded, PeerRequestFailed):
            # The peer may have accepted the batch.
            return PeerUnreachable(decoded.reason, refused=False)
        return decoded

    def hand_off(self, address: Address, state: BatchState) -> OwnerTerm | None:
        """Ask another gateway to continue a batch; returns the new owner, None if it failed."""
        peer = Owner(node="", incarnation=ANY_INCARNATION, address=address)
        target = _path(state.head.submission.id)
        reply = self._request(peer, "PUT", target, RESPONSE_TIMEOUT_MS, state_bytes(state))
        if not isinstance(reply, bytes):
            return None
        decoded = _decode(reply, read_term)
        return decoded if isinstance(decoded, OwnerTerm) else None

    def owner_of(self, address: Address, batch: str) -> OwnerTerm | PeerError:
        """Return the owner of a batch according to another gateway."""
        peer = Owner(node="", incarnation=ANY_INCARNATION, address=address)
        target = f"{OWNERS_PREFIX}{quote(batch, safe='')}"
        reply = self._request(peer, "GET", target, READ_TIMEOUT_MS)
        return _decode(reply, read_term) if isinstance(reply, bytes) else reply

    def announce(self, address: Address, batch: str, found: OwnerTerm) -> bool:
        """Notify another gateway of the owner of a batch; returns whether it was received."""
        query = urlencode(term_fields(found))
        peer = Owner(node="", incarnation=ANY_INCARNATION, address=address)
        target = f"{OWNERS_PREFIX}{quote(batch, safe='')}?{query}"
        return isinstance(self._request(peer, "PUT", target), bytes)

    def _request(
        self,
        owner: Owner,
        method: str,
        target: str,
        timeout_ms: int = RESPONSE_TIMEOUT_MS,
        body: bytes = b"",
    ) -> bytes | PeerError:
        connection: Connection | None = None
        try:
            connection = self.pool.take(owner.address, owner.incarnation, CONNECT_TIMEOUT_MS)
            headers = [("Host", str(owner.address)), ("X-Incarnation", owner.incarnation)]
            connection.send(method, target, headers, body, RESPONSE_TIMEOUT_MS)
            head = connection.read_head(timeout_ms)
            reply = connection.read_body(RESPONSE_TIMEOUT_MS)
            self.pool.give_back(connection, owner.incarnation, head)
            connection = None
        except ExchangeError as error:
            return PeerUnreachable(error.reason, "refused" in error.reason)
        finally:
            if connection is not None:
                connection.close()
        if head.status == HTTPStatus.NOT_FOUND:
            return NotOwner()
        if head.status == HTTPStatus.GONE:
            return PeerItemNotFound()
        if head.status != HTTPStatus.OK:
            return PeerRequestFailed(f"status {head.status} of the owner")
        return reply


def _decode(reply: bytes, read: Callable[[Any], Any]) -> Any:
    try:
        return read(load_cbor(reply))
    except MALFORMED as error:
        return PeerRequestFailed(f"malformed answer of the owner: {error!r}")


def _read_page(fields: Any) -> ResultPage:
    return ResultPage(
        total=int(fields["total"]),
        results=tuple(read_result(result) for result in fields["results"]),
        next_position=int(fields["next"]),
    )


def _read_submission_response(fields: Any) -> OwnerTerm | BatchError:
    if "owner" in fields:
        return read_term(fields["owner"])
    return BatchError(BatchErrorKind(fields["trouble"]), fields["reason"], fields["retry_after_ms"])


def _path(batch: str) -> str:
    return BATCHES_PREFIX + quote(batch, safe="")


class LocalBatches(Protocol):
    """Operations that peers request from this process; None means that it cannot perform them."""

    def local_page(self, batch: str, position: int, wait_ms: int) -> ResultPage | BatchError | None:
        """Return listed results, waiting for the first if there is none yet."""

    def local_body(self, batch: str, item: str) -> bytes | PeerItemNotFound | None:
        """Return the body of an item."""

    def local_end(self, batch: str) -> bool | None:
        """End a batch; False if the end may not be stored."""

    def local_submit(self, submission: Submission) -> OwnerTerm | BatchError | None:
        """Accept a batch for a peer; returns the owner of an accepted batch."""

    def local_accept_handoff(self, state: BatchState) -> OwnerTerm | None:
        """Continue a batch of a peer that stops; returns the new owner, None if that failed."""

    def known_owner(self, batch: str) -> OwnerTerm | None:
        """Return the owner of a batch, None if this process does not know it."""

    def learn_owner(self, batch: str, found: OwnerTerm) -> None:
        """Cache the owner of a batch if it is newer than the known one."""


@attrs.frozen
class PeerApp:
    """WSGI application that serves the requests of other gateways."""

    batches: LocalBatches
    incarnation: str

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request."""
        try:
            status, body = self._handle(environ)
        except MALFORMED as error:
            logger("batches").error(
                "malformed peer request",
                path=environ["PATH_INFO"],
                error=repr(error),
                trace=traceback.format_exc(),
            )
            status, body = HTTPStatus.BAD_REQUEST, b""
        headers = [("Content-Type", MEDIA_TYPE), ("Content-Length", str(len(body)))]
        start_response(f"{status.value} {status.phrase}", headers)
        return [body]

    def _handle_owner(self, environ: dict[str, Any]) -> tuple[HTTPStatus, bytes]:
        batch = environ["PATH_INFO"].removeprefix(OWNERS_PREFIX)
        if environ["REQUEST_METHOD"] == "PUT":
            query = {name: found[0] for name, found in parse_qs(environ["QUERY_STRING"]).items()}
            self.batches.learn_owner(batch, read_term(query))
            return HTTPStatus.OK, b""
        found = self.batches.known_owner(batch)
        if found is None:
            return HTTPStatus.NOT_FOUND, b""
        return HTTPStatus.OK, cbor2.dumps(term_fields(found))

    def _handle_submission(self, environ: dict[str, Any]) -> tuple[HTTPStatus, bytes]:
        head, _parts = read_head(environ["wsgi.input"].read())
        accepted = self.batches.local_submit(head.submission)
        if accepted is None:
            return HTTPStatus.NOT_FOUND, b""
        if isinstance(accepted, OwnerTerm):
            return HTTPStatus.OK, cbor2.dumps({"owner": term_fields(accepted)})
        fields = {
            "trouble": accepted.kind.value,
            "reason": accepted.reason,
            "retry_after_ms": accepted.retry_after_ms,
        }
        return HTTPStatus.OK, cbor2.dumps(fields)

    def _handle_handoff(self, environ: dict[str, Any]) -> tuple[HTTPStatus, bytes]:
        accepted = self.batches.local_accept_handoff(read_state(environ["wsgi.input"].read()))
        if accepted is None:
            return HTTPStatus.SERVICE_UNAVAILABLE, b""
        return HTTPStatus.OK, cbor2.dumps(term_fields(accepted))

    def _handle(self, environ: dict[str, Any]) -> tuple[HTTPStatus, bytes]:
        if environ["PATH_INFO"].startswith(OWNERS_PREFIX):
            return self._handle_owner(environ)
        if environ["REQUEST_METHOD"] == "POST":
            return self._handle_submission(environ)
        if environ["REQUEST_METHOD"] == "PUT":
            return self._handle_handoff(environ)
        # The request is for an earlier incarnation of this process, whose state is lost.
        if environ.get("HTTP_X_INCARNATION") != self.incarnation:
            return HTTPStatus.NOT_FOUND, b""
        batch, _, item = environ["PATH_INFO"].removeprefix(BATCHES_PREFIX).partition("/")
        if environ["REQUEST_METHOD"] == "DELETE":
            ended = self.batches.local_end(batch)
            if ended is None:
                return HTTPStatus.NOT_FOUND, b""
            return (HTTPStatus.OK if ended else HTTPStatus.SERVICE_UNAVAILABLE), b""
        if item:
            body = self.batches.local_body(batch, item)
            if isinstance(body, PeerItemNotFound):
                return HTTPStatus.GONE, b""
            return (HTTPStatus.NOT_FOUND, b"") if body is None else (HTTPStatus.OK, body)
        return self._handle_read(batch, parse_qs(environ["QUERY_STRING"]))

    def _handle_read(self, batch: str, query: dict[str, list[str]]) -> tuple[HTTPStatus, bytes]:
        page = self.batches.local_page(batch, int(query["position"][0]), int(query["wait_ms"][0]))
        if page is None:
            return HTTPStatus.NOT_FOUND, b""
        if isinstance(page, BatchError):
            return HTTPStatus.SERVICE_UNAVAILABLE, b""
        fields = {
            "total": page.total,
            "results": [result_fields(result) for result in page.results],
            "next": page.next_position,
        }
        return HTTPStatus.OK, cbor2.dumps(fields)
