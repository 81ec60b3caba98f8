"""WSGI application that serves the platform's clients."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import attrs
import gevent

from ..batches.fields import InvalidFieldError
from ..batches.model import ResultPage
from ..batches.routes import check_item_paths
from ..batches.service import BatchService
from ..client_socket import ClientSocket
from ..clock import Clock
from ..gateway.call_progress import expected_call
from ..gateway.calls import CallForwarder
from ..gateway.catalog import Catalog, Route, RouteKind
from ..gateway.disconnect import (
    ClientDisconnectedError,
    DrainEndedError,
    raise_on_disconnect,
)
from ..gateway.draining import BatchEnd, BatchRead, Call, Drain
from ..gateway.responses import (
    BufferedResponse,
    CallFailure,
    ClientCall,
    ClientResponse,
    FailureCause,
    StreamingResponse,
)
from ..http_client import Header
from ..limits.byte_budget import DEFAULT_BUDGET_BYTES, ByteBudget, Holding, NoRoomError, Purpose
from ..quarantine.fingerprint import fingerprint
from ..request_bodies import BodyReader, BodyTooLargeError, IncompleteBodyError
from ..server import CLIENT_SOCKET, RAW_HEADERS, RAW_TARGET
from .answers import StreamBody, hold_buffered
from .batches import encode_page, parsing_bytes, read_submission
from .client_access import BATCH_PREFIX, ITEM_PREFIX, Admission, ClientAccess
from .failures import JSON_TYPE, batch_failure, failure_response, status_line
from .framing import framing_error
from .upstream import (
    BEGUN_BY_HEADER,
    BUDGET_HEADER,
    REQUEST_ID_HEADER,
    RESUME_AFTER_HEADER,
    SESSION_HEADER,
    lasting_headers,
    session_of,
)

MAX_WAIT_MS = 1_000
# Time in which a submission has its final answer: a larger gateway may be silent, and the object
# API slow.
SUBMISSION_MS = 3_500
# Retry-After if there is no room for a body: slow clients lose theirs after about this time.
ROOM_RETRY_MS = 1_000
# Limit on the whole body of a request. Clients within the limits send the largest one in seconds.
CLIENT_BODY_TIMEOUT_S = 120.0
# Key of the WSGI environment: the room that the request's body holds.
BODY_HOLDING = "pistachionotch.body-holding"
# Key of the WSGI environment: whether reading the body was given up.
BODY_GIVEN_UP = "pistachionotch.body-given-up"
_NUMBER = re.compile(r"[0-9]{1,18}")

NO_BATCH = CallFailure(FailureCause.NO_ROUTE, "no such batch")
# After these, the end of the request is uncertain.
_MALFORMED = (FailureCause.INVALID, FailureCause.TOO_LARGE)


@attrs.define
class IngressApp:
    """Serve batches, their items and forwarded calls over WSGI."""

    clock: Clock
    catalog: Callable[[], Catalog | None]
    forwarder: CallForwarder
    batches: BatchService
    # Whether clients should not use their connections again.
    is_closing: Callable[[], bool]
    # Whether the gateway has stopped and rejects every request.
    is_rejecting: Callable[[], bool]
    log: Any
    drain: Drain = attrs.field()
    # Greenlets whose clients have not received a status yet.
    unanswered: set[Any] = attrs.field(factory=set)
    access: ClientAccess = attrs.field()
    budget: ByteBudget = attrs.field()

    @budget.default
    def _own_budget(self) -> ByteBudget:
        return ByteBudget(self.clock, DEFAULT_BUDGET_BYTES, self.log)

    @drain.default
    def _no_drain(self) -> Drain:
        return Drain(self.clock)

    @access.default
    def _access_without_confirmation(self) -> ClientAccess:
        return ClientAccess(self.clock, self.catalog, self.log)

    def cut_off(self) -> int:
        """Answer the open requests that have no status yet with an error; returns their number.

        The error says that they may have run. A stream that has begun is not affected.
        """
        for worker in self.unanswered:
            gevent.get_hub().loop.run_callback(self._end_work, worker)
        return len(self.unanswered)

    def _end_work(self, worker: Any) -> None:
        # Its response may have come since; raising the error then would break that off.
        if worker in self.unanswered:
            worker.throw(DrainEndedError)

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one request."""
        client: ClientSocket = environ[CLIENT_SOCKET]
        malformed = False
        response: ClientResponse = CallFailure(
            FailureCause.NOT_RUN, "the gateway has stopped", self.drain.retry_after_ms()
        )
        worker = gevent.getcurrent()
        self.unanswered.add(worker)
        try:
            if self.is_rejecting():
                return self._send(response, start_response, environ)
            call = self._read_call(environ)
            if isinstance(call, CallFailure):
                response = call
                malformed = call.cause in _MALFORMED or bool(
                    environ.get(BODY_GIVEN_UP) or framing_error(environ[RAW_HEADERS])
                )
            else:
                raise_on_disconnect(client)
                response = self._dispatch(*call)
        except ClientDisconnectedError:
            self.log.info("client left", request=_header(environ, REQUEST_ID_HEADER))
            response = CallFailure(FailureCause.UNKNOWN, "the client left")
        except DrainEndedError:
            self.log.warning("unfinished at the end", request=_header(environ, REQUEST_ID_HEADER))
            response = CallFailure(FailureCause.UNKNOWN, "the gateway stops", 0)
        except BaseException:
            _release_body(environ)
            raise
        finally:
            self.unanswered.discard(worker)
            if not isinstance(response, StreamingResponse):
                client.end_watch()
        return self._send(response, start_response, environ, malformed)

    def _send(
        self,
        response: ClientResponse,
        start_response: Callable[..., Any],
        environ: dict[str, Any],
        malformed: bool = False,
    ) -> Iterable[bytes]:
        if isinstance(response, CallFailure):
            response = failure_response(response)
        headers = list(response.headers)
        # The end of a malformed request is uncertain, so no further request is read after it.
        if malformed or self.is_closing():
            headers.append(("Connection", "close"))
        client: ClientSocket = environ[CLIENT_SOCKET]
        label = _label(environ)
        if isinstance(response, BufferedResponse):
            _release_body(environ)
            headers.append(("Content-Length", str(len(response.body))))
            start_response(status_line(response.status), headers)
            return hold_buffered(self.budget, client, label, response.body)
        start_response(status_line(response.status), headers)

        def end() -> None:
            # Until then, the stream may go on at another upstream, which needs the body again.
            _release_body(environ)
            client.end_watch()

        return StreamBody.build(self.budget, client, label, response.parts, end)

    def _read_call(self, environ: dict[str, Any]) -> tuple[ClientCall, Admission] | CallFailure:
        received_ms = self.clock.now_ms()
        admission = self._admit(environ)
        if isinstance(admission, CallFailure):
            return admission
        body = self._read_body(environ, admission.catalog)
        if isinstance(body, CallFailure):
            return body
        if self.catalog() is not admission.catalog:
            # Keys may have been removed while the body arrived.
            admission = self._admit(environ)
            if isinstance(admission, CallFailure):
                return admission
        resume_after = _header(environ, RESUME_AFTER_HEADER)
        if resume_after and _parse_number(resume_after) is None:
            # Without the number, the stream would start anew after the events of the client.
            return CallFailure(
                FailureCause.INVALID, f"the last event {resume_after!r} is no number"
            )
        call = ClientCall(
            request_id=_header(environ, REQUEST_ID_HEADER),
            method=environ["REQUEST_METHOD"],
            target=environ[RAW_TARGET],
            host=environ.get("HTTP_HOST", ""),
            headers=admission.forwarded_headers(environ[RAW_HEADERS]),
            body=body,
            received_ms=received_ms,
            budget_ms=_parse_number(_header(environ, BUDGET_HEADER)),
            resume_after=_parse_number(resume_after),
            begun_by=_header(environ, BEGUN_BY_HEADER),
            account=admission.account,
            session=session_of(_header(environ, SESSION_HEADER)),
            room=environ[BODY_HOLDING],
        )
        return call, admission

    def _admit(self, environ: dict[str, Any]) -> Admission | CallFailure:
        return self.access.check(
            _header(environ, REQUEST_ID_HEADER),
            environ.get("HTTP_HOST", ""),
            environ[RAW_TARGET],
            environ["REQUEST_METHOD"],
            environ[RAW_HEADERS],
        )

    def _read_body(self, environ: dict[str, Any], catalog: Catalog) -> bytes | CallFailure:
        """Return the body of a request, which holds room until ``_release_body``."""
        framing = framing_error(environ[RAW_HEADERS])
        if framing:
            return CallFailure(FailureCause.INVALID, framing)
        limit = catalog.limits.max_body_bytes
        reader = BodyReader(limit, self.budget, Purpose.BODY, CLIENT_BODY_TIMEOUT_S)
        try:
            environ[BODY_HOLDING], body = reader.receive(environ, _label(environ))
        except BodyTooLargeError:
            return CallFailure(FailureCause.TOO_LARGE, "the body is too large")
        except NoRoomError as error:
            environ[BODY_GIVEN_UP] = True
            return CallFailure(FailureCause.NOT_RUN, str(error), ROOM_RETRY_MS)
        except IncompleteBodyError as error:
            environ[BODY_GIVEN_UP] = True
            self.log.info("body not received", request=_label(environ), reason=str(error))
            return CallFailure(FailureCause.NOT_RUN, "the body is incomplete", ROOM_RETRY_MS)
        return body

    def _dispatch(self, call: ClientCall, admission: Admission) -> ClientResponse:
        path, _, query = call.target.partition("?")
        if path.startswith(BATCH_PREFIX):
            batches = admission.internal_ids(path.removeprefix(BATCH_PREFIX))
            return _first_found(batches, lambda batch: self._handle_batch(call, batch, query))
        if path.startswith(ITEM_PREFIX) and call.method == "GET":
            batches = admission.internal_ids(path.removeprefix(ITEM_PREFIX))
            return _first_found(batches, lambda batch: self._handle_item(call, batch, query))
        catalog = admission.catalog
        route = catalog.match(call.host.lower(), call.target)
        if route is None:
            self.log.info(
                "no route", request=call.request_id, target=call.target, catalog=catalog.version
            )
            return CallFailure(FailureCause.NO_ROUTE, "no such route")
        if route.kind is RouteKind.BATCH and call.method == "POST":
            return self._submit_batch(call, admission, route)
        if self.drain.started_ms is not None:
            expected = expected_call(
                call, route, self.forwarder.upstreams(route), self.clock.now_ms()
            )
            if not self.drain.may_begin(expected):
                return self._refuse_late(call)
        headers = lasting_headers(call.headers)
        content = fingerprint(call.method, call.host, call.target, headers, call.body, call.account)
        route = attrs.evolve(route, priority=catalog.priority(route, call.account))
        return self.forwarder.forward(attrs.evolve(call, content=content), route)

    def _submit_batch(self, call: ClientCall, admission: Admission, route: Route) -> ClientResponse:
        """Accept a batch, holding room for what its body becomes when it is parsed."""
        batches = admission.internal_ids(call.request_id)
        if not batches:
            return CallFailure(FailureCause.INVALID, "this id cannot be used without a key")
        holding, size = call.room, parsing_bytes(call.body)
        assert holding is not None
        holding.purpose = Purpose.SUBMISSION
        if size + len(call.body) > self.budget.single_bytes:
            self.budget.refuse(Purpose.SUBMISSION, call.request_id, "never has room", size)
            # Within the limits of the configuration: a gateway with more memory may accept it.
            reason = "the parsed body is too large for this gateway"
            return CallFailure(FailureCause.NOT_RUN, reason, ROOM_RETRY_MS)
        if not self.batches.owner.has_room(len(call.body)):
            self.budget.refuse(Purpose.BATCH, call.request_id, "too many batches", len(call.body))
            return CallFailure(FailureCause.NOT_RUN, "no room for batches", ROOM_RETRY_MS)
        try:
            holding.grow(size)
            if not call.request_id:
                raise InvalidFieldError(REQUEST_ID_HEADER, "a batch needs an id")
            submission = read_submission(
                batches[0],
                call.host.lower(),
                call.target,
                call.body,
                call.account,
                admission.forwarded_headers,
            )
            check_item_paths(admission.catalog, route, submission)
        except NoRoomError as error:
            return CallFailure(FailureCause.NOT_RUN, str(error), ROOM_RETRY_MS)
        except ValueError as error:
            self.log.warning("submission refused", request=call.request_id, reason=str(error))
            return CallFailure(FailureCause.INVALID, str(error))
        if not self.drain.may_begin(Call(SUBMISSION_MS, False)):
            return self._refuse_late(call)
        batch_error = self.batches.submit(submission, route)
        if batch_error is None:
            return BufferedResponse(HTTPStatus.ACCEPTED)
        return batch_failure(batch_error)

    def _refuse_late(self, call: ClientCall) -> CallFailure:
        """Refuse a request that may last longer than this process; nothing of it has run."""
        self.log.info(
            "refused in drain",
            request=call.request_id,
            target=call.target,
            left_ms=self.drain.left_ms(),
            budget_ms=call.budget_ms,
        )
        return CallFailure(FailureCause.NOT_RUN, "the gateway stops", self.drain.retry_after_ms())

    def _handle_batch(self, call: ClientCall, batch: str, query: str) -> ClientResponse:
        if call.method == "DELETE":
            if not self.drain.may_begin(BatchEnd()):
                return self._refuse_late(call)
            batch_error = self.batches.end(batch)
            return (
                BufferedResponse(HTTPStatus.OK)
                if batch_error is None
                else batch_failure(batch_error)
            )
        if call.method != "GET":
            return CallFailure(FailureCause.INVALID, "unknown method for a batch")
        position = _parse_number(parse_qs(query).get("after", ["0"])[0]) or 0
        if not self.drain.may_begin(BatchRead()):
            return self._refuse_late(call)
        wait_ms = min(_parse_number(_header_value(call.headers, "wait-ms")) or 0, MAX_WAIT_MS)
        page = self.batches.read(batch, position, self.drain.wait_within(wait_ms))
        if isinstance(page, ResultPage):
            return BufferedResponse(HTTPStatus.OK, (JSON_TYPE,), encode_page(page))
        return batch_failure(page)

    def _handle_item(self, call: ClientCall, batch: str, query: str) -> ClientResponse:
        if not self.drain.may_begin(BatchRead()):
            return self._refuse_late(call)
        body = self.batches.item_body(batch, parse_qs(query).get("id", [""])[0])
        if isinstance(body, bytes):
            return BufferedResponse(HTTPStatus.OK, (), body)
        return batch_failure(body)


def _first_found(
    batches: tuple[str, ...], handle: Callable[[str], ClientResponse]
) -> ClientResponse:
    """Return the response for the first of several internal ids under which there is a batch."""
    response: ClientResponse = NO_BATCH
    for batch in batches:
        response = handle(batch)
        if not (isinstance(response, CallFailure) and response.cause is FailureCause.NO_ROUTE):
            break
    return response


def _release_body(environ: dict[str, Any]) -> None:
    holding: Holding | None = environ.pop(BODY_HOLDING, None)
    if holding is not None:
        holding.release()


def _label(environ: dict[str, Any]) -> str:
    """Return how log lines name a request: by its id, or else by its client's address."""
    return _header(environ, REQUEST_ID_HEADER) or str(environ.get("REMOTE_ADDR", ""))


def _header(environ: dict[str, Any], name: str) -> str:
    return str(environ.get("HTTP_" + name.upper().replace("-", "_"), ""))


def _header_value(headers: tuple[Header, ...], name: str) -> str:
    return next((value for key, value in headers if key.lower() == name), "")


def _parse_number(text: str) -> int | None:
    return int(text) if _NUMBER.fullmatch(text) else None
