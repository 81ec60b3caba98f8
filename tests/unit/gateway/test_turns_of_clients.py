"""Guards against one client that keeps a gateway from serving all others."""

import time
from io import BytesIO

import gevent
from gevent import monkey
from gevent.pywsgi import Input

from pistachionotch.clock import SystemClock
from pistachionotch.limits.byte_budget import ByteBudget, Purpose
from pistachionotch.logs import logger
from pistachionotch.request_bodies import BodyReader
from pistachionotch.server import make_server

# A call must not be held for longer beyond the limit of its route.
LONGEST_TURN_S = 0.5
BODY_BYTES = 1_000_000
PIPELINED_S = 3.0
REQUEST = b"GET /gone HTTP/1.1\r\nHost: h\r\n\r\n"


class Turns:
    """Measures the longest time between two turns of a task that waits 1 ms each time."""

    def __enter__(self):
        self.longest = 0.0
        self.task = gevent.spawn(self._run)
        gevent.sleep(0.01)
        return self

    def _run(self):
        last = time.monotonic()
        while True:
            gevent.sleep(0.001)
            now = time.monotonic()
            self.longest = max(self.longest, now - last)
            last = now

    def __exit__(self, *_error):
        gevent.sleep(0.01)
        self.task.kill()


def body_reader():
    return BodyReader(
        2 * BODY_BYTES, ByteBudget(SystemClock(), 10**8, logger("room")), Purpose.BODY, 60.0
    )


def test_others_get_a_turn_while_a_body_arrives_in_chunks_of_one_byte():
    # 8 MB in such chunks, all of which are there at once, took 25 s without a turn for others.
    source = Input(BytesIO(b"1\r\nx\r\n" * BODY_BYTES + b"0\r\n\r\n"), None, chunked_input=True)
    with Turns() as turns, body_reader().read({"wsgi.input": source}) as body:
        assert body == b"x" * BODY_BYTES
    assert turns.longest < LONGEST_TURN_S


def test_others_get_a_turn_while_an_unread_body_of_such_chunks_is_discarded():
    server = make_server("127.0.0.1", 0, refuse)
    server.start()
    body = b"1\r\nx\r\n" * 150_000 + b"0\r\n\r\n"
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    with Turns() as turns:
        sent = gevent.get_hub().threadpool.spawn(send_all, server.server_port, head + body)
        assert sent.get(timeout=30).startswith(b"HTTP/1.1 404 ")
    server.stop(timeout=0)
    assert turns.longest < LONGEST_TURN_S


def test_others_get_a_turn_while_one_client_sends_requests_ahead():
    server = make_server("127.0.0.1", 0, refuse)
    server.start()
    with Turns() as turns:
        sent = gevent.get_hub().threadpool.spawn(send_ahead, server.server_port)
        assert sent.get(timeout=30) > 100
    server.stop(timeout=0)
    assert turns.longest < LONGEST_TURN_S


def refuse(_environ, start_response):
    start_response("404 Not Found", [("Content-Length", "0")])
    return [b""]


def open_socket(port):
    """Return a socket of the system, for use in a thread of its own."""
    sock = monkey.get_original("socket", "socket")()
    sock.connect(("127.0.0.1", port))
    sock.settimeout(10)
    return sock


def send_all(port, data):
    sock = open_socket(port)
    sock.sendall(data)
    received = sock.recv(1_000)
    sock.close()
    return received


def send_ahead(port):
    """Keep many requests ahead of their answers; returns the number of answers."""
    sock = open_socket(port)
    answers, ahead = 0, 0
    end = time.monotonic() + PIPELINED_S
    while time.monotonic() < end:
        if ahead < 3_000:
            sock.sendall(REQUEST * 500)
            ahead += 500
        count = sock.recv(65_536).count(b"HTTP/1.1 ")
        answers, ahead = answers + count, ahead - count
    sock.close()
    return answers
