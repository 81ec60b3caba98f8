"""HTTP interface of an entry for callers and trainers."""

from __future__ import annotations

import json
import secrets
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

import attrs

from ..clock import Clock
from ..findings import InvalidInputError
from ..outcomes import Execution, Problem
from ..server import BODY_TIMEOUT_S, time_limit
from ..wire.messages import FINISH_REASON_HEADER
from .body_budget import BodyBudget, BodyBudgetExceededError, declared_body_bytes
from .calls import Call, CallDone, CallFailed, ResponsePart, RouteEvent
from .requests import (
    MAX_BODY_BYTES,
    CallDefaults,
    HttpRequest,
    completion_call,
    findings_text,
    service_call,
)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class IncompleteRequestError(Exception):
    """The client did not send the complete body in time."""


class OversizedRequestError(Exception):
    """The body exceeds the maximum size of a message to an agent."""


Body = Iterable[bytes]


@attrs.frozen
class HttpResponse:
    """A complete HTTP response."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    @classmethod
    def json(cls, value: Any, status: int = 200) -> HttpResponse:
        """Return a JSON response."""
        body = json.dumps(value).encode()
        return cls(status, [("Content-Type", "application/json")], body)

    @classmethod
    def from_problem(cls, problem: Problem) -> HttpResponse:
        """Return the response that reports a problem."""
        return cls(problem.status, problem.headers(), problem.body())


Handler = Callable[[HttpRequest], HttpResponse]
Route = Callable[[Call], Iterator[RouteEvent]]


@attrs.define
class HttpInterface:
    """WSGI application of an entry.

    ``handlers`` maps a method and a path prefix to the handler of requests that are not routed.
    """

    clock: Clock
    defaults: Callable[[], CallDefaults]
    route: Route
    handlers: dict[tuple[str, str], Handler]
    # While draining, each connection is closed after its current response. Once closed, new
    # requests are refused.
    draining: bool = False
    closed: bool = False
    body_budget: BodyBudget = attrs.field(factory=BodyBudget)

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Body:
        """Serve one WSGI request."""
        size = declared_body_bytes(environ)
        try:
            self.body_budget.reserve(size)
        except BodyBudgetExceededError as error:
            refused = _refuse_before_key_lookup(environ, "overloaded", str(error))
            # The body is not read, so the connection cannot be reused and is closed.
            headers = [*refused.headers, ("Connection", "close")]
            yield from self._respond(attrs.evolve(refused, headers=headers), start_response)
            return
        try:
            yield from self._serve(environ, start_response)
        finally:
            self.body_budget.release(size)

    def _serve(self, environ: dict[str, Any], start_response: StartResponse) -> Body:
        if self.closed:
            detail = "the entry is shutting down"
            refused = _refuse_before_key_lookup(environ, "shutting down", detail)
            return self._respond(refused, start_response)
        try:
            request = _read_request(environ)
            if (request.method, request.path) == ("POST", "/v1/completions"):
                call = completion_call(request, self.clock, self.defaults())
                if call.streamed:
                    return self._stream(call, start_response)
                return self._respond(self._complete(call), start_response)
            if request.path.startswith("/services/"):
                call = service_call(request, self.clock, self.defaults())
                return self._respond(self._collect(call), start_response)
            return self._respond(self._handle(request), start_response)
        except InvalidInputError as error:
            problem = _bad_request(findings_text(error))
            return self._respond(HttpResponse.from_problem(problem), start_response)
        except IncompleteRequestError as error:
            return self._respond(
                _refuse_unread_body(408, "request timeout", str(error)), start_response
            )
        except OversizedRequestError:
            detail = f"the body is longer than {MAX_BODY_BYTES} bytes"
            return self._respond(_refuse_unread_body(413, "too large", detail), start_response)

    def _handle(self, request: HttpRequest) -> HttpResponse:
        for (method, prefix), handler in self.handlers.items():
            if request.method == method and request.path.startswith(prefix):
                return handler(request)
        return HttpResponse.from_problem(
            Problem(404, "not found", "no such resource", Execution.NOT_RUN)
        )

    def _respond(self, response: HttpResponse, start_response: StartResponse) -> Body:
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        headers += self._connection_headers()
        start_response(f"{response.status} {_reason_phrase(response.status)}", headers)
        return [response.body]

    def _collect(self, call: Call) -> HttpResponse:
        """Route a call and return its complete response, or the problem if it failed."""
        outcome = _collect_response(self.route(call), [])
        if isinstance(outcome, CallFailed):
            return HttpResponse.from_problem(outcome.problem)
        headers = [*outcome.done.headers, ("X-Request-Id", call.request_id)]
        return HttpResponse(outcome.done.status, headers, outcome.body)

    def _connection_headers(self) -> list[tuple[str, str]]:
        return [("Connection", "close")] if self.draining else []

    def _complete(self, call: Call) -> HttpResponse:
        """Route a completion and return it as one JSON object, or the problem if it failed."""
        outcome = _collect_response(self.route(call), [])
        if isinstance(outcome, CallFailed):
            return HttpResponse.from_problem(outcome.problem)
        done = outcome.done
        if done.status != HTTPStatus.OK:
            return HttpResponse(done.status, list(done.headers), outcome.body)
        return HttpResponse.json(completion_body(call, outcome.body.decode(), done))

    def _stream(self, call: Call, start_response: StartResponse) -> Body:
        events = self.route(call)
        first = next(events)
        if isinstance(first, CallFailed):
            return self._respond(HttpResponse.from_problem(first.problem), start_response)
        if isinstance(first, ResponsePart) and not first.tokens:
            # Only a refusal by the engine has no tokens; it is returned with its own status.
            outcome = _collect_response(events, [first.data])
            if isinstance(outcome, CallFailed):
                return self._respond(HttpResponse.from_problem(outcome.problem), start_response)
            done = outcome.done
            response = HttpResponse(done.status, list(done.headers), outcome.body)
            return self._respond(response, start_response)
        headers = [("Content-Type", "text/event-stream"), ("X-Request-Id", call.request_id)]
        headers += self._connection_headers()
        start_response("200 OK", headers)
        return _event_stream(call, first, events)


@attrs.frozen
class _CompletedResponse:
    """Final event and collected body of a call that did not fail."""

    done: CallDone
    body: bytes


def _collect_response(
    events: Iterator[RouteEvent], parts: list[bytes]
) -> _CompletedResponse | CallFailed:
    """Collect the parts of a response until its final event."""
    for event in events:
        if isinstance(event, ResponsePart):
            parts.append(event.data)
            continue
        if isinstance(event, CallDone):
            return _CompletedResponse(event, b"".join(parts))
        if isinstance(event, CallFailed):
            return event
    raise AssertionError("a call ended without a final event")


def completion_body(call: Call, text: str, done: CallDone) -> dict[str, Any]:
    """Return the JSON object of a completion, with the weight versions that generated it."""
    finish_reason = dict(done.headers).get(FINISH_REASON_HEADER) or None
    return {
        "id": call.request_id,
        "object": "text_completion",
        "model": call.target,
        "choices": [{"index": 0, "text": text, "finish_reason": finish_reason}],
        "weight_versions": [attrs.asdict(span) for span in done.spans],
    }


def _event_stream(call: Call, first: RouteEvent, events: Iterator[RouteEvent]) -> Iterator[bytes]:
    yield from _server_sent_event(call, first)
    for event in events:
        yield from _server_sent_event(call, event)


def _server_sent_event(call: Call, event: RouteEvent) -> Iterator[bytes]:
    if isinstance(event, ResponsePart):
        chunk = {
            "id": call.request_id,
            "object": "text_completion",
            "model": call.target,
            "choices": [{"index": 0, "text": event.data.decode(), "finish_reason": None}],
            "weight_version": event.version,
        }
        yield _sse_data(json.dumps(chunk))
        return
    if isinstance(event, CallFailed):
        # The status line was sent already. The error event marks the response as incomplete.
        yield b"event: error\n" + _sse_data(event.problem.body().decode())
        return
    if not isinstance(event, CallDone):
        return
    final = completion_body(call, "", event)
    yield _sse_data(json.dumps(final))
    yield _sse_data("[DONE]")


def _sse_data(text: str) -> bytes:
    return f"data: {text}\n\n".encode()


def _refuse_unread_body(status: int, title: str, detail: str) -> HttpResponse:
    """Refuse a request whose body was not read completely, and close its connection."""
    problem = Problem(status, title, detail, Execution.NOT_RUN, secrets.token_hex(8))
    response = HttpResponse.from_problem(problem)
    return attrs.evolve(response, headers=[*response.headers, ("Connection", "close")])


def _refuse_before_key_lookup(environ: dict[str, Any], title: str, detail: str) -> HttpResponse:
    """Refuse a request before any state of its idempotency key is looked up."""
    # An earlier call with the same key may have been executed.
    keyed = "HTTP_IDEMPOTENCY_KEY" in environ
    execution = Execution.UNKNOWN if keyed else Execution.NOT_RUN
    problem = Problem(503, title, detail, execution, secrets.token_hex(8), retry_after_ms=1000)
    return HttpResponse.from_problem(problem)


def _bad_request(detail: str) -> Problem:
    return Problem(400, "bad request", detail, Execution.NOT_RUN, secrets.token_hex(8))


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def _read_request(environ: dict[str, Any]) -> HttpRequest:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    body = _read_body(environ["wsgi.input"])
    query_text = environ.get("QUERY_STRING", "")
    query = dict(parse_qsl(query_text))
    method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
    return HttpRequest(method, path, query, headers, body, query_text)


def _read_body(source: Any) -> bytes:
    try:
        with time_limit(BODY_TIMEOUT_S):
            body: bytes = source.read(MAX_BODY_BYTES + 1)
    except OSError as error:
        raise IncompleteRequestError(str(error)) from error
    if len(body) > MAX_BODY_BYTES:
        raise OversizedRequestError
    return body
