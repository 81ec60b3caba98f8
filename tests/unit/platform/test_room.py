"""Guards against clients that keep a gateway's room, and against refusals that say too little."""

import socket
import types

import gevent
import pytest
import structlog

from pistachionotch.clock import SystemClock
from pistachionotch.gateway.catalog import Catalog, ClientLimits, Route, RouteKind, ServiceShare
from pistachionotch.gateway.responses import BufferedResponse, StreamingResponse
from pistachionotch.limits.byte_budget import ByteBudget
from pistachionotch.limits.connection_table import ConnectionTable
from pistachionotch.measures import Measures
from pistachionotch.platform import ingress
from pistachionotch.platform.ingress import IngressApp
from pistachionotch.server import make_server

MEGABYTE = 1024 * 1024
KINDS = {"/p/": RouteKind.UNSAFE, "/b/": RouteKind.BATCH}


def route(prefix):
    return Route(
        name=prefix,
        host="h",
        prefix=prefix,
        kind=KINDS[prefix],
        shares=(ServiceShare("s", 1),),
        timeout_ms=0,
        objective_ms=100,
        priority=0,
        max_attempts=1,
    )


CATALOG = Catalog(1, tuple(route(each) for each in KINDS), {}, ClientLimits())


class Gateway:
    def __init__(self, max_bytes=8 * MEGABYTE, max_connections=4):
        self.calls = []
        self.response = BufferedResponse(200, (), b"ok")
        self.measures = Measures()
        self.budget = ByteBudget(SystemClock(), max_bytes, structlog.get_logger(), self.measures)
        owner = types.SimpleNamespace(has_room=lambda _size: False)
        app = IngressApp(
            SystemClock(),
            lambda: CATALOG,
            self,
            types.SimpleNamespace(owner=owner),
            lambda: False,
            lambda: False,
            structlog.get_logger(),
            budget=self.budget,
        )
        table = ConnectionTable(SystemClock(), max_connections)
        self.server = make_server("127.0.0.1", 0, app, table, self.measures)
        self.server.start()

    def forward(self, call, _route):
        self.calls.append(len(call.body))
        return self.response

    def open(self, data=b""):
        sock = socket.create_connection(("127.0.0.1", self.server.server_port), timeout=5)
        sock.sendall(data)
        gevent.sleep(0.05)
        return sock


@pytest.fixture
def gateway():
    started = Gateway()
    yield started
    started.server.stop(timeout=0)


def request(size, sent=None, path="/p/x"):
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"
    return head.encode() + b"x" * (size if sent is None else sent)


def status(sock):
    return sock.recv(65_536).split(b"\r\n")[0]


def ends(sock):
    try:
        return sock.recv(1) == b""
    except ConnectionResetError:
        return True


def test_a_body_that_stalls_is_cut_for_another_and_told_so(gateway):
    stalled = gateway.open(request(6 * MEGABYTE, 6 * MEGABYTE - 1))
    gevent.sleep(0.5)
    assert status(gateway.open(request(4 * MEGABYTE))) == b"HTTP/1.1 200 OK"
    answer = stalled.recv(65_536)
    assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: " in answer
    assert b"Connection: close" in answer
    assert gateway.calls == [4 * MEGABYTE]
    assert gateway.measures.counters[("cut_for_room", "body")] == 1
    assert gateway.budget.used_bytes == 0


def test_a_body_stays_while_nobody_needs_its_room(gateway):
    body = request(6 * MEGABYTE)
    sock = gateway.open(body[:-1])
    gevent.sleep(0.5)
    sock.sendall(body[-1:])
    assert status(sock) == b"HTTP/1.1 200 OK"


def test_an_answer_that_is_not_read_is_cut_for_another_request(gateway):
    gateway.response = BufferedResponse(200, (), b"a" * 6 * MEGABYTE)
    silent = gateway.open(request(1))
    gevent.sleep(0.5)
    assert gateway.budget.used_bytes >= 6 * MEGABYTE
    gateway.response = BufferedResponse(200, (), b"ok")
    assert status(gateway.open(request(4 * MEGABYTE))) == b"HTTP/1.1 200 OK"
    gevent.sleep(0.05)
    assert gateway.budget.used_bytes == 0
    with pytest.raises(ConnectionError):
        while silent.recv(65_536):
            continue


