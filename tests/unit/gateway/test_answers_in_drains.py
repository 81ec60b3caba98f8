"""Guards against answers that are cut off in a planned stop while their clients still read them."""

import socket
import threading
import time

import gevent
import pytest
import structlog
from test_draining import GRACE_MS, Daemon

from pistachionotch.gateway.drain_steps import drain_gateway
from pistachionotch.gateway.responses import BufferedResponse, StreamingResponse
from pistachionotch.server import make_server, mark_waiting

# Larger than what the system keeps for a client that does not read.
ANSWER_BYTES = 900_000
PART_BYTES = 30_000
# Parts of the grace period after which a reader is done; requests are cut off after 11/12 of it.
READ_SHARE = 0.75


@pytest.fixture
def daemon():
    found = Daemon()
    yield found
    for server in found.servers:
        server.stop(timeout=0)


class Reader:
    """A client that reads an answer at a constant pace, or not at all."""

    def __init__(self, port, method="POST", target="/safe/x", read_ms=READ_SHARE * GRACE_MS):
        self.read_ms = read_ms
        self.received = b""
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        self.sock.connect(("127.0.0.1", port))
        self.sock.settimeout(10)
        head = f"{method} {target} HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline-Ms: 9000\r\n"
        self.sock.sendall((head + "Content-Length: 0\r\n\r\n").encode())
        self.task = gevent.spawn(self._read) if read_ms is not None else None

    def _read(self):
        started = time.monotonic()
        while True:
            try:
                part = self.sock.recv(PART_BYTES)
            except OSError:
                return
            if not part:
                return
            self.received += part
            due = started + len(self.received) / ANSWER_BYTES * self.read_ms / 1_000
            gevent.sleep(max(0, due - time.monotonic()))

    @property
    def body_bytes(self):
        return len(self.received.partition(b"\r\n\r\n")[2])


class Answers:
    """Forwarder whose answers are there at once."""

    def __init__(self, response):
        self.response = response

    def forward(self, _call, _route):
        return self.response()

    def upstreams(self, _route):
        return []


def parts():
    for _ in range(ANSWER_BYTES // PART_BYTES):
        yield b"x" * PART_BYTES


def buffered():
    return BufferedResponse(200, (), b"x" * ANSWER_BYTES)


def streamed():
    return StreamingResponse(200, (), parts())


def drain(daemon):
    started = time.monotonic()
    drain_gateway(daemon, "test")
    return (time.monotonic() - started) * 1_000


@pytest.mark.parametrize("response", [buffered, streamed])
def test_an_answer_that_is_being_sent_is_read_to_its_end(daemon, response):
    daemon.ingress.forwarder = Answers(response)
    readers = [Reader(daemon.servers[0].server_port) for _ in range(4)]
    gevent.sleep(0.1)
    assert 0 < readers[0].body_bytes < ANSWER_BYTES / 2
    took_ms = drain(daemon)
    gevent.joinall([reader.task for reader in readers])
    for reader in readers:
        assert reader.body_bytes >= ANSWER_BYTES
    assert took_ms < GRACE_MS


def test_an_answer_to_another_gateway_is_read_to_its_end(daemon):
    def page(_environ, start_response):
        start_response("200 OK", [("Content-Length", str(ANSWER_BYTES))])
        return [b"x" * ANSWER_BYTES]

    peers = make_server("127.0.0.1", 0, page)
    peers.start()
    daemon.servers.append(peers)
    reader = Reader(peers.server_port, "GET", "/batches/b")
    gevent.sleep(0.1)
    drain(daemon)
    reader.task.join()
    assert reader.body_bytes == ANSWER_BYTES


def test_a_client_that_does_not_read_is_reported_and_does_not_outlast_the_grace(daemon):
    daemon.ingress.forwarder = Answers(buffered)
    reader = Reader(daemon.servers[0].server_port, read_ms=None)
    gevent.sleep(0.1)
    with structlog.testing.capture_logs() as lines:
        took_ms = drain(daemon)
    assert GRACE_MS * 11 / 12 <= took_ms < GRACE_MS
    line = next(line for line in lines if line["event"] == "answer cut off")
    assert line["reason"] == "its client reads too slowly"
    assert line["sent_bytes"] > 0 and line["left_bytes"] > ANSWER_BYTES / 4
    assert line["sent_bytes"] + line["left_bytes"] > ANSWER_BYTES
    assert daemon.measures.counters[("answers_cut_off", "sending")] == 1
    stopped = next(line for line in lines if line["event"] == "stopped")
    assert stopped["cut_off"] == 1
    reader.sock.close()


def test_idle_connections_and_waits_for_news_do_not_hold_up_a_stop(daemon):
    def news(environ, start_response):
        mark_waiting(environ)
        gevent.sleep(60)

    peers = make_server("127.0.0.1", 0, news)
    peers.start()
    daemon.servers.append(peers)
    idle = [socket.create_connection(("127.0.0.1", s.server_port)) for s in daemon.servers]
    Reader(peers.server_port, "GET", "/copies/servers/", read_ms=None)
    gevent.sleep(0.1)
    took_ms = drain(daemon)
    assert took_ms < GRACE_MS * 5 / 6
    for sock in idle:
        sock.close()


def test_a_peer_that_goes_on_asking_does_not_hold_up_a_stop(daemon):
    def answer(_environ, start_response):
        gevent.sleep(0.02)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    peers = make_server("127.0.0.1", 0, answer)
    peers.start()
    daemon.servers.append(peers)
    closed = threading.Event()

    def ask():
        with socket.create_connection(("127.0.0.1", peers.server_port)) as sock:
            received = b"-"
            while received:
                sock.sendall(b"GET /limits HTTP/1.1\r\nHost: h\r\n\r\n")
                received = sock.recv(4096)
                if b"connection: close" in received.lower():
                    break
            closed.set()

    task = gevent.spawn(ask)
    gevent.sleep(0.1)
    took_ms = drain(daemon)
    task.join()
    assert closed.is_set()
    assert took_ms < GRACE_MS * 5 / 6
