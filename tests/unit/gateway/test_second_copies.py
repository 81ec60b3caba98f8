"""Guards against a duplicate response that is taken for the response to the next request.

The duplicate arrives after the connection has been reused, before the next response.
"""

import json

import pytest
from gevent.server import StreamServer

from pistachionotch.clock import SystemClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.exchange import UpstreamClient
from pistachionotch.gateway.upstream_protocol import UpstreamRequest
from pistachionotch.gateway.upstreams import Upstream, UpstreamRecord
from pistachionotch.http_client import ConnectionPool, ExchangeError
from pistachionotch.objects.api import StoreUnavailable, WriteAmbiguous
from pistachionotch.platform.store import PlatformStore
from pistachionotch.platform.upstream import ServerProtocol

CLOCK = SystemClock()


class Repeating:
    """A server that repeats its last response before each new one."""

    def __init__(self, answer):
        self.answer = answer
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = Address("127.0.0.1", self.server.server_port)

    def _serve(self, sock, _address):
        former = b""
        while data := sock.recv(65_536):
            sock.sendall(former)
            former = self.answer(data.decode())
            sock.sendall(former)


@pytest.fixture
def repeating():
    started = []

    def start(answer):
        started.append(Repeating(answer))
        return started[-1]

    yield start
    for each in started:
        each.server.stop(timeout=0)


def response(body, *headers):
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


def test_call_never_gets_the_response_of_the_previous_call(repeating):
    def answer(request):
        name = next(line for line in request.split("\r\n") if line.startswith("Request-Id"))
        return response(f"for {name}", name, "Server-Stamp: p")

    server = repeating(answer)
    pool = ConnectionPool(CLOCK)
    client = UpstreamClient(CLOCK, ServerProtocol(), pool)
    record = UpstreamRecord(
        instance="i-1",
        service="s",
        address=server.address,
        zone="z",
        slots=8,
        leaving=False,
        started_ms=1,
        versions={},
    )

    def call(name):
        request = UpstreamRequest(
            request_id=name,
            method="POST",
            target="/",
            host="h",
            headers=(),
            body=b"",
            instance="i-1",
        )
        exchange = client.send_request(Upstream(record), request, 500, True)
        body = exchange.connection.read_body(500)
        client.release(exchange)
        return body.decode()

    assert call("q1") == "for Request-Id: q1"
    with pytest.raises(ExchangeError, match="another request"):
        call("q2")
    assert call("q3") == "for Request-Id: q3", "the connection is not used again"


def stored(name, revision=3):
    metadata = {"name": name, "revision": revision}
    return response(json.dumps({"metadata": metadata, "spec": {"of": name}}))


def test_read_never_returns_another_object(repeating):
    server = repeating(lambda request: stored(request.split(" ")[1].rpartition("/")[2]))
    store = PlatformStore(server.address, ConnectionPool(CLOCK))
    assert json.loads(store.get("k/a").unwrap().value) == {"of": "a"}
    assert isinstance(store.get("k/b").failure(), StoreUnavailable)
    assert json.loads(store.get("k/c").unwrap().value) == {"of": "c"}


def test_write_is_not_confirmed_by_the_response_to_another_write(repeating):
    def answer(request):
        return stored(json.loads(request.partition("\r\n\r\n")[2])["metadata"]["name"])

    server = repeating(answer)
    store = PlatformStore(server.address, ConnectionPool(CLOCK))
    assert store.put("k/a", b"{}", None).unwrap().key == "k/a"
    assert isinstance(store.put("k/b", b"{}", None).failure(), WriteAmbiguous)
    assert store.put("k/c", b"{}", None).unwrap().key == "k/c"
