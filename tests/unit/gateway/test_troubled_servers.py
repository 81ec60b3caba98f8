"""Guards against servers in trouble that fill a gateway's memory or hold its requests for ever.

Load pattern: a server sends bytes that are no answer without end, in a head or a body, until its
caller closes; another one sends a byte now and then and never an event. The smallest gateway has
128 MB for hundreds of connections.
"""

import gevent
import pytest
import structlog
from gevent.server import StreamServer

from pistachionotch.batches.attempts import AttemptOutcome, ItemRunner
from pistachionotch.batches.model import BatchItem, Submission
from pistachionotch.batches.run import ItemProgress
from pistachionotch.clock import SystemClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.exchange import UpstreamClient
from pistachionotch.gateway.streams import StreamRelay
from pistachionotch.gateway.upstreams import Upstream, UpstreamRecord
from pistachionotch.http_client import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    Connection,
    ConnectionPool,
    ExchangeError,
)
from pistachionotch.platform.upstream import MAX_EVENT_BYTES, EventReader, ServerProtocol

CLOCK = SystemClock()
# What a socket's buffers hold besides what the program has read.
SLACK_BYTES = 8 * 1024 * 1024
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nServer-Stamp: p\r\nWeight-Versions: 3\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class Trouble:
    """A server that sends a head and then one piece again and again."""

    def __init__(self, head, piece, pause_s=0.0, times=None):
        self.head, self.piece, self.pause_s, self.times = head, piece, pause_s, times
        self.sent = 0
        self.closed = False
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = Address("127.0.0.1", self.server.server_port)

    def _serve(self, sock, _address):
        try:
            sock.recv(65_536)
            sock.sendall(self.head)
            count = 0
            while self.times is None or count < self.times:
                count += 1
                piece = self.piece(count) if callable(self.piece) else self.piece
                sock.sendall(piece)
                self.sent += len(piece)
                gevent.sleep(self.pause_s)
        except OSError:
            self.closed = True

    def upstream(self):
        record = UpstreamRecord(
            instance="i-1",
            service="s",
            address=self.address,
            zone="z",
            slots=8,
            leaving=False,
            started_ms=1,
            versions={"m": 3},
        )
        return Upstream(record)


@pytest.fixture
def trouble():
    started = []

    def start(*arguments, **more):
        started.append(Trouble(*arguments, **more))
        return started[-1]

    yield start
    for each in started:
        each.server.stop(timeout=0)


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def ask(server):
    connection = Connection(server.address)
    connection.open(1_000)
    connection.send("GET", "/", [], b"", 1_000)
    return connection


@pytest.mark.parametrize(
    "head,piece",
    [
        (b"HTTP/1.1 200 OK\r\n", b"X-More: " + b"a" * 1_000 + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 1_000),
        (b"HTTP/1.1 200 OK\r\nX: ", b"a" * 10_000),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    ],
)
def test_a_head_without_end_is_given_up_early(trouble, head, piece):
    server = trouble(head, piece)
    connection = ask(server)
    started_ms = CLOCK.now_ms()
    with pytest.raises(ExchangeError, match="head"):
        connection.read_head(3_000)
    connection.close()
    assert CLOCK.now_ms() - started_ms < 1_500
    assert server.sent <= MAX_HEAD_BYTES + SLACK_BYTES


@pytest.mark.parametrize(
    "head,piece",
    [
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(b"a" * 60_000)),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", b"a" * 60_000),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 60_000),
    ],
)
def test_a_body_without_end_is_given_up_before_it_fills_the_memory(trouble, head, piece):
    server = trouble(head, piece)
    connection = ask(server)
    connection.read_head(1_000)
    with pytest.raises(ExchangeError, match="too large"):
        connection.read_body(5_000)
    connection.close()
    assert server.sent <= MAX_BODY_BYTES + SLACK_BYTES


def test_bytes_that_frame_nothing_are_given_up(trouble):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1"
    server = trouble(head, b";" + b"x" * 10_000)
    connection = ask(server)
    connection.read_head(1_000)
    with pytest.raises(ExchangeError):
        connection.read_part(2_000)
    connection.close()
    assert server.sent <= MAX_HEAD_BYTES + SLACK_BYTES


