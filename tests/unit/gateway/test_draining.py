"""Guards against requests that are cut off, or lost, in a planned stop."""

import socket
import time
import types

import gevent
import pytest
import structlog

from pistachionotch.batches.model import ResultPage
from pistachionotch.clock import ManualClock, SystemClock
from pistachionotch.gateway.call_progress import expected_call
from pistachionotch.gateway.catalog import Catalog, ClientLimits, Route, RouteKind, ServiceShare
from pistachionotch.gateway.drain_steps import drain_gateway
from pistachionotch.gateway.draining import BatchEnd, BatchRead, Call, Drain
from pistachionotch.gateway.responses import BufferedResponse, ClientCall, StreamingResponse
from pistachionotch.measures import Measures
from pistachionotch.platform.ingress import IngressApp
from pistachionotch.server import make_server

GRACES_MS = [500, 1_000, 3_000, 8_000, 30_000, 120_000]


def begun(grace_ms, after_ms=0):
    clock = ManualClock(1_000)
    drain = Drain(clock)
    drain.begin(grace_ms)
    clock.advance(after_ms)
    return drain


@pytest.mark.parametrize("grace_ms", GRACES_MS)
def test_open_requests_are_cut_off_in_the_last_sixth_and_before_the_kill(grace_ms):
    # They were cut 1.4 s before the end of 8 s; the last sixth, which is excused, is 1.33 s.
    drain = begun(grace_ms)
    assert grace_ms * 5 / 6 < drain.left_ms() < grace_ms
    assert drain.left_ms() + drain.final_read_ms < grace_ms


@pytest.mark.parametrize("grace_ms", GRACES_MS)
def test_batches_and_the_lease_are_handed_over_in_the_first_half(grace_ms):
    drain = begun(grace_ms)
    assert drain.readiness_delay_ms + drain.release_timeout_ms <= grace_ms / 2
    assert drain.readiness_delay_ms <= 2_500


@pytest.mark.parametrize("grace_ms", GRACES_MS)
@pytest.mark.parametrize("share", [0.0, 0.25, 0.5, 0.75, 0.9, 1.0])
def test_what_may_outlast_the_process_is_refused(grace_ms, share):
    drain = begun(grace_ms, int(grace_ms * share))
    left_ms = drain.left_ms()
    for repeatable in (True, False):
        assert drain.may_begin(Call(left_ms, repeatable))
        assert not drain.may_begin(Call(left_ms + 1, repeatable))
    # A usual duration says nothing certain about a request that may not be repeated.
    assert not drain.may_begin(Call(left_ms + 1, False, 1.0))
    assert drain.may_begin(Call(left_ms + 1, True, 1.0)) == (left_ms >= 600)
    assert not drain.may_begin(Call(left_ms + 1, True, left_ms + 1))


def test_nothing_is_refused_before_a_drain():
    drain = Drain(ManualClock())
    assert drain.may_begin(Call(10**9, False)) and drain.may_begin(BatchEnd())
    assert drain.wait_within(1_000) == 1_000


def test_a_read_waits_no_longer_than_it_can_be_answered():
    assert begun(8_000).wait_within(1_000) == 1_000
    late = begun(8_000, 5_000)
    assert 0 < late.wait_within(1_000) < 1_000
    assert late.may_begin(BatchRead(late.wait_within(1_000)))
    assert not begun(8_000, 7_000).may_begin(BatchRead())


def test_a_client_is_sent_elsewhere_at_once_if_there_is_another_gateway():
    drain = begun(8_000)
    assert drain.retry_after_ms() == 0
    drain.others_serve = lambda: False
    assert drain.retry_after_ms() == drain.left_ms() > 0


def upstream(response_ms):
    return types.SimpleNamespace(response_ms=response_ms)


def test_only_a_repeatable_call_of_known_duration_is_expected_to_be_short():
    call = ClientCall(
        request_id="x",
        method="POST",
        target="/",
        host="h",
        headers=(),
        body=b"",
        received_ms=0,
        budget_ms=3_000,
    )
    safe, unsafe = route(RouteKind.SAFE), route(RouteKind.UNSAFE)
    assert expected_call(call, safe, [upstream(30.0), upstream(50.0)], 10).usual_ms == 50.0
    assert expected_call(call, safe, [upstream(30.0), upstream(None)], 10).usual_ms is None
    assert expected_call(call, safe, [], 10).usual_ms is None
    assert not expected_call(call, unsafe, [upstream(30.0)], 10).repeatable
    assert not expected_call(call, route(RouteKind.STREAM), [], 10).repeatable
    assert expected_call(call, safe, [], 10).limit_ms == 2_990


