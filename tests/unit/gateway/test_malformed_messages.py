"""Guards against one malformed message that takes a gateway, or one of its tasks, down.

Each message that a gateway decodes is replaced by random values of the right and of other shapes.
"""

import contextlib
import io
import json
import random

import cbor2
import gevent
import pytest
import structlog
from gevent.server import StreamServer
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachionotch.batches.model import Owner
from pistachionotch.batches.peers import PeerApp, PeerClient, PeerRequestFailed, PeerUnreachable
from pistachionotch.clock import SystemClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.crash_exchange import CrashExchange
from pistachionotch.gateway.limits import RateLimits
from pistachionotch.gateway.origin_store import OriginStore
from pistachionotch.gateway.peers import PeerInterface
from pistachionotch.gateway.sharing import CopiesApp, Watchers
from pistachionotch.gateway.stream_origins import StreamOrigins
from pistachionotch.gateway.upstreams import UpstreamTable
from pistachionotch.http_client import ConnectionPool
from pistachionotch.malformed import MALFORMED
from pistachionotch.objects.api import StoredObject
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.objects.relay import RelayedStore
from pistachionotch.platform.batches import read_submission
from pistachionotch.platform.listings import PlatformListings
from pistachionotch.platform.store import PlatformStore
from pistachionotch.platform.upstream import EventReader, ServerProtocol
from pistachionotch.quarantine.board import CrashBoard

NAMES = st.sampled_from(
    ["version", "routes", "services", "limits", "models", "items", "name", "state", "service"]
    + ["slots", "address", "zone", "born", "metadata", "spec", "revision", "events", "object"]
    + ["owner", "trouble", "reason", "total", "results", "next", "scorer", "id", "path", "body"]
)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=True, allow_infinity=True)
    | st.sampled_from(["ready", "draining", "10.0.0.1:80", "10.0.0.1:999999", "[", "\x00", ""])
    | st.text(max_size=5)
)
VALUES = st.recursive(
    SCALARS, lambda inner: st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=6)
)
SERVER = {
    "service": "s1",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "models": [{"name": "m0", "version": 3}],
    "born": 1700,
}
ROUTE = {"name": "r", "hostname": "h", "path_prefix": "/", "route_kind": "safe", "service": "s"}
CONFIG = {"version": 7, "routes": [ROUTE], "services": [{"name": "s"}], "limits": {}}
FEW = settings(max_examples=150, deadline=None)


def changed(fields):
    """Return variants of a message in which some fields have other values."""
    return st.dictionaries(st.sampled_from(sorted(fields)), VALUES, max_size=3).map(
        lambda changes: {**fields, **changes}
    )


def stored(key, value):
    return StoredObject(key, 1, json.dumps(value).encode())


@FEW
@given(st.one_of(VALUES, changed(SERVER)))
def test_a_malformed_registration_hides_no_other(value):
    listings = PlatformListings(None, structlog.get_logger())
    objects = {
        "servers/x": stored("servers/x", value),
        "servers/i-1": stored("servers/i-1", SERVER),
    }
    assert "i-1" in [record.instance for record in listings.upstreams(objects)]


@FEW
@given(st.one_of(VALUES, changed(CONFIG), changed(ROUTE).map(lambda r: {**CONFIG, "routes": [r]})))
def test_a_malformed_configuration_or_version_is_passed_over(value):
    listings = PlatformListings(None, structlog.get_logger())
    listings.catalog({"config/main": stored("config/main", value)})
    named = stored("versions/m", {"model": "m", "version": 3})
    found = listings.versions({"versions/x": stored("versions/x", value), "versions/m": named})
    assert found["m"] == 3


@pytest.mark.parametrize("field", ["born", "slots"])
def test_a_number_beyond_all_bounds_names_no_upstream(field):
    value = StoredObject("servers/x", 1, json.dumps({**SERVER, field: 1e999}).encode())
    listings = PlatformListings(None, structlog.get_logger())
    objects = {"servers/x": value, "servers/i-1": stored("servers/i-1", SERVER)}
    assert [record.instance for record in listings.upstreams(objects)] == ["i-1"]


@FEW
@given(st.one_of(st.binary(max_size=40), VALUES.map(lambda value: json.dumps(value).encode())))
def test_a_malformed_submission_report_or_event_raises_what_its_reader_expects(body):
    with pytest.raises(ValueError):
        read_submission("b", "h", "/p/b", body)
    with contextlib.suppress(*MALFORMED):
        ServerProtocol().read_report(body)
    with contextlib.suppress(ValueError):
        EventReader().feed(body + b"\n\n")


