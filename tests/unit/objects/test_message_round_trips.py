"""Guards against messages between processes that the receiver can't read as they were sent."""

import json
import random
from io import BytesIO
from types import SimpleNamespace
from unittest.mock import patch
from urllib.parse import urlencode

import attrs
import cbor2
import pytest
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st
from record_values import (
    ADDRESSES,
    COUNTS,
    EXAMPLES,
    INTEGERS,
    ORIGINS,
    OWNERS,
    RESULTS,
    TEXTS,
    WORDS,
)
from submission_texts import accepted, head_of, submission

from pistachionotch.batches import peers
from pistachionotch.batches.ids import internal_id
from pistachionotch.batches.model import (
    BatchError,
    BatchErrorKind,
    Owner,
    OwnerTerm,
    ResultPage,
)
from pistachionotch.batches.records import (
    head_bytes,
    item_fields,
    owner_fields,
    read_owner,
    term_fields,
)
from pistachionotch.clock import ManualClock
from pistachionotch.config.spec import Address
from pistachionotch.duties.usage_counts import pack_counts, unpack_counts
from pistachionotch.exchange.board import Entry
from pistachionotch.exchange.board import Origin as Process
from pistachionotch.exchange.messages import StateReply, StateRequest
from pistachionotch.gateway import stream_origins
from pistachionotch.gateway.crash_exchange import REPORTS_PATH, STATE_PATH, CrashExchange
from pistachionotch.gateway.origin_store import OriginStore
from pistachionotch.gateway.sharing import ListingCopy, dump_copy, load_copy
from pistachionotch.gateway.stream_origins import StreamOrigins
from pistachionotch.gateway.upstreams import UpstreamTable
from pistachionotch.http_client import ConnectionPool
from pistachionotch.limits.announcements import Announcement
from pistachionotch.limits.broker import PermitReply, PermitRequest
from pistachionotch.limits.messages import (
    announcement_fields,
    dump_reply,
    dump_request,
    load_reply,
    load_request,
    read_announcements,
)
from pistachionotch.limits.pacer import Denial, Permit, PermitWant
from pistachionotch.malformed import load_cbor
from pistachionotch.objects.api import StoredObject, VersionConflict
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.objects.relay import RelayCall, decode_result, handle_relayed_call
from pistachionotch.platform.batches import encode_page
from pistachionotch.quarantine.board import CrashBoard, CrashReport
from pistachionotch.software.origin import BegunStream
from pistachionotch.wire import codec


@EXAMPLES
@given(st.lists(RESULTS, max_size=3), COUNTS)
def test_pages_for_peers_and_clients(results, total):
    page = ResultPage(total=total, results=tuple(results), next_position=len(results))
    batches = SimpleNamespace(local_page=lambda *_: page)
    query = {"position": ["0"], "wait_ms": ["0"]}
    _status, body = peers.PeerApp(batches, "1")._handle_read("b1", query)
    assert peers._decode(body, peers._read_page) == page
    assert json.loads(encode_page(page))["total"] == total


TERMS = st.builds(OwnerTerm, OWNERS, COUNTS)


@EXAMPLES
@given(OWNERS)
def test_owners_in_messages_to_peers(owner):
    assert read_owner(load_cbor(cbor2.dumps(owner_fields(owner)))) == owner


@EXAMPLES
@given(TEXTS, TEXTS, COUNTS, st.lists(st.tuples(INTEGERS, COUNTS, COUNTS), max_size=2))
def test_messages_about_limits(upstream, node, age_ms, wants):
    request = PermitRequest(
        upstream=upstream,
        per_second=0.5,
        age_ms=age_ms,
        wants=tuple(
            PermitWant(urgency=urgency, max_wait_ms=wait, alternatives=others)
            for urgency, wait, others in wants
        ),
        relayed=True,
    )
    assert load_request(dump_request(request)) == request
    verdicts = (Permit(age_ms), Denial(next_ms=age_ms, retry_ms=1))
    reply = PermitReply(per_second=None, age_ms=age_ms, verdicts=verdicts, node=node, share=0.5)
    assert load_reply(dump_reply(reply)) == reply


@EXAMPLES
@given(TEXTS, INTEGERS, TEXTS, st.dictionaries(TEXTS, INTEGERS, max_size=2))
def test_messages_that_exchange_state(node, unix_ms, token, value):
    entry = Entry(topic="t", origin=Process(node, token), version=1, published_ms=5, value=value)
    request = StateRequest(
        node=node,
        unix_ms=unix_ms,
        token=token,
        topics=frozenset({node}),
        wants_values=True,
        entries=(entry,),
    )
    assert StateRequest.from_bytes(request.to_bytes(9), 9) == request
    reply = StateReply(token=token, clocks=(1, unix_ms), entries=(entry,), summaries={node: value})
    assert StateReply.from_bytes(reply.to_bytes(9), 9) == reply


