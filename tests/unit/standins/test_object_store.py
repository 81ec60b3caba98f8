"""Guards against a client that reports the wrong outcome of a write over real connections."""

import time

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from geventhttpclient.client import HTTPClient
from geventhttpclient.response import HTTPParseError

from pistachionotch.objects.api import (
    MAX_VALUE_BYTES,
    StoreRejected,
    StoreUnavailable,
    VersionConflict,
    WatchExpired,
    WriteAmbiguous,
)
from pistachionotch.objects.client import READ_CONNECTIONS, HttpObjectStore
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.objects.read_back import put_with_read_back
from pistachionotch.standins.object_store import ObjectStoreApp, serve

HOST = "127.0.0.1"


@pytest.fixture
def store_app():
    return ObjectStoreApp(MemoryStore(history_limit=4))


@pytest.fixture
def port(store_app):
    server = serve(store_app)
    yield server.server_port
    server.stop(timeout=1)


@pytest.fixture
def client(port):
    client = HttpObjectStore(HOST, port, connect_timeout_ms=300, response_timeout_ms=300)
    yield client
    client.close()


@pytest.fixture
def broken_server():
    """Serve connections with a function of the test and collect the received requests."""
    requests = []

    def handle(connection, _address):
        requests.append(connection.recv(65536))
        broken_server.handle_connection(connection)

    server = StreamServer((HOST, 0), handle)
    server.start()
    broken_server.client = HttpObjectStore(HOST, server.server_port, 300, 200)
    broken_server.requests = requests
    yield broken_server
    server.stop(timeout=1)


def test_objects_round_trip_with_conditions(client):
    first = client.put("a/ü b", b"\x00\xff", None).unwrap()
    assert client.get("a/ü b").unwrap() == first
    assert client.get("a/none").unwrap() is None
    assert client.put("a/ü b", b"2", None).failure() == VersionConflict(first)
    second = client.put("a/ü b", b"2", first.version).unwrap()
    assert client.list("a/").unwrap() == (second,)
    assert client.delete("a/ü b", first.version).failure() == VersionConflict(second)
    assert client.delete("a/ü b", second.version).unwrap() is None
    assert client.delete("a/ü b", second.version).failure() == VersionConflict(None)


def test_watch_over_http_waits_wakes_and_expires(client, store_app):
    waiting = gevent.spawn(client.watch, "a/", 0, 5_000)
    gevent.sleep(0.05)
    client.put("a/1", b"x", None).unwrap()
    batch = waiting.get(timeout=2).unwrap()
    assert [(change.key, change.value) for change in batch.changes] == [("a/1", b"x")]
    assert store_app.store.calls["watch"] == 1
    assert client.watch("a/", batch.revision, 20).unwrap().changes == ()
    for number in range(6):
        client.put(f"b/{number}", b"", None).unwrap()
    assert client.watch("a/", 0, 0).failure() == WatchExpired(0)


def test_oversized_value_is_rejected_not_ambiguous(client):
    rejected = client.put("a", b"x" * (MAX_VALUE_BYTES + 1), None).failure()
    assert isinstance(rejected, StoreRejected)
    assert isinstance(client.put("a", b"x" * MAX_VALUE_BYTES, None).unwrap().version, int)


def test_lost_answer_over_http_is_ambiguous_and_settled(client, store_app):
    store_app.store.faults.lose_answers = 1
    assert isinstance(client.put("a", b"1", None).failure(), WriteAmbiguous)
    assert store_app.store.calls["put"] == 1
    store_app.store.faults.lose_answers = 1
    assert put_with_read_back(client, "b", b"token", None, "token").unwrap().value == b"token"


def test_refused_connection_had_no_effect():
    listener = socket.socket()
    listener.bind((HOST, 0))
    client = HttpObjectStore(HOST, listener.getsockname()[1], 200, 200)
    assert isinstance(client.put("a", b"", None).failure(), StoreUnavailable)
    assert isinstance(client.get("a").failure(), StoreUnavailable)