class Answering:
    """A server that answers each request with the same body."""

    def __init__(self):
        self.body = b""
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = Address("127.0.0.1", self.server.server_port)

    def _serve(self, sock, _address):
        while sock.recv(65_536):
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n"
            sock.sendall(head.encode() + self.body)


@pytest.fixture(scope="module")
def answering():
    found = Answering()
    yield found
    found.server.stop(timeout=0)


BODIES = st.one_of(
    st.binary(max_size=30),
    VALUES.map(cbor2.dumps),
    st.lists(VALUES, min_size=2, max_size=5).map(cbor2.dumps),
    VALUES.map(lambda value: json.dumps(value).encode()),
)


@FEW
@given(BODIES)
def test_a_malformed_answer_of_a_peer_is_no_answer(answering, body):
    answering.body = body
    pool = ConnectionPool(SystemClock())
    owner = Owner(node="n", incarnation="1", address=answering.address)
    peers = PeerClient(pool)
    page = peers.read(owner, "b", 0, 0)
    assert isinstance(page, PeerRequestFailed | PeerUnreachable) or page.total is not None
    peers.owner_of(answering.address, "b")
    other_gateways = {"n": answering.address}
    watchers = Watchers("me", pool, SystemClock(), random.Random(1), lambda: other_gateways)
    watchers.fetch("servers/", 0)
    store = RelayedStore(
        PlatformStore(answering.address, pool),
        pool,
        SystemClock(),
        random.Random(1),
        structlog.get_logger(),
        lambda: [answering.address],
    )
    for call in (
        lambda: store.get("k/a"),
        lambda: store.put("k/a", b"{}", None),
        lambda: store.snapshot("k/"),
        lambda: store.watch("k/", 1, 0),
    ):
        call()


class Environ(dict):
    def __init__(self, method, path, body, query=""):
        super().__init__(
            {
                "REQUEST_METHOD": method,
                "PATH_INFO": path,
                "QUERY_STRING": query,
                "wsgi.input": io.BytesIO(body),
                "HTTP_X_INCARNATION": "1",
            }
        )


class Nothing:
    def __getattr__(self, name):
        return lambda *arguments: None


def make_limits():
    return RateLimits(
        "gateway-1",
        SystemClock(),
        random.Random(1),
        ConnectionPool(SystemClock()),
        dict,
        lambda: None,
        dict,
        structlog.get_logger(),
    )


def make_origins(store=None):
    clock = SystemClock()
    log = structlog.get_logger()
    return StreamOrigins(
        clock,
        OriginStore("gateway-1", store or MemoryStore(), clock, lambda: 1_000, log),
        UpstreamTable(),
        lambda: None,
        dict,
        ConnectionPool(clock),
        log,
    )


def make_crashes():
    clock = SystemClock()
    pool = ConnectionPool(clock)
    return CrashExchange(clock, random.Random(1), pool, CrashBoard(), dict, structlog.get_logger())


@FEW
@given(
    st.sampled_from(["POST", "PUT", "GET", "DELETE"]),
    st.sampled_from(
        ["/batches/b", "/owners/b", "/copies/servers/", "/relay", "/other"]
        + ["/limits/permits", "/limits/announcements", "/streams/origin"]
        + ["/crashes/reports", "/crashes/state", "/crashes/other"]
    ),
    BODIES,
    st.sampled_from(
        ["", "position=x&wait_ms=1", "since=&wait_ms=-", "node=n", "since=a", "since=&limits=x:y"]
    ),
)
def test_a_malformed_question_of_a_peer_gets_a_400(method, path, body, query):
    statuses = []
    limits = make_limits()
    app = PeerInterface(
        PeerApp(Nothing(), "1"),
        CopiesApp(lambda *arguments: None, limits.exchange),
        MemoryStore(),
        limits,
        make_origins(),
        make_crashes(),
    )
    app(Environ(method, path, body, query), lambda status, headers: statuses.append(status))
    assert statuses and int(statuses[0][:3]) in (200, 400, 404, 410, 503)


def test_a_client_that_sends_nonsense_harms_nobody_else():
    from pistachionotch.server import make_server

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = make_server("127.0.0.1", 0, app)
    server.start()
    rng = random.Random(5)
    for _ in range(40):
        sock = gevent.socket.create_connection(("127.0.0.1", server.server_port), timeout=1)
        sock.sendall(rng.randbytes(rng.randrange(1, 400)) + b"\r\n\r\n")
        sock.close()
    sock = gevent.socket.create_connection(("127.0.0.1", server.server_port), timeout=1)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    assert sock.recv(4_096).startswith(b"HTTP/1.1 200")
    server.stop(timeout=0)
