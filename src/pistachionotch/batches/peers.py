"""Reads and ends of batches between processes: HTTP with CBOR bodies."""

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
    ResultPage,
    Submission,
)
from .records import (
    head_bytes,
    item_fields,
    owner_fields,
    read_head,
    read_owner,
    read_result,
    read_state,
    result_fields,
    state_bytes,
)

BATCHES_PREFIX = "/batches/"
OWNERS_PREFIX = "/owners/"
# Questions for owners go to any start of a process.
ANY_INCARNATION = "any"
CONNECT_TIMEOUT_MS = 400
# An owner answers a read from memory. Together with the wait that a client asks for, this leaves
# the client's patience of 1.5 s beyond its wait room for a take-over.
READ_TIMEOUT_MS = 700
# An end is one write to the object API.
RESPONSE_TIMEOUT_MS = 1_200
# Another gateway's creation of a batch takes tens of milliseconds, and some hundred with a slow
# object API. After this time the asking one creates it, which the client still waits for.
SUBMIT_TIMEOUT_MS = 1_200
MEDIA_TYPE = "application/cbor"


@attrs.frozen
class NotOwner:
    """Say that the asked process does not own the batch."""


@attrs.frozen
class PeerUnreachable:
    """Say that the owner did not answer; ``refused`` means that no process listens there."""

    reason: str
    refused: bool


@attrs.frozen
class PeerRequestFailed:
    """Say that the owner could not do what was asked."""

    reason: str


@attrs.frozen
class PeerItemNotFound:
    """Say that the owner knows the batch but has no such item."""


PeerError = NotOwner | PeerUnreachable | PeerRequestFailed | PeerItemNotFound


@attrs.define
class PeerClient:
    """Ask the owner of a batch."""

    pool: ConnectionPool

    def read(self, owner: Owner, batch: str, position: int, wait_ms: int) -> ResultPage | PeerError:
        """Return the results that the owner has listed."""
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
        """End a batch; None means ended for good."""
        reply = self._request(owner, "DELETE", _path(batch))
        return None if isinstance(reply, bytes) else reply

    def submit(self, address: Address, head: BatchHead) -> Owner | BatchError | PeerError:
        """Let another process accept a batch; returns the owner of an accepted one."""
        peer = Owner(node="", incarnation=ANY_INCARNATION, address=address)
        submission = head.submission
        body = head_bytes(head, [item_fields(item) for item in submission.items], 0)
        reply = self._request(peer, "POST", _path(submission.id), SUBMIT_TIMEOUT_MS, body)
        if not isinstance(reply, bytes):
            return reply
        decoded = _decode(reply, _read_submission_response)
        if isinstance(decoded, PeerRequestFailed):
            # It may have been accepted there.
            return PeerUnreachable(decoded.reason, refused=False)
        return decoded

    def hand_off(self, address: Address, state: BatchState) -> Owner | None:
        """Let another process go on with a batch; returns its new owner, None if it did not."""
        peer = Owner(node="", incarnation=ANY_INCARNATION, address=address)
        target = _path(state.head.submission.id)
        return _owner_or_none(
            self._request(peer, "PUT", target, RESPONSE_TIMEOUT_MS, state_bytes(state))
        )

    def owner_of(self, address: Address, batch: str) -> Owner | None:
        """Return the owner of a batch as another process knows it."""
        peer = Owner(node="", incarnation=ANY_INCARNATION, address=address)
        target = f"{OWNERS_PREFIX}{quote(batch, safe='')}"
        return _owner_or_none(self._request(peer, "GET", target, READ_TIMEOUT_MS))

    def announce(self, address: Address, batch: str, owner: Owner) -> None:
        """Tell another process who owns a batch; it is a hint and need not arrive."""
        query = urlencode(owner_fields(owner))
        peer = Owner(node="", incarnation=ANY_INCARNATION, address=address)
        self._request(peer, "PUT", f"{OWNERS_PREFIX}{quote(batch, safe='')}?{query}")

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


