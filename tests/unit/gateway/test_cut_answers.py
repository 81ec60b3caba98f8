"""Guards against answers that end early and look whole, and against other bytes in their middle.

A raw server sends the beginning of an answer up to each of its bytes and closes its connection, at
the first attempt and where a stream goes on.
"""

import random

import attrs
import pytest
import structlog
from gevent.server import StreamServer

from pistachionotch.batches.attempts import AttemptOutcome, ItemRunner
from pistachionotch.batches.model import BatchItem, Submission
from pistachionotch.batches.run import ItemProgress
from pistachionotch.clock import SystemClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.calls import CallForwarder
from pistachionotch.gateway.catalog import Route, RouteKind, ServiceShare
from pistachionotch.gateway.exchange import UpstreamClient
from pistachionotch.gateway.responses import ClientCall, StreamingResponse
from pistachionotch.gateway.upstreams import UpstreamRecord, UpstreamTable
from pistachionotch.http_client import ConnectionPool, ExchangeError
from pistachionotch.platform.upstream import ServerProtocol
from pistachionotch.software.origin import Origin

CLOCK = SystemClock()
EVENTS = 4
LEAD = ("HTTP/1.1 {status} X", "Request-Id: q1", "Server-Stamp: p.1", "Weight-Versions: 3")


def event(number):
    return f"id: {number}\ndata: text {number}\n\n".encode()


def events(first=1, last=EVENTS):
    return b"".join(event(number) for number in range(first, last + 1))


def answer(body, framing, status=200, content_type="text/event-stream"):
    """Return the bytes of an answer, and where its body begins."""
    lines = [*LEAD, f"Content-Type: {content_type}"]
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    if framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
        body = b"".join(
            b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:20], body[20:]) if part
        )
        body += b"0\r\n\r\n"
    if framing == "close":
        lines.append("Connection: close")
    head = "\r\n".join(lines).format(status=status).encode() + b"\r\n\r\n"
    return head + body, len(head)


@attrs.define
class RawServer:
    """Send prepared bytes to each request, and close the connection."""

    name: str
    # Bytes to send; a function of the number after which a stream goes on.
    reply: object = b""
    server: object = None

    def start(self):
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, _address):
        request = b""
        while b"\r\n\r\n" not in request:
            part = sock.recv(65536)
            if not part:
                return
            request += part
        after = 0
        for line in request.decode().split("\r\n"):
            if line.lower().startswith("last-event-id:"):
                after = int(line.partition(":")[2])
        sock.sendall(self.reply(after) if callable(self.reply) else self.reply)
        sock.close()


class Fleet:
    """One or two raw servers behind a gateway's forwarder."""

    def __init__(self):
        self.servers = [RawServer("i-1"), RawServer("i-2")]
        self.table = UpstreamTable()
        for server in self.servers:
            server.start()
        self.pool = ConnectionPool(CLOCK)
        self.client = UpstreamClient(CLOCK, ServerProtocol(), self.pool)
        self.forwarder = CallForwarder(
            CLOCK,
            random.Random(1),
            "a",
            {"a": "r"},
            self.table,
            self.client,
            ServerProtocol(),
            structlog.get_logger(),
        )

    def record(self, number):
        return UpstreamRecord(
            instance=self.servers[number].name,
            service="s",
            address=Address("127.0.0.1", self.servers[number].server.server_port),
            zone="a",
            slots=6,
            leaving=False,
            started_ms=1,
            versions={"m": 3},
            software="v1",
        )

    def list_servers(self, *numbers):
        # A server that failed an earlier attempt of a test is as good as new in the next one.
        self.table.upstreams.clear()
        self.table.replace([self.record(each) for each in numbers], self.table.revision + 1)

    def stream(self, last=None, kind=RouteKind.STREAM, resumable=True, attempts=2):
        """Return the status and body that a client gets, and whether the end came."""
        call = ClientCall(
            request_id="q1",
            method="POST",
            target="/p/x",
            host="h",
            headers=(),
            body=b"",
            received_ms=CLOCK.now_ms(),
            budget_ms=2_000,
            resume_after=last,
        )
        route = Route(
            name="r",
            host="h",
            prefix="/p/",
            kind=kind,
            shares=(ServiceShare("s", 1),),
            timeout_ms=2_000,
            objective_ms=200,
            priority=1,
            max_attempts=attempts,
            resumable=resumable,
        )
        found = self.forwarder.forward(call, route)
        if not isinstance(found, StreamingResponse):
            return getattr(found, "status", 0), getattr(found, "body", b""), True
        received = b""
        try:
            for part in found.parts:
                received += part
        except ExchangeError:
            return found.status, received, False
        return found.status, received, True

    def stop(self):
        for server in self.servers:
            server.server.stop(timeout=0)


