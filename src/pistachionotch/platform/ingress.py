"""HTTP interface for the platform's clients."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import attrs
import gevent

from ..batches.model import BatchError, BatchErrorKind, ResultPage
from ..batches.service import BatchService
from ..clock import MS_PER_SECOND, Clock
from ..gateway.calls import CallForwarder
from ..gateway.catalog import Catalog, RouteKind
from ..gateway.disconnect import ClientDisconnectedError, watch_for_disconnect
from ..gateway.responses import (
    BufferedResponse,
    CallFailure,
    ClientCall,
    ClientResponse,
    FailureCause,
    StreamingResponse,
)
from ..http_client import Header
from ..server import CLIENT_SOCKET, RAW_HEADERS, RAW_TARGET
from .batches import page_body, read_submission
from .upstream import BUDGET, REQUEST_ID, RESUME_AFTER

BATCH_PREFIX = "/api/lots/"
ITEM_PREFIX = "/api/items/"
MAX_WAIT_MS = 1_000
# Retry-After while no configuration is known yet.
STARTING_RETRY_MS = 500
JSON_TYPE = ("Content-Type", "application/json")

_STATUS = {
    FailureCause.NO_ROUTE: HTTPStatus.NOT_FOUND,
    FailureCause.NOT_RUN: HTTPStatus.SERVICE_UNAVAILABLE,
    # 503 would promise that the request has not run.
    FailureCause.UNKNOWN: HTTPStatus.BAD_GATEWAY,
    FailureCause.TIMEOUT: HTTPStatus.GATEWAY_TIMEOUT,
    FailureCause.INVALID: HTTPStatus.BAD_REQUEST,
    FailureCause.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}
_TROUBLE = {
    BatchErrorKind.NOT_FOUND: FailureCause.NO_ROUTE,
    BatchErrorKind.UNAVAILABLE: FailureCause.NOT_RUN,
    BatchErrorKind.NOT_ACCEPTED: FailureCause.NOT_RUN,
    BatchErrorKind.UNKNOWN: FailureCause.TIMEOUT,
    BatchErrorKind.REJECTED: FailureCause.TOO_LARGE,
}


@attrs.define
class IngressApp:
    """Serve clients over WSGI."""

    clock: Clock
    catalog: Callable[[], Catalog | None]
    forwarder: CallForwarder
    batches: BatchService
    closing: Callable[[], bool]
    ended: Callable[[], bool]
    adjust_open_requests: Callable[[int], None]
    log: Any

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request."""
        self.adjust_open_requests(1)
        watch = None
        malformed = False
        answer: ClientResponse = CallFailure(FailureCause.NOT_RUN, "the gateway has stopped", 0)
        try:
            if self.ended():
                return self._send(answer, start_response, None)
            call = self._read_call(environ)
            if isinstance(call, ClientCall):
                watch = watch_for_disconnect(environ[CLIENT_SOCKET])
                answer = self._answer(call)
            else:
                answer = call
                malformed = True
        except ClientDisconnectedError:
            self.log.info("client left", request=_header(environ, REQUEST_ID))
            answer = CallFailure(FailureCause.UNKNOWN, "the client left")
        except BaseException:
            self.adjust_open_requests(-1)
            raise
        finally:
            if watch is not None and not isinstance(answer, StreamingResponse):
                watch.kill(block=False)
        return self._send(answer, start_response, watch, malformed)

    def _send(
        self,
        answer: ClientResponse,
        start_response: Callable[..., Any],
        watch: Any,
        malformed: bool = False,
    ) -> Iterable[bytes]:
        if isinstance(answer, CallFailure):
            answer = _refusal_reply(answer)
        headers = list(answer.headers)
        # Where a malformed request ends is not certain, so nothing is read after it.
        if malformed or self.closing():
            headers.append(("Connection", "close"))
        if isinstance(answer, BufferedResponse):
            self.adjust_open_requests(-1)
            headers.append(("Content-Length", str(len(answer.body))))
            start_response(_status_line(answer.status), headers)
            return [answer.body]
        start_response(_status_line(answer.status), headers)
        return _StreamBody(answer.parts, watch, self.adjust_open_requests)

    def _read_call(self, environ: dict[str, Any]) -> ClientCall | CallFailure:
        received_ms = self.clock.now_ms()
        headers: tuple[Header, ...] = environ[RAW_HEADERS]
        names = [name.lower() for name, _value in headers]
        # Two ways to delimit a body are how a request is hidden inside another.
        if "transfer-encoding" in names and "content-length" in names:
            return CallFailure(FailureCause.INVALID, "both a length and a transfer encoding")
        if names.count("content-length") > 1 or names.count("transfer-encoding") > 1:
            return CallFailure(
                FailureCause.INVALID, "the length or the transfer encoding is given twice"
            )
        catalog = self.catalog()
        limit = catalog.limits.max_body_bytes if catalog else None
        body = environ["wsgi.input"].read(-1 if limit is None else limit + 1)
        if limit is not None and len(body) > limit:
            return CallFailure(FailureCause.TOO_LARGE, "the body is too large")
        return ClientCall(
            request_id=_header(environ, REQUEST_ID),
            method=environ["REQUEST_METHOD"],
            target=environ[RAW_TARGET],
            host=environ.get("HTTP_HOST", ""),
            headers=headers,
            body=body,
            received_ms=received_ms,
            budget_ms=_number(_header(environ, BUDGET)),
            resume_after=_number(_header(environ, RESUME_AFTER)),
        )

    def _answer(self, call: ClientCall) -> ClientResponse:
        path, _, query = call.target.partition("?")
        if path.startswith(BATCH_PREFIX):
            return self._batch(call, path.removeprefix(BATCH_PREFIX), query)
        if path.startswith(ITEM_PREFIX) and call.method == "GET":
            return self._item(path.removeprefix(ITEM_PREFIX), query)
        catalog = self.catalog()
        if catalog is None:
            return CallFailure(FailureCause.NOT_RUN, "no configuration yet", STARTING_RETRY_MS)
        route = catalog.match(call.host.lower(), call.target)
        if route is None:
            self.log.info(
                "no route", request=call.request_id, target=call.target, catalog=catalog.version
            )
            return CallFailure(FailureCause.NO_ROUTE, "no such route")
        if route.kind is RouteKind.BATCH and call.method == "POST":
            try:
                submission = read_submission(
                    call.request_id, call.host.lower(), call.target, call.body
                )
            except ValueError as error:
                self.log.warning("submission refused", request=call.request_id, reason=str(error))
                return CallFailure(FailureCause.INVALID, str(error))
            trouble = self.batches.submit(submission, route)
            return BufferedResponse(HTTPStatus.ACCEPTED) if trouble is None else _trouble(trouble)
        return self.forwarder.forward(call, route)

    def _batch(self, call: ClientCall, batch: str, query: str) -> ClientResponse:
        if call.method == "DELETE":
            trouble = self.batches.end(batch)
            return BufferedResponse(HTTPStatus.OK) if trouble is None else _trouble(trouble)
        if call.method != "GET":
            return CallFailure(FailureCause.INVALID, "unknown method for a batch")
        position = _number(parse_qs(query).get("after", ["0"])[0]) or 0
        wait_ms = _number(_of(call.headers, "wait-ms")) or 0
        page = self.batches.read(batch, position, min(wait_ms, MAX_WAIT_MS))
        if isinstance(page, ResultPage):
            return BufferedResponse(HTTPStatus.OK, (JSON_TYPE,), page_body(page))
        return _trouble(page)

    def _item(self, batch: str, query: str) -> ClientResponse:
        body = self.batches.item_body(batch, parse_qs(query).get("id", [""])[0])
        if isinstance(body, bytes):
            return BufferedResponse(HTTPStatus.OK, (), body)
        return _trouble(body)


