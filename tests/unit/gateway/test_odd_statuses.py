"""Guards against status lines that are none of an answer: passed on, or waited on as interim ones.

A server in trouble answers with a status such as 000, 099 or 600. Its caller must neither get that
status, nor the server's stamp, nor wait for more.
"""

import random
from http import HTTPStatus

import attrs
import gevent
import gevent.socket
import pytest
import structlog
from test_draining import Batches, route
from test_endless_bytes import CLIENTS, upstream_client
from test_troubled_servers import CLOCK, trouble

from pistachionotch.agent.upstream import ServiceUpstream, UpstreamFailed, call
from pistachionotch.gateway.calls import CallForwarder
from pistachionotch.gateway.catalog import Catalog, ClientLimits, RouteKind
from pistachionotch.gateway.upstreams import UpstreamTable
from pistachionotch.http_client import Connection, ExchangeError
from pistachionotch.objects.api import StoreUnavailable, WriteAmbiguous
from pistachionotch.objects.client import HttpObjectStore
from pistachionotch.objects.vms import HttpVmList
from pistachionotch.outcomes import RequestClass
from pistachionotch.platform.ingress import IngressApp
from pistachionotch.platform.upstream import ServerProtocol
from pistachionotch.server import make_server
from pistachionotch.wire.messages import Submit

__all__ = ["trouble"]

ODD = ["000", "001", "099", "600", "700", "999"]
NOT_THREE_DIGITS = ["", "0", "20", "0200", "2000", "-20", "2e2", "abc"]
HELD_S = 0.05
ROUTES = tuple(attrs.evolve(route(kind), max_attempts=3) for kind in RouteKind)
CATALOG = Catalog(1, ROUTES, {}, ClientLimits())
# Callers wait 1 s and more for an answer.
AT_ONCE_S = 0.5


def answer(status, phrase=" Odd"):
    return (
        f"HTTP/1.1 {status}{phrase}\r\nRequest-Id: r\r\nServer-Stamp: p\r\n"
        "Weight-Versions: 3\r\nContent-Length: 2\r\n\r\nok"
    ).encode()


@pytest.mark.parametrize("phrase", [" Odd", " ", ""])
@pytest.mark.parametrize("status", ODD + NOT_THREE_DIGITS)
def test_an_odd_status_is_a_malformed_head_and_ended_at_once(trouble, status, phrase):
    server = trouble(answer(status, phrase), b"", HELD_S)
    connection = Connection(server.address)
    connection.open(1_000)
    connection.send("GET", "/", [], b"", 1_000)
    started_ms = CLOCK.now_ms()
    with pytest.raises(ExchangeError) as caught:
        connection.read_head(3_000)
    connection.close()
    assert caught.value.malformed and caught.value.sent and not caught.value.closed
    assert CLOCK.now_ms() - started_ms < AT_ONCE_S * 1_000