def _owner_or_none(reply: bytes | PeerError) -> Owner | None:
    if not isinstance(reply, bytes):
        return None
    owner = _decode(reply, read_owner)
    return owner if isinstance(owner, Owner) else None


def _read_page(fields: Any) -> ResultPage:
    return ResultPage(
        total=int(fields["total"]),
        results=tuple(read_result(result) for result in fields["results"]),
        next_position=int(fields["next"]),
    )


def _read_submission_response(fields: Any) -> Owner | BatchError:
    if "owner" in fields:
        return read_owner(fields["owner"])
    return BatchError(BatchErrorKind(fields["trouble"]), fields["reason"], fields["retry_after_ms"])


def _path(batch: str) -> str:
    return BATCHES_PREFIX + quote(batch, safe="")


class LocalBatches(Protocol):
    """Answer for the batches that this process owns; None means not here."""

    def local_page(self, batch: str, position: int, wait_ms: int) -> ResultPage | None:
        """Return listed results."""

    def local_body(self, batch: str, item: str) -> bytes | PeerItemNotFound | None:
        """Return the body of an item."""

    def local_end(self, batch: str) -> bool | None:
        """End a batch; False if that is not certain."""

    def local_submit(self, submission: Submission) -> Owner | BatchError | None:
        """Accept a batch for a peer; returns the owner of an accepted one."""

    def local_accept_handoff(self, state: BatchState) -> Owner | None:
        """Go on with a batch of a peer that stops; returns its owner, None if that failed."""

    def known_owner(self, batch: str) -> Owner | None:
        """Return the owner of a batch, None if it is not known here."""

    def remember_owner(self, batch: str, owner: Owner) -> None:
        """Remember the owner of a batch."""


@attrs.frozen
class PeerApp:
    """Serve other processes over WSGI."""

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
                "request of a peer failed",
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
            self.batches.remember_owner(batch, read_owner(query))
            return HTTPStatus.OK, b""
        owner = self.batches.known_owner(batch)
        if owner is None:
            return HTTPStatus.NOT_FOUND, b""
        return HTTPStatus.OK, cbor2.dumps(owner_fields(owner))

    def _handle_submission(self, environ: dict[str, Any]) -> tuple[HTTPStatus, bytes]:
        head, _parts = read_head(environ["wsgi.input"].read())
        accepted = self.batches.local_submit(head.submission)
        if accepted is None:
            return HTTPStatus.NOT_FOUND, b""
        if isinstance(accepted, Owner):
            return HTTPStatus.OK, cbor2.dumps({"owner": owner_fields(accepted)})
        fields = {
            "trouble": accepted.kind.value,
            "reason": accepted.reason,
            "retry_after_ms": accepted.retry_after_ms,
        }
        return HTTPStatus.OK, cbor2.dumps(fields)

    def _handle_handoff(self, environ: dict[str, Any]) -> tuple[HTTPStatus, bytes]:
        owner = self.batches.local_accept_handoff(read_state(environ["wsgi.input"].read()))
        if owner is None:
            return HTTPStatus.SERVICE_UNAVAILABLE, b""
        return HTTPStatus.OK, cbor2.dumps(owner_fields(owner))

    def _handle(self, environ: dict[str, Any]) -> tuple[HTTPStatus, bytes]:
        if environ["PATH_INFO"].startswith(OWNERS_PREFIX):
            return self._handle_owner(environ)
        if environ["REQUEST_METHOD"] == "POST":
            return self._handle_submission(environ)
        if environ["REQUEST_METHOD"] == "PUT":
            return self._handle_handoff(environ)
        # An earlier start of this process may have owned the batch; its memory is gone.
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
        query = parse_qs(environ["QUERY_STRING"])
        page = self.batches.local_page(batch, int(query["position"][0]), int(query["wait_ms"][0]))
        if page is None:
            return HTTPStatus.NOT_FOUND, b""
        fields = {
            "total": page.total,
            "results": [result_fields(result) for result in page.results],
            "next": page.next_position,
        }
        return HTTPStatus.OK, cbor2.dumps(fields)
