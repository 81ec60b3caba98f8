"""Guards against the framing of chunked bodies that keeps a process from serving others.

Trailers and the extensions of chunks are no content, so no limit on a body counted them, and they
were read byte by byte without a turn for others for as long as a client sent them.
"""

import time

import gevent
import pytest
from test_turns_of_clients import LONGEST_TURN_S, Turns, body_reader, open_socket, refuse

from pistachionotch.server import make_server

# The client of an endless body sends for at most this time.
SENDING_S = 5.0
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
TRAILER = b"X-Note: " + b"a" * 1_000 + b"\r\n"
# Begin of the body, and what is repeated without end.
ENDLESS = {
    "trailers": (b"5\r\nhello\r\n0\r\n", TRAILER * 16),
    "trailer of the smallest lines": (b"0\r\n", b"a:\r\n" * 4_000),
    "extension of each byte": (b"", (b"1;" + b"a" * 8_000 + b"\r\nx\r\n") * 2),
    "extension of each chunk": (b"", (b"3;" + b"a" * 8_000 + b"\r\nxyz\r\n") * 2),
}
LONGEST_SIZE = b"%016x\r\n" % 1


def read(environ, start_response):
    with body_reader().read(environ) as body:
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


def read_at_once(environ, start_response):
    body = environ["wsgi.input"].read(1_000_000)
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


@pytest.fixture(params=[read, read_at_once, refuse], ids=["read", "at once", "discarded"])
def server(request):
    found = make_server("127.0.0.1", 0, request.param)
    found.start()
    found.reads = request.param is not refuse
    yield found
    found.stop(timeout=0)


def exchange(port, data, endless=b""):
    """Send what is given, in a thread of its own; returns what came until the connection ended."""

    def send():
        sock, end = open_socket(port), time.monotonic() + SENDING_S
        received = b""
        try:
            sock.sendall(data)
            while endless and time.monotonic() < end:
                sock.sendall(endless)
        except OSError:
            # The server has closed the connection.
            endless_ended.append(True)
        try:
            while part := sock.recv(65_536):
                received += part
        except OSError:
            pass
        sock.close()
        return received

    endless_ended = []
    received = gevent.get_hub().threadpool.spawn(send).get(timeout=30)
    return received, bool(endless_ended)


@pytest.mark.parametrize("kind", ENDLESS)
def test_framing_without_end_is_given_up_and_leaves_others_their_turn(server, kind):
    begin, endless = ENDLESS[kind]
    with Turns() as turns:
        _received, ended = exchange(server.server_port, HEAD + begin, endless)
    assert turns.longest < LONGEST_TURN_S
    assert ended


@pytest.mark.parametrize(
    "body",
    [
        b"5;name=value\r\nhello\r\n0;last\r\n" + TRAILER * 16 + b"\r\n",
        (LONGEST_SIZE + b"x\r\n") * 20_000 + b"0\r\n\r\n",
        (b"100;signature=" + b"a" * 80 + b"\r\n" + b"x" * 256 + b"\r\n") * 500 + b"0\r\n\r\n",
    ],
    ids=["trailers", "longest sizes", "signed chunks"],
)
def test_ordinary_framing_is_read_to_its_end(server, body):
    last = b"GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    received, _ended = exchange(server.server_port, HEAD + body + last)
    status = b"HTTP/1.1 200 " if server.reads else b"HTTP/1.1 404 "
    assert received.count(status) == 2


def test_framing_is_limited_however_much_content_is_wanted(server):
    received, _ended = exchange(server.server_port, HEAD + b"0\r\n" + TRAILER * 300 + b"\r\n")
    assert not received.startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("trailer", [b"bad name: x\r\n\r\n", b": x\r\n\r\n", TRAILER * 100])
def test_nothing_after_malformed_framing_is_read_as_a_request(server, trailer):
    hidden = b"GET /hidden HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    received, _ended = exchange(server.server_port, HEAD + b"1\r\nx\r\n0\r\n" + trailer + hidden)
    assert received.count(b"HTTP/1.1 ") == 1