def route(kind, timeout_ms=0):
    return Route(
        name=kind.value,
        host="h",
        prefix=f"/{kind.value}/",
        kind=kind,
        shares=(ServiceShare("s", 1),),
        timeout_ms=timeout_ms,
        objective_ms=100,
        priority=0,
        max_attempts=1,
    )


CATALOG = Catalog(1, tuple(route(kind) for kind in RouteKind), {}, ClientLimits())
GRACE_MS = 2_400
# A call takes this long at its server.
WORK_MS = 900


class Server:
    """Forwarder to a server that works on each call, and on each stream, for WORK_MS."""

    def __init__(self):
        self.passed_on = []
        self.finished = []

    def upstreams(self, _route):
        return []

    def forward(self, call, called):
        self.passed_on.append(call.request_id)
        if called.kind is RouteKind.STREAM:
            return StreamingResponse(200, (), self._events(call))
        gevent.sleep(WORK_MS / 1_000)
        self.finished.append(call.request_id)
        return BufferedResponse(200, (), b"done")

    def _events(self, call):
        for _ in range(9):
            gevent.sleep(WORK_MS / 9_000)
            yield b"event"
        self.finished.append(call.request_id)


class Batches:
    """Batch service whose reads wait as long as they may."""

    draining = False
    ownership_transfer = types.SimpleNamespace(hand_off=lambda run: None)

    def __init__(self):
        self.ended = []

    def submit(self, submission, _route):
        gevent.sleep(0.05)

    def read(self, _batch, _position, wait_ms):
        gevent.sleep(wait_ms / 1_000)
        return ResultPage(total=1, results=(), next_position=0)

    def item_body(self, _batch, _item):
        return b"body"

    def end(self, batch):
        self.ended.append(batch)


class Daemon:
    """The parts of a gateway that its drain uses, with a real HTTP server."""

    def __init__(self):
        self.clock = SystemClock()
        self.settings = types.SimpleNamespace(drain_grace_ms=GRACE_MS, node="n")
        self.drain_plan = Drain(self.clock)
        self.limits = types.SimpleNamespace(broker=types.SimpleNamespace(resigned=False))
        self.batches = Batches()
        self.owner = types.SimpleNamespace(runs={})
        self.released_ms = None
        self.orders = types.SimpleNamespace(lease=types.SimpleNamespace(release=self._release))
        self.state = "serving"
        self.measures = Measures()
        self.rejecting_requests = False
        self.forwarder = Server()
        self.ingress = IngressApp(
            self.clock,
            lambda: CATALOG,
            self.forwarder,
            self.batches,
            lambda: self.state != "serving",
            lambda: self.rejecting_requests,
            structlog.get_logger(),
            self.drain_plan,
        )
        self.servers = [make_server("127.0.0.1", 0, self.ingress)]
        self.servers[0].start()

    def _release(self):
        self.released_ms = self.drain_plan.left_ms()

    @property
    def open_requests(self):
        return len(self.servers[0].open_connections())


@pytest.fixture
def daemon():
    found = Daemon()
    yield found
    for server in found.servers:
        server.stop(timeout=0)


class KeptConnection:
    """A connection that was opened, and used for one request, before the drain."""

    def __init__(self, daemon):
        self.sock = socket.create_connection(("127.0.0.1", daemon.servers[0].server_port))
        self.sock.settimeout(5)
        assert self.ask("GET", "/none/x", "first")[0] == 404

    def ask(self, method, target, request, headers=()):
        """Return status (0 without a whole answer) and headers; sends one request."""
        lines = [f"{method} {target} HTTP/1.1", "Host: h", f"Request-Id: {request}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Content-Length: 0"] if method == "POST" else []
        try:
            self.sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
            return self._read()
        except OSError:
            return 0, {}

    def _read(self):
        received = b""
        while b"\r\n\r\n" not in received:
            if not (part := self.sock.recv(65_536)):
                return 0, {}
            received += part
        head, _, body = received.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        headers = {name.lower(): value for name, _, value in (li.partition(": ") for li in lines)}
        status = int(first.split()[1])
        chunked = "chunked" in headers.get("transfer-encoding", "")
        while (
            (not body.endswith(b"0\r\n\r\n"))
            if chunked
            else (len(body) < int(headers["content-length"]))
        ):
            if not (part := self.sock.recv(65_536)):
                return 0, headers
            body += part
        return status, headers