@pytest.fixture(scope="module")
def fleet():
    found = Fleet()
    yield found
    found.stop()


def is_prefix_of_events(received, first=1):
    return events(first).startswith(received)


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("first", [1, 3])
def test_a_stream_cut_at_any_byte_never_looks_whole(fleet, framing, first):
    fleet.list_servers(0)
    whole, body_at = answer(events(first), framing)
    last = first - 1 or None
    for cut in range(len(whole)):
        fleet.list_servers(0)
        fleet.servers[0].reply = whole[:cut]
        status, received, complete = fleet.stream(last, attempts=1)
        assert status in (0, 200), cut
        assert is_prefix_of_events(received, first), (cut, received)
        # Without a length, a close between two events is the end.
        ended = framing == "close" and cut >= body_at and whole[:cut].endswith((b"\n\n", b"\r\n"))
        assert status == 0 or not complete or ended, (cut, received)


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("status", [200, 500, 503])
@pytest.mark.parametrize("content_type", ["text/event-stream", "application/json"])
def test_what_a_second_server_sends_never_stands_in_the_middle_of_a_stream(
    fleet, framing, status, content_type
):
    """The first server stops after two events; the next one sends an answer that is cut."""
    begun, _body_at = answer(events(1, 3)[:-3], "length", 200)
    begun = begun.replace(b"Content-Length: 5", b"Content-Length: 9")
    body = events(3) if status == 200 and "event" in content_type else b'{"error": "busy"}'
    whole, body_at = answer(body, framing, status, content_type)
    for cut in range(len(whole) + 1):
        fleet.list_servers(0, 1)

        def reply(after, cut=cut):
            return whole[:cut] if after else begun

        for server in fleet.servers:
            server.reply = reply
        got_status, received, complete = fleet.stream()
        assert got_status == 200
        assert is_prefix_of_events(received), (cut, received)
        if complete:
            assert received == events() or (
                framing == "close" and cut >= body_at and received.endswith(b"\n\n")
            ), (cut, received)


@pytest.mark.parametrize("first", [1, 2, 4, 9])
def test_a_resumed_stream_must_begin_with_the_next_event(fleet, first):
    begun, _body_at = answer(events(1, 3)[:-3], "length")
    begun = begun.replace(b"Content-Length: 5", b"Content-Length: 9")
    other, _body_at = answer(events(first, 9), "length")
    fleet.list_servers(0, 1)
    for server in fleet.servers:
        server.reply = lambda after: other if after else begun
    _status, received, complete = fleet.stream()
    assert received == events(1, 2) and not complete


def looks_whole(status, complete):
    """Return whether a client takes an answer for a whole stream; a failure has another status."""
    return status == 200 and complete


@pytest.mark.parametrize("first", [1, 2, 4, 9])
def test_a_taken_up_stream_must_begin_with_the_next_event(fleet, first):
    other, _body_at = answer(events(first, 9), "length")
    fleet.list_servers(0, 1)
    for server in fleet.servers:
        server.reply = other
    status, received, complete = fleet.stream(last=2)
    assert received == b"" and not looks_whole(status, complete)


@pytest.mark.parametrize("resumable", [True, False])
def test_a_stream_that_ends_before_its_first_event_fails_with_a_reason(fleet, resumable):
    whole, body_at = answer(events(), "chunks")
    fleet.list_servers(0)
    fleet.servers[0].reply = whole[:body_at]
    status, received, _complete = fleet.stream(resumable=resumable, attempts=1)
    assert status != 200 and received == b""