@EXAMPLES
@given(
    st.dictionaries(TEXTS, st.none() | st.tuples(COUNTS, st.binary(max_size=4)), max_size=3), TEXTS
)
def test_copies_of_listings(objects, token):
    copied = {
        key: None if found is None else StoredObject(key, *found) for key, found in objects.items()
    }
    copy = ListingCopy(
        revision=1, age_ms=2, token=token, is_snapshot=True, objects=copied, limits=None
    )
    assert load_copy(dump_copy(copy)) == copy


@EXAMPLES
@given(TEXTS, st.binary(max_size=8))
def test_relayed_calls(name, value):
    store = MemoryStore()
    call = RelayCall("put", f"k/{name}", value, None, 0)
    body = cbor2.dumps(attrs.astuple(call))
    assert decode_result(handle_relayed_call(store, body)).unwrap().value == value
    again = decode_result(handle_relayed_call(store, body)).failure()
    assert isinstance(again, VersionConflict) and again.current.value == value


@EXAMPLES
@given(TERMS | st.builds(BatchError, st.sampled_from(BatchErrorKind), TEXTS, st.none() | COUNTS))
def test_answers_to_forwarded_submissions(answer):
    head = head_of(accepted(submission()))
    received = []
    batches = SimpleNamespace(local_submit=lambda found: received.append(found) or answer)
    value = head_bytes(head, [item_fields(item) for item in head.submission.items], 0)
    environ = {"wsgi.input": BytesIO(value)}
    _status, body = peers.PeerApp(batches, "1")._handle_submission(environ)
    assert received == [head.submission]
    assert peers._decode(body, peers._read_submission_response) == answer


@EXAMPLES
@given(WORDS, WORDS, ADDRESSES, COUNTS)
def test_announced_owners(node, batch, address, term):
    found = OwnerTerm(Owner(node=node, incarnation=batch, address=address), term)
    remembered = []
    batches = SimpleNamespace(learn_owner=lambda *found: remembered.append(found))
    environ = {
        "REQUEST_METHOD": "PUT",
        "PATH_INFO": peers.OWNERS_PREFIX + internal_id(batch),
        "QUERY_STRING": urlencode(term_fields(found)),
    }
    peers.PeerApp(batches, "1")._handle_owner(environ)
    assert remembered == [(internal_id(batch), found)]


def crash_exchange():
    clock = ManualClock()
    return CrashExchange(
        clock, random.Random(1), ConnectionPool(clock), CrashBoard(), dict, structlog.get_logger()
    )


@EXAMPLES
@given(
    st.lists(st.tuples(WORDS, TEXTS, WORDS), min_size=1, max_size=3, unique_by=lambda each: each[2])
)
def test_reports_of_crashes(reports):
    sender, receiver = crash_exchange(), crash_exchange()
    for content, service, upstream in reports:
        sender.board.apply(CrashReport(content, service, upstream, 0), 0)
    receiver.answer(REPORTS_PATH, sender._message([], sender.board.reports()))
    assert receiver.digest() == sender.digest()
    _digest, fields = load_cbor(sender.answer(STATE_PATH, cbor2.dumps(["10.0.0.1:1", 0])))
    assert receiver._parse(fields) == sender.board.reports()


@EXAMPLES
@given(st.dictionaries(TEXTS, st.none() | st.floats(0, 1e9), max_size=3))
def test_announced_limits(limits):
    stated = {upstream: Announcement(limit, 5) for upstream, limit in limits.items()}
    fields = load_cbor(cbor2.dumps(announcement_fields(stated, 9)))
    assert read_announcements(fields, 9) == stated


@EXAMPLES
@given(TEXTS, ORIGINS)
def test_origins_of_streams(stream_id, origin):
    def origins():
        clock, log = ManualClock(), structlog.get_logger()
        store = OriginStore("a", MemoryStore(), clock, lambda: 1_000, log)
        others = lambda: {"b": Address("10.0.0.1", 1)}  # noqa: E731
        return StreamOrigins(
            clock, store, UpstreamTable(), lambda: None, others, ConnectionPool(clock), log
        )

    knows, asks = origins(), origins()
    stream = BegunStream(origin, 0, 60_000)
    knows.memory.remember(stream_id, stream)
    post = lambda _pool, _address, _path, body, *_rest: knows.answer(body)  # noqa: E731
    with patch.object(stream_origins, "post_to_gateway", post):
        assert asks._ask_gateways(stream_id) == (stream if stream_id else None)


@EXAMPLES
@given(st.dictionaries(TEXTS, COUNTS, max_size=3))
def test_counts_of_usage(counts):
    assert unpack_counts(pack_counts(counts)) == counts


MESSAGES = [kind for kind in codec._TYPE_NUMBERS]


@pytest.mark.parametrize("kind", MESSAGES, ids=lambda kind: kind.__name__)
@settings(max_examples=25)
@given(st.data())
def test_messages_between_entries_and_agents(kind, data):
    message = data.draw(st.from_type(kind))
    assert codec.decode(codec.encode(message)) == message