def test_outage_and_slowness_set_over_http(client, store_app, port):
    control = HTTPClient(HOST, port)
    control.request("PUT", "/faults", b'{"slow_ms": 600}').read()
    assert isinstance(client.get("a").failure(), StoreUnavailable)
    assert isinstance(client.put("a", b"", None).failure(), WriteAmbiguous)
    control.request("PUT", "/faults", b'{"slow_ms": 0, "outage": true}').read()
    assert isinstance(client.get("a").failure(), StoreUnavailable)
    assert isinstance(client.put("a", b"", None).failure(), WriteAmbiguous)
    control.request("PUT", "/faults", b'{"outage": false}').read()
    assert client.get("b").unwrap() is None
    assert b'"get"' in control.request("GET", "/counters").read()


def test_write_is_sent_once_when_the_connection_closes_before_the_answer(broken_server):
    broken_server.handle_connection = lambda connection: connection.close()
    assert isinstance(broken_server.client.put("a", b"1", None).failure(), WriteAmbiguous)
    assert len(broken_server.requests) == 1


def test_the_http_library_alone_would_send_the_write_again(broken_server):
    """Show that the test above can fail: the same server receives several requests."""
    broken_server.handle_connection = lambda connection: connection.close()
    with pytest.raises(HTTPParseError):
        HTTPClient(HOST, broken_server.client.address.port).request("PUT", "/objects/a", b"1")
    assert len(broken_server.requests) > 1


def test_silent_connection_times_out_for_reads_and_writes(broken_server):
    broken_server.handle_connection = lambda connection: gevent.sleep(2)
    assert isinstance(broken_server.client.put("a", b"1", None).failure(), WriteAmbiguous)
    reads = [gevent.spawn(broken_server.client.get, "a") for _ in range(2 * READ_CONNECTIONS)]
    for read in reads:
        assert isinstance(read.get(timeout=3).failure(), StoreUnavailable)


def test_reads_on_a_kept_connection_do_not_wait_for_delayed_acknowledgements(client):
    client.put("a", b"1", None).unwrap()
    durations = []
    for _ in range(11):
        started = time.monotonic()
        client.get("a").unwrap()
        durations.append(time.monotonic() - started)
    assert sorted(durations)[5] < 0.03


def test_time_out_of_the_caller_is_not_taken_for_one_of_the_store(broken_server):
    broken_server.handle_connection = lambda connection: gevent.sleep(2)
    for call in (
        lambda: broken_server.client.get("a"),
        lambda: broken_server.client.put("a", b"", None),
    ):
        with pytest.raises(gevent.Timeout), gevent.Timeout(0.05):
            call()


def test_trickling_answer_ends_at_the_time_limit(broken_server):
    def handle_connection(connection):
        connection.sendall(b"HTTP/1.1 200 OK\r\nX-Filler: ")
        for _ in range(30):
            connection.sendall(b"x")
            gevent.sleep(0.1)

    broken_server.handle_connection = handle_connection
    started = time.monotonic()
    assert isinstance(broken_server.client.get("a").failure(), StoreUnavailable)
    # The head has 0.2 s, connecting and the whole answer together 0.5 s.
    assert 0.15 < time.monotonic() - started < 0.7


@pytest.mark.parametrize(
    "answer",
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\nETag: "3"\r\n\r\nshort',
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_incomplete_or_malformed_answer_is_never_a_value(broken_server, answer):
    def handle_connection(connection):
        connection.sendall(answer)
        connection.close()

    broken_server.handle_connection = handle_connection
    assert isinstance(broken_server.client.get("a").failure(), StoreUnavailable)
    assert isinstance(broken_server.client.put("a", b"1", None).failure(), WriteAmbiguous)


def test_a_failed_read_does_not_disturb_reads_of_other_tasks():
    """Guards against a failed read that closes the connections on which other tasks retry."""
    accepted = []

    def serve_connection(connection, _address):
        accepted.append(connection)
        if len(accepted) == 2:
            gevent.sleep(0.25)
            return
        gevent.sleep(5)

    server = StreamServer((HOST, 0), serve_connection)
    server.start()
    client = HttpObjectStore(HOST, server.server_port, 300, 300)
    reads = [gevent.spawn_later(delay_s, client.get, "k") for delay_s in (0, 0.1)]
    gevent.joinall(reads, timeout=5)
    server.stop(timeout=0)
    assert [type(read.get().failure()) for read in reads] == [StoreUnavailable] * 2
