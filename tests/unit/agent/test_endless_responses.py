"""Guards against a faulty upstream that fills its agent's memory with an endless response."""

import json

import gevent
import pytest
from gevent.server import StreamServer

from pistachionotch.agent.upstream import (
    MAX_EVENT_BYTES,
    EngineUpstream,
    ServiceUpstream,
    UpstreamFailed,
    call,
)
from pistachionotch.clock import SystemClock
from pistachionotch.http_client import MAX_HEAD_BYTES
from pistachionotch.outcomes import RequestClass
from pistachionotch.wire.messages import Submit

# Bytes that the sockets' buffers may hold in addition to what the agent has read.
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024
TIMEOUT_S = 3.0
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


class EndlessServer:
    """A server that sends a head and then repeats one piece until the connection is closed."""

    def __init__(self, head, piece):
        self.head, self.piece = head, piece
        self.sent = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.port = self.server.server_port

    def _serve(self, sock, _address):
        try:
            sock.recv(65_536)
            sock.sendall(self.head)
            while True:
                sock.sendall(self.piece)
                self.sent += len(self.piece)
                gevent.sleep(0)
        except OSError:
            sock.close()


@pytest.fixture
def start_endless_server():
    started = []

    def start(head, piece):
        started.append(EndlessServer(head, piece))
        return started[-1]

    yield start
    for server in started:
        server.server.stop(timeout=0)


def submit():
    body = json.dumps({"model": "m", "prompt": "p", "max_tokens": 9}).encode()
    request_class = RequestClass.STOREFRONT
    return Submit("a", "r", request_class, 9_000, False, "s", "k", "POST", "/v1/x", (), body, 0)


def run(server, upstream_type):
    names = {EngineUpstream: "model", ServiceUpstream: "service"}
    upstream = upstream_type("127.0.0.1", server.port, **{names[upstream_type]: "m"})
    with gevent.Timeout(TIMEOUT_S):
        return call(upstream, submit(), SystemClock(), lambda piece: None)


@pytest.mark.parametrize("upstream_type", [EngineUpstream, ServiceUpstream])
def test_endless_response_head_is_aborted(start_endless_server, upstream_type):
    server = start_endless_server(b"HTTP/1.1 200 OK\r\n", b"X-More: " + b"a" * 1_000 + b"\r\n")
    outcome = run(server, upstream_type)
    assert isinstance(outcome, UpstreamFailed) and outcome.sent
    assert server.sent <= MAX_HEAD_BYTES + SOCKET_BUFFER_BYTES


def test_endless_event_is_aborted(start_endless_server):
    server = start_endless_server(STREAM_HEAD, b"data: " + b"x" * 60_000)
    outcome = run(server, EngineUpstream)
    assert isinstance(outcome, UpstreamFailed) and "event" in outcome.reason
    assert server.sent <= MAX_EVENT_BYTES + SOCKET_BUFFER_BYTES


def test_endless_refusal_is_truncated(start_endless_server):
    server = start_endless_server(b"HTTP/1.1 500 Oops\r\n\r\n", b"x" * 60_000)
    run(server, EngineUpstream)
    assert server.sent <= SOCKET_BUFFER_BYTES