def test_a_part_that_drips_ends_at_its_time_limit(trouble):
    # Each byte belongs to the extension of a chunk, so that none of them is part of the body.
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;"
    server = trouble(head, b"x", pause_s=0.05)
    connection = ask(server)
    connection.read_head(1_000)
    started_ms = CLOCK.now_ms()
    with pytest.raises(ExchangeError):
        connection.read_part(400)
    assert CLOCK.now_ms() - started_ms < 1_000
    connection.close()


def run_item(server, limit_s=6.0):
    client = UpstreamClient(CLOCK, ServerProtocol(), ConnectionPool(CLOCK))
    runner = ItemRunner(CLOCK, client, ServerProtocol(), structlog.get_logger())
    item = BatchItem(id="i1", target="/p", headers=(), body=b"", max_tokens=9)
    state = ItemProgress(item)
    submission = Submission(id="b", host="h", target="/p/b", items=(item,), model="m")
    upstream = server.upstream()
    with gevent.Timeout(limit_s):
        return runner.run(submission, state, upstream), state, upstream


def test_a_stream_that_drips_bytes_and_no_event_is_left_within_its_patience(trouble):
    server = trouble(STREAM_HEAD, chunk(b":"), pause_s=0.2)
    started_ms = CLOCK.now_ms()
    end, _state, upstream = run_item(server)
    assert end is AttemptOutcome.BROKEN
    assert CLOCK.now_ms() - started_ms < 2_500
    assert upstream.backoff_until_ms > CLOCK.now_ms()


def test_an_event_without_end_is_given_up(trouble):
    server = trouble(STREAM_HEAD, chunk(b"id: 1\ndata: " + b"x" * 60_000))
    end, _state, _upstream = run_item(server)
    assert end is AttemptOutcome.BROKEN
    assert server.sent <= MAX_EVENT_BYTES + SLACK_BYTES
    with pytest.raises(ValueError, match="event"):
        EventReader().feed(b"x" * (MAX_EVENT_BYTES + 1))


def event(number):
    return chunk(f"id: {number}\ndata: x\n\n".encode())


def test_a_slow_but_sound_stream_is_not_left(trouble):
    # Its events come in halves, each after a pause; none is late by what this server usually needs.
    def piece(count):
        number, half = divmod(count - 1, 2)
        if number == 4:
            return b"0\r\n\r\n" if half == 0 else b""
        text = f"id: {number + 1}\ndata: x\n\n".encode()
        return chunk(text[:9] if half == 0 else text[9:])

    server = trouble(STREAM_HEAD, piece, pause_s=0.35, times=10)
    end, state, _upstream = run_item(server)
    assert end is AttemptOutcome.DONE and state.last_event == 4


@pytest.mark.parametrize("resumable", [True, False])
def test_a_client_s_stream_that_drips_is_ended_and_a_slow_one_is_not(trouble, resumable):
    def relay_of(server, usual_ms):
        client = UpstreamClient(CLOCK, ServerProtocol(), ConnectionPool(CLOCK))
        upstream = server.upstream()
        upstream.record_event_gap(usual_ms, CLOCK.now_ms())
        upstream.in_flight = 1
        request = ServerProtocol().report_request("i-1")
        exchange = client.send_request(upstream, request, 1_000, True)
        relay = StreamRelay(
            CLOCK,
            client,
            ServerProtocol(),
            structlog.get_logger(),
            "q",
            None,
            lambda _upstream, _error, _last: None,
            resumable,
        )
        return relay.chunks(exchange)

    head = STREAM_HEAD.replace(b"Request-Id: i1\r\n", b"")
    dripping = trouble(head, chunk(b":"), pause_s=0.2)
    with gevent.Timeout(8), pytest.raises(ExchangeError):
        list(relay_of(dripping, 20))
    slow = trouble(
        head, lambda count: event(count) if count < 4 else b"0\r\n\r\n", pause_s=1.3, times=4
    )
    with gevent.Timeout(12):
        assert b"".join(relay_of(slow, 300)).count(b"id:") == 3
