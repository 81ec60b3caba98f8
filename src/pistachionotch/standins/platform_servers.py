"""Stand-ins for the platform's model servers and plain servers.

``PUT /faults`` sets the switches of ``ServerFaults``. ``GET /runs`` lists the accepted orders and
the requests that were run, each with the number of the event after which its stream resumed.
``GET /arrivals`` reports the windows with more requests than the limit that the server named.
"""

from __future__ import annotations

import errno
import json
import math
import time
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any

import attrs
import gevent

from ..clock import MS_PER_SECOND
from ..server import CLIENT_SOCKET
from .arrivals import ArrivalWindows
from .http import Environ, StartResponse, read_body, respond_json

NOT_RUN_HEADER = ("Not-Run", "1")


DRIP_PAUSE_S = 0.2
# Repeated texts whose characters have more than one byte in a stored object, and one of plain ones.
FILLINGS = {
    "japanese": "審査員は毛並みと歩様を見る",
    "emoji": "\U0001f416\U0001f9aa",
    "control": "\x00\x01\x1b\x7f\t",
    "ascii": "plain text, ",
}
ENDLESS_BYTES = 64 * 1024


def _repeat_forever(piece: bytes, pause_s: float) -> Iterator[bytes]:
    while True:
        yield piece
        gevent.sleep(pause_s)


