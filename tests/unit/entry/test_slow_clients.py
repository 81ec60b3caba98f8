"""Guards against slow or silent clients that occupy memory or block the drain of an entry."""

import gevent
import pytest
from gevent import socket

from pistachionotch import server as limits
from pistachionotch.clock import SystemClock
from pistachionotch.entry import http
from pistachionotch.entry.calls import ResponsePart
from pistachionotch.entry.policy import DEFAULT_TIMEOUTS_MS
from pistachionotch.entry.requests import CallDefaults

HOST = "127.0.0.1"
LIMIT_S = 0.5
COMPLETION = b'{"model": "fitting", "prompt": "which saddle", "stream": true}'
HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(COMPLETION)


class Entry:
    def __init__(self):
        self.ended = 0
        defaults = CallDefaults(DEFAULT_TIMEOUTS_MS)
        interface = http.HttpInterface(SystemClock(), lambda: defaults, self.route, {})
        self.server = limits.make_server(HOST, 0, interface)
        self.server.start()

    @property
    def open(self):
        return len(self.server.open_connections())

    def route(self, _call):
        try:
            while True:
                yield ResponsePart(b"saddle " * 1000, 1, 1000)
        finally:
            self.ended += 1


@pytest.fixture
def entry(monkeypatch):
    monkeypatch.setattr(limits, "IDLE_TIMEOUT_S", LIMIT_S)
    monkeypatch.setattr(limits, "HEADER_TIMEOUT_S", LIMIT_S)
    monkeypatch.setattr(http, "BODY_TIMEOUT_S", LIMIT_S)
    entry = Entry()
    yield entry
    entry.server.stop(timeout=1)


def _drip(connection, data):
    """Send one byte at a time, so that no single read of the server times out."""
    try:
        for number in range(len(data)):
            connection.sendall(data[number : number + 1])
            gevent.sleep(LIMIT_S / 5)
    except OSError:
        return


@pytest.mark.parametrize(
    ("at_once", "slowly", "answer"),
    [
        (b"", b"", b""),
        (b"", HEAD, b""),
        (HEAD[:40], HEAD[40:], b"HTTP/1.1 400"),
        (HEAD, COMPLETION, b"HTTP/1.1 408"),
    ],
)
def test_client_that_sends_too_slowly_is_disconnected(entry, at_once, slowly, answer):
    connection = socket.create_connection((HOST, entry.server.server_port))
    connection.settimeout(LIMIT_S * 4)
    connection.sendall(at_once)
    job = gevent.spawn(_drip, connection, slowly)
    received = b""
    try:
        while part := connection.recv(65536):
            received += part
    except ConnectionResetError:
        pass
    job.kill()
    assert received.startswith(answer)
    assert entry.open == 0


def test_client_that_never_reads_does_not_block_the_drain(entry):
    connection = socket.create_connection((HOST, entry.server.server_port))
    connection.sendall(HEAD + COMPLETION)
    gevent.sleep(LIMIT_S * 0.6)
    assert entry.open == 1
    gevent.sleep(LIMIT_S * 2)
    assert (entry.open, entry.ended) == (0, 1)
    connection.close()
