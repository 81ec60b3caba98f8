"""Guards against answers that are cut off in a planned stop while their clients still read them."""

import socket
import threading
import time
import types

import gevent
import pytest
import structlog
from test_draining import GRACE_MS, Daemon

from pistachionotch.clock import SystemClock
from pistachionotch.config.spec import Address
from pistachionotch.entry import daemon as entry_daemon
from pistachionotch.entry.daemon import EntryDaemon
from pistachionotch.gateway.drain_steps import drain_gateway
from pistachionotch.gateway.responses import BufferedResponse, StreamingResponse
from pistachionotch.server import make_server, mark_waiting
from tests.support.slow_reader import SlowReader

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


def read_slowly(server, method="POST", target="/safe/x", read_ms=READ_SHARE * GRACE_MS):
    """Read an answer of a server in a time, or not at all."""
    head = f"{method} {target} HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline-Ms: 9000\r\n"
    request = (head + "Content-Length: 0\r\n\r\n").encode()
    pace = 0 if read_ms is None else ANSWER_BYTES * 1_000 / read_ms
    return SlowReader(Address("127.0.0.1", server.server_port), request, pace)


class Entry:
    """The parts of an entry that its drain uses."""

    state = "serving"
    open_requests = 2
    balancer_notice_s = 0.0

    def __init__(self, server):
        self.server = server
        self.clock = SystemClock()
        self.interface = types.SimpleNamespace(draining=False, closed=False)
        self.rollouts = types.SimpleNamespace(stop=lambda: None)
        self.table = types.SimpleNamespace(links={})
        self.settings = types.SimpleNamespace(node="n")

    def _release_leases(self):
        pass


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
    readers = [read_slowly(daemon.servers[0]) for _ in range(4)]
    gevent.sleep(0.1)
    assert 0 < readers[0].body_bytes < ANSWER_BYTES / 2
    took_ms = drain(daemon)
    gevent.joinall([reader.task for reader in readers])
    for reader in readers:
        assert reader.is_whole() and reader.body_bytes >= ANSWER_BYTES
    assert took_ms < GRACE_MS


def test_an_answer_to_another_gateway_is_read_to_its_end(daemon):
    def page(_environ, start_response):
        start_response("200 OK", [("Content-Length", str(ANSWER_BYTES))])
        return [b"x" * ANSWER_BYTES]

    peers = make_server("127.0.0.1", 0, page)
    peers.start()
    daemon.servers.append(peers)
    reader = read_slowly(peers, "GET", "/batches/b")
    gevent.sleep(0.1)
    drain(daemon)
    reader.task.join()
    assert reader.body_bytes == ANSWER_BYTES


def test_a_client_that_does_not_read_is_reported_and_does_not_outlast_the_grace(daemon):
    daemon.ingress.forwarder = Answers(buffered)
    reader = read_slowly(daemon.servers[0], read_ms=None)
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
    read_slowly(peers, "GET", "/copies/servers/", read_ms=None)
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


def test_an_entry_waits_for_clients_that_read_and_not_for_ever_for_one_that_does_not(monkeypatch):
    def page(_environ, start_response):
        start_response("200 OK", [("Content-Length", str(ANSWER_BYTES))])
        return [b"x" * ANSWER_BYTES]

    monkeypatch.setattr(entry_daemon, "SENDING_LIMIT_MS", GRACE_MS)
    server = make_server("127.0.0.1", 0, page)
    server.start()
    reader = read_slowly(server, "GET", "/", read_ms=GRACE_MS / 2)
    silent = read_slowly(server, "GET", "/", read_ms=None)
    gevent.sleep(0.1)
    entry = Entry(server)
    started = time.monotonic()
    with structlog.testing.capture_logs() as lines:
        EntryDaemon.drain(entry, "test")
    took_ms = (time.monotonic() - started) * 1_000
    reader.task.join()
    assert reader.is_whole() and entry.state == "stopped"
    assert GRACE_MS <= took_ms < GRACE_MS + 1_500
    cut = [line for line in lines if line["event"] == "answer cut off"]
    assert len(cut) == 1 and cut[0]["left_bytes"] > 0
    silent.sock.close()