@attrs.frozen
class Play:
    """What a request asks of a server in its body: ``play work_ms=900 event_ms=40 emoji=5000``."""

    # Duration of a response that is no stream, and pause before each event of one.
    work_ms: int = 0
    event_ms: int | None = None
    # Number of events; 0 for the server's usual one.
    events: int = 0
    # Text that each event has in its middle.
    filling: str = ""

    @classmethod
    def parse(cls, body: str) -> Play:
        """Return what a body asks for; a body that asks for nothing changes nothing."""
        name, *words = body.split()[:8] or [""]
        if name != "play":
            return cls()
        wanted = {key: int(value) for key, _, value in (word.partition("=") for word in words)}
        filling = ""
        for kind, text in FILLINGS.items():
            length = wanted.get(kind, 0)
            filling += (text * (length // len(text) + 1))[:length]
        return cls(
            wanted.get("work_ms", 0), wanted.get("event_ms"), wanted.get("events", 0), filling
        )


def event_text(number: int, events: int, software: str, filling: str = "") -> str:
    """Return the data of one event."""
    return f"{number}-of-{events}{filling}" + (f" by {software}" if software else "")


@attrs.define
class ServerFaults:
    """Fault switches; a count is the number of requests that still have the fault."""

    # Refuse as overloaded; run and respond with 500; run and close without a response.
    refuse: int = 0
    fail: int = 0
    lose_answers: int = 0
    # Break one stream in the middle of the event after the one of this number.
    break_after: int | None = None
    # Send a second response that nothing asked for after a complete one.
    surplus: int = 0
    # Send a response without the header of the server's proof.
    unproved: int = 0
    # Send an incomplete event slowly, or endless data, until the client closes the connection.
    drip: int = 0
    endless: int = 0
    # Delay the response of a plain server.
    slow_ms: int = 0
    # Say in each response that the server is leaving.
    leaving: bool = False
    # Values of the header that names a rate limit, each in a header of its own.
    limit: list[str] = attrs.field(factory=list)
    # Statuses of the next answers, one each, which may be none of an answer.
    odd_statuses: list[str] = attrs.field(factory=list)
    # Fail each request whose id ends with this text.
    fail_suffix: str = ""
    # Close without a response to an order and don't carry it out.
    ignore_orders: int = 0
    # Crash this long after the start of a run whose request has this text in its body.
    crash_text: str = ""
    crash_after_ms: int = 30


@attrs.define
class PlatformServerStandIn:
    """Serve the requests of one server; one with ``versions`` is a model server."""

    instance: str
    # Version of its software, which marks the text of each event if it is set.
    software: str = ""
    versions: dict[str, int] = attrs.field(factory=dict)
    events: int = 5
    event_ms: int = 5
    load_ms: int = 200
    # Number of requests that a plain server runs at once, and refuses more; 0 for no limit.
    slots: int = 0
    running: int = 0
    # Duration of each response of a plain server that asks for no other one.
    work_ms: int = 0
    faults: ServerFaults = attrs.field(factory=ServerFaults)
    runs: list[dict[str, Any]] = attrs.field(factory=list)
    orders: list[dict[str, Any]] = attrs.field(factory=list)
    loading: bool = False
    windows: ArrivalWindows = attrs.field(factory=ArrivalWindows)
    # Ends the server; called with the run under which it crashes.
    crash: Callable[[dict[str, Any]], None] = lambda _run: None

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request."""
        path = environ["PATH_INFO"]
        if path == "/faults":
            for name, value in json.loads(read_body(environ)).items():
                setattr(self.faults, name, value)
            return respond_json(start_response, 200, attrs.asdict(self.faults))
        if path == "/runs":
            found = {"runs": self.runs, "orders": self.orders, "versions": self.versions}
            return respond_json(start_response, 200, found)
        if path == "/arrivals":
            windows = {"total": self.windows.total, "breaches": self.windows.breaches}
            return respond_json(start_response, 200, windows)
        self.windows.record(time.monotonic(), environ.get("HTTP_REQUEST_ID", ""))
        named = [("Server-Limit", value) for value in self.faults.limit]

        def start_named(status: str, headers: list[tuple[str, str]]) -> Any:
            # A limit, or its end, is named once a response says so.
            self.windows.name_limit(self._named_limit(), time.monotonic())
            return start_response(status, [*headers, *named])

        return self._answer(environ, start_named)

    def _named_limit(self) -> float:
        limits = []
        for value in self.faults.limit:
            try:
                limits.append(float(value))
            except ValueError:
                continue
        return min((limit for limit in limits if limit >= 0.0), default=math.inf)

    def _answer(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        expected = environ.get("HTTP_EXPECT_INSTANCE", self.instance)
        if expected != self.instance:
            headers = [NOT_RUN_HEADER, ("Instance", self.instance)]
            return respond_json(start_response, HTTPStatus.MISDIRECTED_REQUEST, None, headers)
        if path == "/api/report":
            return respond_json(start_response, 200, self._report())
        if path == "/api/order":
            return self._order(json.loads(read_body(environ)), start_response)
        return self._run(environ, start_response)

    def _report(self) -> dict[str, Any]:
        models = [{"name": name, "version": self.versions[name]} for name in self.versions]
        return {
            "stage": "both",
            "models": models,
            "busy": self.loading,
            "seq": len(self.orders),
            "queued": 0,
            "active": 0,
        }

    def _order(self, order: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        if "holder" not in order or "fencing_token" not in order:
            return respond_json(start_response, HTTPStatus.BAD_REQUEST, None)
        if self.loading or order.get("expected", len(self.orders)) != len(self.orders):
            return respond_json(start_response, HTTPStatus.CONFLICT, None)
        if self.versions.get(order["model"]) == order["version"]:
            return respond_json(start_response, HTTPStatus.OK, None)
        if self.faults.ignore_orders > 0:
            self.faults.ignore_orders -= 1
            raise ConnectionResetError(errno.ECONNRESET, "stand-in loses the order")
        self.orders.append({**order, "at": time.monotonic()})
        self.loading = True
        gevent.spawn_later(self.load_ms / MS_PER_SECOND, self._finish_load, order)
        return respond_json(start_response, HTTPStatus.ACCEPTED, None)

    def _finish_load(self, order: dict[str, Any]) -> None:
        self.versions[order["model"]] = order["version"]
        self.loading = False

    def _run(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        request = environ.get("HTTP_REQUEST_ID", "")
        body = read_body(environ)
        headers = [("Request-Id", request)]
        if self.faults.leaving:
            headers.append(("Server-Leaving", "1"))
        if not request:
            return respond_json(start_response, HTTPStatus.BAD_REQUEST, None, [NOT_RUN_HEADER])
        full = 0 < self.slots <= self.running
        if self.loading or full or self._consume_fault("refuse"):
            status = HTTPStatus.SERVICE_UNAVAILABLE
            return respond_json(start_response, status, None, [*headers, NOT_RUN_HEADER])
        after = int(environ.get("HTTP_LAST_EVENT_ID", "0"))
        run = {
            "at": time.monotonic(),
            "request": request,
            "target": environ["PATH_INFO"],
            "software": self.software,
            "body": body.decode(),
            "after": after,
            "model": environ.get("HTTP_MODEL", ""),
            "account": environ.get("HTTP_TENANT", ""),
            # A gateway must not pass a client's key on while there are accounts.
            "credential": environ.get("HTTP_AUTHORIZATION", ""),
            "proof": f"{self.instance}.{len(self.runs) + 1}",
            # When the last event of a stream was sent; None until then.
            "ended": None,
        }
        self.runs.append(run)
        self._crash_if_deadly(run)
        if not self._consume_fault("unproved"):
            headers.append(("Server-Stamp", run["proof"]))
        failed = self._fail(request, start_response, headers)
        if failed is not None:
            return failed
        if self._consume_fault("drip"):
            start_response("200 OK", [*headers, ("Weight-Versions", "1")])
            return _repeat_forever(b":", DRIP_PAUSE_S)
        if self._consume_fault("endless"):
            start_response("200 OK", [*headers, ("Weight-Versions", "1")])
            return _repeat_forever(b"x" * ENDLESS_BYTES, 0.0)
        if self._consume_fault("lose_answers"):
            raise ConnectionResetError(errno.ECONNRESET, "stand-in loses the answer")
        if self.versions:
            model = environ.get("HTTP_MODEL", "")
            version = self.versions.get(model, 0)
            headers += [("Weight-Versions", str(version)), ("Content-Type", "text/event-stream")]
            start_response("200 OK", headers)
            return self._stream(model, after, run)
        return self._plain(environ, start_response, headers, body)

    def _fail(
        self, request: str, start_response: StartResponse, headers: list[tuple[str, str]]
    ) -> list[bytes] | None:
        """Answer a request with a failure; None if it has no such fault."""
        if self.faults.odd_statuses:
            status = self.faults.odd_statuses.pop(0)
            start_response(f"{status} Odd", [*headers, ("Content-Length", "2")])
            return [b"{}"]
        suffix = self.faults.fail_suffix
        if self._consume_fault("fail") or (suffix and request.endswith(suffix)):
            failed = HTTPStatus.INTERNAL_SERVER_ERROR
            return respond_json(start_response, failed, {"error": "failed"}, headers)
        return None

    def _crash_if_deadly(self, run: dict[str, Any]) -> None:
        if not self.faults.crash_text or self.faults.crash_text not in run["body"]:
            return
        gevent.sleep(self.faults.crash_after_ms / MS_PER_SECOND)
        self.crash(run)
        raise ConnectionResetError(errno.ECONNRESET, "stand-in crashes")

    def _plain(
        self, environ: Environ, start_response: StartResponse, headers: Any, body: bytes
    ) -> Iterable[bytes]:
        work_ms = self.faults.slow_ms + (Play.parse(body.decode()).work_ms or self.work_ms)
        self.running += 1
        try:
            gevent.sleep(work_ms / MS_PER_SECOND)
        finally:
            self.running -= 1
        response_body = json.dumps({"server": self.instance, "received": body.decode()}).encode()
        start_response("200 OK", [*headers, ("Content-Length", str(len(response_body)))])
        if self._consume_fault("surplus"):
            sock = environ[CLIENT_SOCKET].sock
            text = response_body.decode()
            second_response = (
                f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\nRequest-Id: x\r\n\r\n{text}"
            )
            gevent.spawn_later(0.05, sock.sendall, second_response.encode())
        return [response_body]

    def _consume_fault(self, fault: str) -> bool:
        left = getattr(self.faults, fault)
        if left > 0:
            setattr(self.faults, fault, left - 1)
        return bool(left > 0)

    def _stream(self, model: str, after: int, run: dict[str, Any]) -> Iterator[bytes]:
        version = self.versions.get(model, 0)
        play = Play.parse(run["body"])
        event_ms = self.event_ms if play.event_ms is None else play.event_ms
        events = play.events or self.events
        for number in range(after + 1, events + 1):
            gevent.sleep(event_ms / MS_PER_SECOND)
            version_line = ""
            if self.versions.get(model, 0) != version:
                version = self.versions[model]
                version_line = f"weight-versions: {version}\n"
            text = event_text(number, events, self.software, play.filling)
            event = f"{version_line}id: {number}\ndata: {text}\n\n".encode()
            if self.faults.break_after == number - 1 and after < number - 1:
                self.faults.break_after = None
                yield event[: len(event) // 2]
                raise ConnectionResetError(errno.ECONNRESET, "stand-in breaks off")
            if number == events:
                run["ended"] = time.monotonic()
            yield event