@pytest.mark.parametrize("numbers", [(1, 3), (1, 1), (2, 3), (1, 2, 1)])
@pytest.mark.parametrize("resumable", [True, False])
def test_a_wrong_number_within_a_stream_ends_it_visibly(fleet, numbers, resumable):
    whole, _body_at = answer(b"".join(event(number) for number in numbers), "length")
    fleet.list_servers(0)
    fleet.servers[0].reply = whole
    status, received, complete = fleet.stream(resumable=resumable, attempts=1)
    assert not looks_whole(status, complete)
    assert is_prefix_of_events(received)


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("size", [40, 1024 * 1024 + 40])
def test_a_plain_body_cut_at_any_byte_never_looks_whole(fleet, framing, size):
    whole, body_at = answer(b"x" * size, framing, content_type="text/plain")
    cuts = [*range(min(len(whole), body_at + 60)), *range(len(whole) - 30, len(whole))]
    for cut in sorted(set(cuts)):
        fleet.list_servers(0)
        fleet.servers[0].reply = whole[:cut]
        status, received, complete = fleet.stream(kind=RouteKind.SAFE, resumable=False, attempts=1)
        assert status == 0 or not complete, (cut, len(received))
        assert received == b"x" * len(received)


def run_item(fleet, state):
    submission = Submission(id="b", host="h", target="/p/", items=(state.item,), model="m")
    runner = ItemRunner(CLOCK, fleet.client, ServerProtocol(), structlog.get_logger())
    return runner.run(submission, state, fleet.table.upstreams["i-1"])


def item_state(texts=0):
    state = ItemProgress(BatchItem(id="q1", target="/p/x", headers=(), body=b"", max_tokens=9))
    for number in range(1, texts + 1):
        state.add_event(number, f"text {number}", 3, Origin("s", "v1"))
    return state


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("texts", [0, 2])
def test_an_item_cut_at_any_byte_is_never_done(fleet, framing, texts):
    whole, body_at = answer(events(texts + 1), framing)
    for cut in range(len(whole)):
        fleet.list_servers(0)
        fleet.servers[0].reply = whole[:cut]
        state = item_state(texts)
        outcome = run_item(fleet, state)
        assert state.texts == [f"text {number + 1}" for number in range(len(state.texts))]
        ended = framing == "close" and cut > body_at - (texts > 0) and whole[:cut].endswith(b"\n\n")
        ended = ended or (framing == "close" and texts > 0 and cut == body_at)
        assert outcome is not AttemptOutcome.DONE or ended, cut


@pytest.mark.parametrize("texts", [0, 2])
@pytest.mark.parametrize("first", [2, 4])
def test_an_item_takes_no_event_with_a_wrong_number(fleet, texts, first):
    whole, _body_at = answer(events(first + texts, 9), "length")
    fleet.list_servers(0)
    fleet.servers[0].reply = whole
    state = item_state(texts)
    assert run_item(fleet, state) is AttemptOutcome.BROKEN
    assert len(state.texts) == texts


@pytest.mark.parametrize("content_type", ["application/json", "text/plain", ""])
def test_an_item_takes_no_text_from_an_answer_that_is_no_stream(fleet, content_type):
    whole, _body_at = answer(b"", "length", content_type=content_type)
    fleet.list_servers(0)
    fleet.servers[0].reply = whole
    assert run_item(fleet, item_state()) is AttemptOutcome.BROKEN


def test_servers_that_refuse_connections_use_up_no_attempt_of_a_stream(fleet):
    """After a crash, the servers of one software version are few, and some of them are down."""
    fleet.list_servers(0, 1)
    fleet.servers[0].server.stop(timeout=0)
    fleet.servers[1].reply, _body_at = answer(events(3), "length")
    try:
        for _ in range(6):
            fleet.table.upstreams["i-1"].backoff_until_ms = 0
            _status, received, complete = fleet.stream(last=2, attempts=1)
            assert received == events(3) and complete
    finally:
        fleet.servers[0].start()


def test_no_more_unreachable_servers_are_tried_than_the_route_allows_attempts(fleet):
    fleet.list_servers(0, 1)
    for server in fleet.servers:
        server.server.stop(timeout=0)
    try:
        status, _received, _complete = fleet.stream(last=2, attempts=1)
        assert status == 0
        failures = [each.failures for each in fleet.table.upstreams.values()]
        assert sum(failures) <= 2
    finally:
        for server in fleet.servers:
            server.start()