def test_a_large_answer_arrives_whole_and_gives_its_room_back(gateway):
    gateway.response = BufferedResponse(200, (), b"a" * 6 * MEGABYTE)
    sock = gateway.open(request(1))
    received = b""
    while len(received) < 6 * MEGABYTE:
        received += sock.recv(MEGABYTE)
    assert received.endswith(b"\r\n\r\n" + b"a" * 6 * MEGABYTE)
    gevent.sleep(0.05)
    assert gateway.budget.used_bytes == 0


def test_a_stream_keeps_its_requests_body_until_it_ends(gateway):
    go_on = gevent.event.Event()

    def parts():
        yield b"first"
        go_on.wait()
        yield b"last"

    gateway.response = StreamingResponse(200, (), parts())
    sock = gateway.open(request(MEGABYTE))
    assert gateway.budget.used_bytes == MEGABYTE
    go_on.set()
    gevent.sleep(0.05)
    assert gateway.budget.used_bytes == 0
    assert sock.recv(65_536).endswith(b"0\r\n\r\n")


def test_an_answer_counts_while_it_is_received(gateway):
    seen = []

    def forward(call, _route):
        call.hold_answer(10 * MEGABYTE)
        seen.append(gateway.budget.used_bytes)
        return gateway.response

    gateway.forward = forward
    assert status(gateway.open(request(1))) == b"HTTP/1.1 200 OK"
    assert seen == [10 * MEGABYTE + 1]
    assert gateway.budget.used_bytes == 0


def test_a_body_ends_at_its_time_limit(gateway, monkeypatch):
    monkeypatch.setattr(ingress, "CLIENT_BODY_TIMEOUT_S", 0.3)
    sock = gateway.open(request(1_000, 1))
    for _ in range(4):
        sock.sendall(b"x")
        gevent.sleep(0.05)
    answer = sock.recv(65_536)
    assert answer.startswith(b"HTTP/1.1 503") and b"Connection: close" in answer
    assert gateway.budget.used_bytes == 0


def test_header_lines_have_a_limit_in_all(gateway):
    # A hundred lines of 64 KiB each were kept, 6.5 MB for each connection without a request.
    line = b"X-Long: " + b"x" * 4_000 + b"\r\n"
    small = gateway.open(b"POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" + 4 * line)
    small.sendall(b"\r\n")
    assert status(small) == b"HTTP/1.1 200 OK"
    large = gateway.open(b"POST /p/x HTTP/1.1\r\nHost: h\r\n" + 17 * line)
    assert status(large).startswith(b"HTTP/1.1 400")


def test_a_submission_without_room_is_refused_before_it_is_parsed(gateway):
    answer = gateway.open(request(100, path="/b/x")).recv(65_536)
    assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: " in answer
    # Clients do not send a request again after 413, but another gateway may have more memory.
    too_large = gateway.open(request(4 * MEGABYTE, path="/b/x")).recv(65_536)
    assert too_large.startswith(b"HTTP/1.1 503") and b"Retry-After: " in too_large


def test_the_longest_idle_connection_is_closed_for_a_new_one(gateway):
    idle = [gateway.open() for _ in range(4)]
    assert status(gateway.open(request(1))) == b"HTTP/1.1 200 OK"
    assert ends(idle[0])
    idle[1].sendall(request(1))
    assert status(idle[1]) == b"HTTP/1.1 200 OK"


def test_a_connection_without_a_place_is_told_that_nothing_has_run(gateway):
    release = gevent.event.Event()
    gateway.forward = lambda *_call: release.wait() and gateway.response
    held = [gateway.open(request(1)) for _ in range(4)]
    answer = gateway.open().recv(65_536)
    assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: " in answer
    release.set()
    assert [status(each) for each in held] == [b"HTTP/1.1 200 OK"] * 4
