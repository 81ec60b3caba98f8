"""Guards against taking a crashed upstream for one to which nothing was sent."""

import gevent
import pytest
from gevent.server import StreamServer

from pistachionotch.clock import SystemClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.exchange import UpstreamClient
from pistachionotch.gateway.upstream_protocol import UpstreamRequest
from pistachionotch.gateway.upstreams import Upstream, UpstreamRecord
from pistachionotch.http_client import ConnectionPool, ExchangeError
from pistachionotch.platform.upstream import ServerProtocol

CLOCK = SystemClock()
ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: p.1\r\nContent-Length: 2\r\n\r\nok"


class CrashingServer:
    """Answers on kept connections and ends with all of them under a request with ``deadly``."""

    def __init__(self, beginning=b""):
        # Sent of the answer before the crash.
        self.beginning = beginning
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.socks = []

    def serve(self, sock, _address):
        self.socks.append(sock)
        while request := sock.recv(65536):
            if b"deadly" in request:
                if self.beginning:
                    sock.sendall(self.beginning)
                    gevent.sleep(0.05)
                self.crash()
                return
            identity = request.partition(b"Request-Id: ")[2].partition(b"\r\n")[0]
            sock.sendall(ANSWER % identity)

    def crash(self):
        self.server.stop(timeout=0)
        for sock in self.socks:
            sock.close()

    def upstream(self):
        return Upstream(
            UpstreamRecord(
                instance="i-1",
                service="s",
                address=Address("127.0.0.1", self.server.server_port),
                zone="a",
                slots=4,
                leaving=False,
                started_ms=1,
                versions={},
            )
        )


def request(body):
    return UpstreamRequest(
        request_id="q1",
        method="POST",
        target="/x",
        host="h",
        headers=(),
        body=body,
        instance="i-1",
        budget_ms=1_000,
    )


def test_a_request_lost_with_a_kept_connection_counts_as_sent():
    server = CrashingServer()
    upstream = server.upstream()
    client = UpstreamClient(CLOCK, ServerProtocol(), ConnectionPool(CLOCK))
    exchange = client.send_request(upstream, request(b"fine"), 1_000, repeatable=True)
    exchange.connection.read_body(1_000)
    client.release(exchange)
    with pytest.raises(ExchangeError) as raised:
        client.send_request(upstream, request(b"deadly"), 1_000, repeatable=True)
    assert raised.value.sent
    assert raised.value.closed


BEGINNING = b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nServer-Stamp: p.1\r\n"


@pytest.mark.parametrize(
    "beginning",
    [
        b"HTTP/1.1 200",
        BEGINNING + b"Content-Length: 9\r\n\r\nhalf",
        BEGINNING + b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        BEGINNING + b"Transfer-Encoding: chunked\r\n\r\n",
    ],
)
def test_an_answer_that_breaks_off_shows_that_the_server_ended_it(beginning):
    server = CrashingServer(beginning)
    client = UpstreamClient(CLOCK, ServerProtocol(), ConnectionPool(CLOCK))
    with pytest.raises(ExchangeError) as raised:
        exchange = client.send_request(server.upstream(), request(b"deadly"), 1_000, True)
        exchange.connection.read_body(1_000)
    assert raised.value.sent
    assert raised.value.closed
