"""Guards against request smuggling: requests that are hidden inside malformed ones."""

import socket

import pytest
import structlog

from pistachionotch.clock import SystemClock
from pistachionotch.gateway.calls import BufferedResponse
from pistachionotch.gateway.catalog import Catalog, ClientLimits, Route, RouteKind, ServiceShare
from pistachionotch.platform.ingress import IngressApp
from pistachionotch.server import make_server

ROUTE = Route(
    name="r",
    host="h",
    prefix="/p/",
    kind=RouteKind.SAFE,
    shares=(ServiceShare("s", 1),),
    timeout_ms=0,
    objective_ms=100,
    priority=0,
    max_attempts=1,
)
CATALOG = Catalog(1, (ROUTE,), {}, ClientLimits(max_body_bytes=100))
SMUGGLED_REQUEST = b"POST /p/hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


class FakeForwarder:
    """Respond to every call and record its target."""

    def __init__(self):
        self.targets = []
        self.sessions = []

    def forward(self, call, route):
        self.targets.append(call.target)
        self.sessions.append(call.session)
        return BufferedResponse(200, (), b"ok")


@pytest.fixture
def gateway():
    forwarder = FakeForwarder()
    log = structlog.get_logger()
    app = IngressApp(
        SystemClock(),
        lambda: CATALOG,
        forwarder,
        None,
        lambda: False,
        lambda: False,
        log,
    )
    server = make_server("127.0.0.1", 0, app)
    server.start()
    yield server, forwarder
    server.stop(timeout=0)


def exchange(server, data):
    """Send bytes and return all that is received until the connection closes."""
    with socket.create_connection(("127.0.0.1", server.server_port), timeout=3) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while part := sock.recv(65_536):
            received += part
        return received


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 0\r\nTransfer-Encoding: chunked",
        b"Content-Length: 0\r\nContent-Length: 60",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        b"Transfer-Encoding: gzip, chunked",
        b"Transfer-Encoding: identity",
        b"Content-Length: +0",
        b"Content-Length: 0_0",
        b"Content-Length: 0,0",
        b"Content-Length: ",
    ],
)
def test_no_request_is_read_after_a_malformed_one(gateway, framing):
    server, forwarder = gateway
    head = b"POST /p/x HTTP/1.1\r\nHost: h\r\n" + framing + b"\r\n\r\n"
    received = exchange(server, head + SMUGGLED_REQUEST)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert received.count(b"HTTP/1.1 ") == 1
    assert forwarder.targets == []


@pytest.mark.parametrize(
    "line",
    [
        b"X-Note : by phone",
        "X-Gr\u00f6\u00dfe: 5".encode(),
        b"by phone",
        b" folded: value",
        b"\tfolded",
        b": no name",
        b"X-Note: a\rContent-Length: 0",
        b"X-Note: a\x00b",
        b"X Note: a",
    ],
)
@pytest.mark.parametrize("place", ["before", "after"])
def test_a_header_line_that_cannot_be_parsed_takes_no_body_from_its_request(gateway, line, place):
    # The lines after it were dropped, with the length; the body was read as the next request.
    server, forwarder = gateway
    length = b"Content-Length: %d" % len(SMUGGLED_REQUEST)
    lines = [line, length] if place == "before" else [length, line]
    head = b"\r\n".join([b"POST /p/x HTTP/1.1", b"Host: h", *lines, b"", b""])
    received = exchange(server, head + SMUGGLED_REQUEST)
    assert received.startswith(b"HTTP/1.1 400 ")
    assert received.count(b"HTTP/1.1 ") == 1
    assert forwarder.targets == []


@pytest.mark.parametrize("line", [b"X-Note:", b"X-Note:\tby phone ", b"x!#$%&'*+-.^_`|~9: \xff:"])
def test_unusual_headers_are_accepted(gateway, line):
    server, forwarder = gateway
    head = b"POST /p/x HTTP/1.1\r\nHost: h\r\n" + line + b"\r\nContent-Length: 2\r\n\r\nok"
    assert exchange(server, head).startswith(b"HTTP/1.1 200 ")
    assert forwarder.targets == ["/p/x"]


def test_too_large_body_closes_the_connection(gateway):
    server, forwarder = gateway
    head = b"POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"
    received = exchange(server, head + b"x" * 101 + SMUGGLED_REQUEST)
    assert received.startswith(b"HTTP/1.1 413 ")
    assert forwarder.targets == []


def test_well_formed_requests_share_a_connection(gateway):
    server, forwarder = gateway
    received = exchange(server, SMUGGLED_REQUEST * 2)
    assert received.count(b"HTTP/1.1 200 ") == 2
    assert forwarder.targets == ["/p/hidden", "/p/hidden"]


@pytest.mark.parametrize("last", [b"x", b"-1", b"1.5", b"3, 4", b"\xb2", b"9" * 30])
def test_a_last_event_that_is_no_number_starts_no_stream_anew(gateway, last):
    server, forwarder = gateway
    head = b"POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nLast-Event-Id: " + last
    received = exchange(server, head + b"\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 400 ")
    assert forwarder.targets == []


def test_calls_with_the_same_last_shared_part_of_their_prompts_are_one_session(gateway):
    server, forwarder = gateway
    for lines in (
        "",
        "5d07b8:40,9c2e41:300",
        "5d07b9:40, 9c2e41:364 ,",
        "5d07b8:40\r\nPrompt-Prefix: 9c2e41:1",
        "5d07b8:40",
    ):
        named = f"Prompt-Prefix: {lines}\r\n" if lines else ""
        exchange(server, f"GET /p/x HTTP/1.1\r\nHost: h\r\n{named}\r\n".encode())
    none, *same, other = forwarder.sessions
    assert none == "" and len(set(same)) == 1 and other not in ("", *same)
    assert len(other) <= 16