class _StreamBody:
    """Pass on the parts of a stream and clean up after it."""

    def __init__(
        self, parts: Iterator[bytes], watch: Any, adjust_open_requests: Callable[[int], None]
    ) -> None:
        self.parts = parts
        self.watch = watch
        self.adjust_open_requests = adjust_open_requests

    def __iter__(self) -> Iterator[bytes]:
        return self.parts

    def close(self) -> None:
        """Stop the stream; the server calls this however it ended."""
        self.adjust_open_requests(-1)
        if self.watch is not None:
            self.watch.kill(block=False)
        gevent.spawn(self.parts.close)  # type: ignore[attr-defined]


def _trouble(trouble: BatchError) -> CallFailure:
    return CallFailure(_TROUBLE[trouble.kind], trouble.reason, trouble.retry_after_ms)


def _refusal_reply(refusal: CallFailure) -> BufferedResponse:
    headers = [JSON_TYPE]
    if refusal.retry_after_ms is not None:
        headers.append(("Retry-After", f"{refusal.retry_after_ms / MS_PER_SECOND:.3f}"))
    body = json.dumps({"error": refusal.cause.value, "reason": refusal.reason}).encode()
    return BufferedResponse(_STATUS[refusal.cause], tuple(headers), body)


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        # An upstream may answer with a status that has no standard phrase.
        return f"{status} Status"


def _header(environ: dict[str, Any], name: str) -> str:
    return str(environ.get("HTTP_" + name.upper().replace("-", "_"), ""))


def _of(headers: tuple[Header, ...], name: str) -> str:
    return next((value for key, value in headers if key.lower() == name), "")


def _number(text: str) -> int | None:
    return int(text) if text.isdigit() else None