KINDS = ["safe", "unsafe", "stream"]


@pytest.mark.parametrize("kind", KINDS)
def test_late_requests_on_kept_connections_are_finished_or_refused_and_never_cut(daemon, kind):
    # Each of them was passed on, and cut without an answer when the process ended.
    connections = [KeptConnection(daemon) for _ in range(12)]
    answers = {}
    # Ends when its client has gone; keeps the process until the cut-off.
    gevent.spawn(connections[0].ask, "POST", "/safe/x", "holds", [("Deadline-Ms", "9000")])
    gevent.sleep(0.05)
    drain = gevent.spawn(drain_gateway, daemon, "test")
    started = time.monotonic()

    def send(number, connection):
        gevent.sleep(0.1 + number * 0.2)
        sent = time.monotonic()
        budget_ms = WORK_MS + 100 if number % 2 else 5_000
        headers = [("Deadline-Ms", str(budget_ms))]
        status, found = connection.ask("POST", f"/{kind}/x", f"r{number}", headers)
        answers[f"r{number}"] = (status, found, time.monotonic() - sent, sent - started)

    jobs = [gevent.spawn(send, *each) for each in enumerate(connections[1:], start=1)]
    gevent.joinall([drain, *jobs], raise_error=True)
    assert time.monotonic() - started < GRACE_MS / 1_000
    for request, (status, headers, took_s, sent_s) in answers.items():
        passed_on = request in daemon.forwarder.passed_on
        assert status in (200, 503) or not passed_on, f"{request} sent at {sent_s:.2f}: {status}"
        if passed_on:
            assert status == 200 and request in daemon.forwarder.finished
        if status == 503:
            assert took_s < 0.1 and headers["retry-after"] == "0.000"
            assert headers["connection"] == "close"
    statuses = [status for status, *_rest in answers.values()]
    assert 200 in statuses and 503 in statuses


def test_a_call_that_is_unfinished_at_the_end_gets_an_answer_that_promises_nothing(daemon):
    connection = KeptConnection(daemon)
    daemon.forwarder.forward = lambda call, _route: gevent.sleep(60)
    asked = gevent.spawn(connection.ask, "POST", "/unsafe/x", "u", [("Deadline-Ms", "9000")])
    gevent.sleep(0.05)
    drain_gateway(daemon, "test")
    status, _headers = asked.get(timeout=1)
    assert status == 502


def test_late_reads_and_ends_are_answered_or_refused_at_once(daemon):
    connections = [KeptConnection(daemon) for _ in range(9)]
    gevent.spawn(connections[0].ask, "POST", "/safe/x", "holds", [("Deadline-Ms", "9000")])
    gevent.sleep(0.05)
    drain = gevent.spawn(drain_gateway, daemon, "test")
    found = []

    def send(number, connection):
        gevent.sleep(number * 0.25)
        method = "DELETE" if number % 2 else "GET"
        started = time.monotonic()
        status, _headers = connection.ask(
            method, f"/api/lots/b{number}", "x", [("Wait-Ms", "1000")]
        )
        found.append((status, time.monotonic() - started))
        if method == "DELETE":
            assert (status == 200) == (f"b{number}" in daemon.batches.ended)

    jobs = [gevent.spawn(send, *each) for each in enumerate(connections[1:], start=1)]
    gevent.joinall([drain, *jobs], raise_error=True)
    assert {status for status, _took in found} <= {200, 503, 0}
    assert all(took < 1.1 for _status, took in found)


def test_the_lease_is_released_long_before_the_cut_off(daemon):
    connection = KeptConnection(daemon)
    gevent.spawn(connection.ask, "POST", "/safe/x", "holds", [("Deadline-Ms", "9000")])
    gevent.sleep(0.05)
    drain_gateway(daemon, "test")
    assert daemon.released_ms > GRACE_MS / 3