@pytest.mark.parametrize("status", ["200", "299", "404", "500", "599"])
@pytest.mark.parametrize(
    "interim", [b"", b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 199\r\n\r\n"]
)
def test_the_range_of_answers_is_accepted_after_interim_ones(trouble, status, interim):
    server = trouble(interim + answer(status), b"", HELD_S)
    connection = Connection(server.address)
    connection.open(1_000)
    connection.send("GET", "/", [], b"", 1_000)
    assert connection.read_head(3_000).status == int(status)
    assert connection.read_body(1_000) == b"ok"
    connection.close()


@pytest.mark.parametrize("status", ODD)
def test_an_odd_status_after_an_interim_answer_is_malformed(trouble, status):
    server = trouble(b"HTTP/1.1 100 Continue\r\n\r\n" + answer(status), b"", HELD_S)
    connection = Connection(server.address)
    connection.open(1_000)
    connection.send("GET", "/", [], b"", 1_000)
    with pytest.raises(ExchangeError) as caught:
        connection.read_head(3_000)
    connection.close()
    assert caught.value.malformed


def check_at_once(trouble, client):
    """Let a client ask servers with odd statuses; each of its calls has to end at once."""

    def check(status):
        server = trouble(answer(status), b"", HELD_S)
        started_ms = CLOCK.now_ms()
        client(server)
        assert CLOCK.now_ms() - started_ms < AT_ONCE_S * 1_000, status

    gevent.joinall([gevent.spawn(check, status) for status in ODD], raise_error=True)


OBJECT_API_CALLS = {
    "get": lambda store: store.get("k/x"),
    "list": lambda store: store.list("k/"),
    "put": lambda store: store.put("k/x", b"{}", None),
    "delete": lambda store: store.delete("k/x", 1),
    "watch": lambda store: store.watch("k/", 1, 500),
}


@pytest.mark.parametrize("name", OBJECT_API_CALLS)
def test_the_object_api_s_client_of_entries_and_agents_does_not_wait_for_more(trouble, name):
    def call_store(server):
        store = HttpObjectStore(server.address.host, server.address.port)
        error = OBJECT_API_CALLS[name](store).failure()
        expected = WriteAmbiguous if name in ("put", "delete") else StoreUnavailable
        assert isinstance(error, expected) and "is none of an answer" in str(error)

    check_at_once(trouble, call_store)


def test_the_client_of_the_vm_list_does_not_wait_for_more(trouble):
    def read_list(server):
        assert HttpVmList(server.address.host, server.address.port).read() is None

    check_at_once(trouble, read_list)


@pytest.mark.parametrize("name", CLIENTS)
def test_no_client_waits_for_more_after_an_odd_status(trouble, name):
    check_at_once(trouble, CLIENTS[name])


class Front:
    """A gateway's port for clients, before some servers."""

    def __init__(self, servers):
        table = UpstreamTable()
        records = [
            attrs.evolve(server.upstream().record, instance=f"i-{number}")
            for number, server in enumerate(servers)
        ]
        table.replace(records, 1)
        self.log = structlog.get_logger()
        forwarder = CallForwarder(
            CLOCK, random.Random(1), "z", {}, table, upstream_client(), ServerProtocol(), self.log
        )
        no = lambda: False  # noqa: E731
        app = IngressApp(CLOCK, lambda: CATALOG, forwarder, Batches(), no, no, self.log)
        self.server = make_server("127.0.0.1", 0, app)
        self.server.start()

    def ask(self, kind):
        sock = gevent.socket.create_connection(("127.0.0.1", self.server.server_port), 3)
        sock.sendall(
            f"POST /{kind}/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline-Ms: 3000\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
        )
        received = b""
        while part := sock.recv(65_536):
            received += part
        sock.close()
        return received


@pytest.mark.parametrize("status", ODD)
@pytest.mark.parametrize("kind", ["safe", "unsafe", "stream"])
def test_a_client_gets_neither_the_status_nor_the_stamp(trouble, kind, status):
    front = Front([trouble(answer(status), b"", HELD_S)])
    started_ms = CLOCK.now_ms()
    received = front.ask(kind)
    front.server.stop(timeout=0)
    first = int(received.split()[1])
    assert first in (HTTPStatus.BAD_GATEWAY, HTTPStatus.SERVICE_UNAVAILABLE)
    assert first == HTTPStatus.BAD_GATEWAY or kind != "unsafe"
    assert b"server-stamp" not in received.lower()
    assert CLOCK.now_ms() - started_ms < 2_000


@pytest.mark.parametrize("status", ODD)
def test_a_repeatable_call_goes_to_another_server(trouble, status):
    good = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: q\r\nContent-Length: 4\r\n\r\ngood"
    for _ in range(4):
        servers = [trouble(answer(status), b"", HELD_S), trouble(good, b"", HELD_S)]
        front = Front(servers)
        received = front.ask("safe")
        front.server.stop(timeout=0)
        assert received.split()[1] == b"200" and received.endswith(b"good")


def test_an_agent_does_not_return_an_odd_status(trouble):
    for status in ODD:
        server = trouble(answer(status), b"", HELD_S)
        submit = Submit(
            "a", "r", RequestClass.STOREFRONT, 1000, False, "s", "k", "POST", "/x", (), b"{}", 0
        )
        upstream = ServiceUpstream(server.address.host, server.address.port, "s")
        started_ms = CLOCK.now_ms()
        outcome = call(upstream, submit, CLOCK, lambda _piece: None)
        assert isinstance(outcome, UpstreamFailed) and outcome.sent and not outcome.crashed
        assert CLOCK.now_ms() - started_ms < AT_ONCE_S * 1_000
