"""Guards against records that the project writes and can't read back: accepted work is lost.

A submission with an estimate of 21 digits was stored, and no process could read it after a restart.
"""

import json
from types import SimpleNamespace

import attrs
import cbor2
import pytest
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachionotch.batches import peers
from pistachionotch.batches.log import _read_items, _split_items
from pistachionotch.batches.model import (
    BatchHead,
    BatchState,
    ItemResult,
    LogEntry,
    Owner,
    PartialResult,
    ResultPage,
    TextPiece,
)
from pistachionotch.batches.records import (
    entry_bytes,
    head_bytes,
    item_fields,
    owner_fields,
    read_entry,
    read_head,
    read_owner,
    read_state,
    state_bytes,
)
from pistachionotch.clock import ManualClock
from pistachionotch.config.spec import Address
from pistachionotch.duties.scaling import (
    MAX_DESIRED,
    LastOrder,
    decode_orders,
    decode_sender,
    encode_orders,
)
from pistachionotch.duties.usage_record import UsageRecord
from pistachionotch.exchange.board import Entry
from pistachionotch.exchange.board import Origin as Process
from pistachionotch.exchange.messages import StateReply, StateRequest
from pistachionotch.gateway.crash_store import CrashStore
from pistachionotch.gateway.peers import GatewayRegistry
from pistachionotch.gateway.sharing import ListingCopy, dump_copy, load_copy
from pistachionotch.idempotency.claim import ClaimPhase, StoredClaim, StoredResult, parse_claim
from pistachionotch.idempotency.cleanup import AgeLedger, parse_ledger
from pistachionotch.lease.record import LeaseRecord, parse_lease
from pistachionotch.limits.broker import PermitReply, PermitRequest
from pistachionotch.limits.messages import dump_reply, dump_request, load_reply, load_request
from pistachionotch.limits.pacer import Denial, Permit, PermitWant
from pistachionotch.malformed import MAX_INTEGER, MIN_INTEGER, load_cbor
from pistachionotch.membership.directory import Member, decode_members, encode_members
from pistachionotch.membership.registration import decode_registration, encode_registration
from pistachionotch.objects.api import StoredObject, VersionConflict
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.objects.relay import RelayCall, decode_result, handle_relayed_call
from pistachionotch.platform.batches import encode_page, read_submission
from pistachionotch.platform.tolerant_json import dump_value, load_tolerantly
from pistachionotch.platform.upstream import EventReader, _parse_versions
from pistachionotch.quarantine.board import CrashBoard, CrashReport
from pistachionotch.software.history import Beginning, OriginHistory
from pistachionotch.software.origin import BegunStream, Origin
from pistachionotch.software.records import (
    history_bytes,
    read_history,
    read_streams,
    streams_bytes,
)
from pistachionotch.weights.demand import DEMANDS_PREFIX, ModelDemands

EXAMPLES = settings(max_examples=60)
# Any text that UTF-8 can hold: NUL, line separators, characters outside the basic plane, quotes.
TEXTS = st.text(max_size=8) | st.sampled_from(
    ["\x00", "\u2028", "\U0001f600", '"\\', "%7E", "=a", "~/"]
)
INTEGERS = st.sampled_from(
    [0, 1, -1, 2**31, 2**53 + 1, 2**63, 2**64, MAX_INTEGER, MIN_INTEGER]
) | st.integers(MIN_INTEGER, MAX_INTEGER)
COUNTS = st.integers(0, MAX_INTEGER)
TIMES = st.integers(0, 10**14)
# Ids and paths of items are sent in request lines.
WORDS = st.text(st.characters(min_codepoint=0x21, max_codepoint=0x7E), min_size=1, max_size=8)
ADDRESSES = st.builds(Address, st.just("10.0.0.1"), st.integers(1, 65_535))
OWNERS = st.builds(Owner, node=TEXTS, incarnation=TEXTS, address=ADDRESSES)
ORIGINS = st.builds(Origin, TEXTS, TEXTS)

# What clients may write into a number or a text of a submission, as JSON.
ODD_DIGITS = st.integers(1, 6_000).map(lambda count: "1" + "0" * (count - 1))
ODD_NUMBERS = (
    INTEGERS.map(str)
    | ODD_DIGITS
    | ODD_DIGITS.map(json.dumps)
    | st.sampled_from(
        ["1e30", "-1e30", "1e400", '"1e30"', "1.5", "null", '""', "true", "[]", '"\u00b2"']
    )
    | TEXTS.map(json.dumps)
)
ODD_TEXTS = TEXTS.map(json.dumps) | st.sampled_from(
    ['"\\ud800"', '"\\udc00x"', "7", "null", "1e400"]
)


def through_platform(value):
    """Return a value as a gateway reads it that has been written to the platform's store."""
    body = {"metadata": {"name": "n", "revision": 1}, "spec": json.loads(value)}
    answer = json.dumps(body, separators=(",", ":")).encode()
    return dump_value(load_tolerantly(answer)["spec"])


@st.composite
def submission_texts(draw):
    """Return the text of a submission whose fields are as odd as JSON allows."""
    return submission(
        train_step=draw(ODD_NUMBERS),
        model=draw(ODD_TEXTS),
        min_version=draw(ODD_NUMBERS),
        desired=draw(ODD_NUMBERS),
        token_count=draw(ODD_NUMBERS),
        group_id=draw(ODD_TEXTS),
        hint=json.dumps(draw(ODD_DIGITS | TEXTS)),
    )


def accepted(text):
    """Return the submission if it is accepted, None if it is refused with a reason."""
    try:
        return read_submission("b1", "h", "/p/b1", text.encode())
    except ValueError as error:
        assert str(error)
        return None


def submission(
    train_step="7",
    model='"m"',
    min_version="6",
    desired="2",
    token_count="940",
    group_id='"g"',
    hint='"400"',
):
    """Return the text of a submission; each value is JSON."""
    item = (
        f'{{"id":"i1","path":"/p/1","headers":{{"Length-Hint":{hint}}},"body":"AA==",'
        f'"token_count":{token_count},"group_id":{group_id}}}'
    )
    return (
        f'{{"train_step":{train_step},"model":{model},"min_version":{min_version},'
        f'"desired":{desired},"items":[{item}]}}'
    )


def head_of(found, owner=None):
    owner = owner or Owner(node="a", incarnation="1", address=Address("10.0.0.1", 7_000))
    return BatchHead(submission=found, owner=owner, accepted_ms=10**12)


def check_head(head):
    items = [item_fields(item) for item in head.submission.items]
    value = head_bytes(head, items, 0)
    assert read_head(through_platform(value)) == (head, 0)
    assert read_head(value) == (head, 0)
    for chunk in _split_items(head.submission.items, 1):
        assert _read_items(through_platform(json.dumps(chunk).encode()))
    state = BatchState(head=head, position=1, listed=(), unlisted=(), parts=())
    assert read_state(state_bytes(state)) == state


@settings(max_examples=400)
@given(submission_texts())
def test_each_process_can_read_what_was_accepted(text):
    found = accepted(text)
    if found is not None:
        check_head(head_of(found))


@pytest.mark.parametrize("field", ["train_step", "min_version", "desired", "token_count"])
@pytest.mark.parametrize("value", ["1e30", "1" + "0" * 25, f'"{10**25}"', f'"{10**39}"'])
def test_a_number_that_cannot_be_kept_is_refused_by_its_name(field, value):
    with pytest.raises(ValueError, match=field):
        read_submission("b1", "h", "/p/b1", submission(**{field: value}).encode())


@pytest.mark.parametrize("field", ["model", "group_id"])
def test_half_of_a_surrogate_pair_is_refused_by_the_name_of_its_field(field):
    with pytest.raises(ValueError, match=field):
        read_submission("b1", "h", "/p/b1", submission(**{field: '"\\ud800"'}).encode())


@pytest.mark.parametrize("hint", ["1" + "0" * 20, "9" * 300, "9" * 9_000, "0" * 30 + "5", "\u00b2"])
def test_an_estimate_may_be_far_off(hint):
    found = accepted(submission(hint=json.dumps(hint)))
    assert found.items[0].headers == (("Length-Hint", hint),)
    check_head(head_of(found))


def test_numbers_of_twenty_digits_are_accepted():
    digits = "9" * 20
    found = accepted(submission(token_count=digits, desired=f'"{digits}"', train_step=digits))
    assert found.items[0].max_tokens == found.wanted_groups == found.step == int(digits)
    check_head(head_of(found))


@pytest.mark.parametrize("number", [10**20, 10**30, 10**300])
def test_a_head_that_earlier_versions_stored_can_be_read(number):
    # They stored any number, and any text as JSON can hold it.
    found = accepted(submission())
    item = attrs.evolve(found.items[0], max_tokens=number, expected_tokens=number, group="\ud800")
    large = attrs.evolve(
        found, items=(item,), wanted_groups=number, step=number, min_version=number
    )
    value = head_bytes(head_of(large), [item_fields(item)], 0)
    head, _parts = read_head(through_platform(value))
    assert head.submission.wanted_groups == head.submission.items[0].max_tokens == MAX_INTEGER
    assert head.submission.items[0].group == "\ud800"
    assert head.submission.items[0].body == item.body
    state = BatchState(head=head, position=0, listed=(), unlisted=(), parts=())
    assert read_state(state_bytes(state)) == state


RESULTS = st.builds(
    ItemResult,
    id=WORDS,
    done=st.booleans(),
    text=TEXTS,
    versions=st.lists(INTEGERS, max_size=3).map(tuple),
    reward=TEXTS,
    pieces=st.just(""),
)
PARTIAL = st.builds(
    PartialResult,
    id=WORDS,
    texts=st.lists(TEXTS, max_size=3).map(tuple),
    last_event=st.none() | INTEGERS,
    versions=st.lists(INTEGERS, max_size=3).map(tuple),
    failures=COUNTS,
    failed_at=st.lists(TEXTS, max_size=2).map(tuple),
    complete=st.booleans(),
    reward_failures=COUNTS,
    origin=st.none() | ORIGINS,
)
ENTRIES = st.builds(
    LogEntry,
    token=TEXTS,
    results=st.lists(RESULTS, max_size=2).map(tuple),
    texts=st.lists(PARTIAL, max_size=2).map(tuple),
    piece=st.none() | st.builds(TextPiece, WORDS, WORDS, TEXTS),
    owner=st.none() | OWNERS,
    ended=st.booleans(),
)


@EXAMPLES
@given(ENTRIES)
def test_log_entries(entry):
    assert read_entry(through_platform(entry_bytes(entry))) == entry


@EXAMPLES
@given(OWNERS, INTEGERS, st.lists(RESULTS, max_size=2), st.lists(PARTIAL, max_size=2))
def test_handed_over_batches(owner, position, results, parts):
    state = BatchState(
        head=head_of(accepted(submission()), owner),
        position=position,
        listed=tuple(results),
        unlisted=tuple(results),
        parts=tuple(parts),
    )
    assert read_state(state_bytes(state)) == state


@EXAMPLES
@given(st.lists(RESULTS, max_size=3), COUNTS)
def test_pages_for_peers_and_clients(results, total):
    page = ResultPage(total=total, results=tuple(results), next_position=len(results))
    batches = SimpleNamespace(local_page=lambda *_: page)
    query = {"position": ["0"], "wait_ms": ["0"]}
    _status, body = peers.PeerApp(batches, "1")._handle_read("b1", query)
    assert peers._decode(body, peers._read_page) == page
    assert json.loads(encode_page(page))["total"] == total


@EXAMPLES
@given(OWNERS)
def test_owners_in_messages_to_peers(owner):
    assert read_owner(load_cbor(cbor2.dumps(owner_fields(owner)))) == owner


@EXAMPLES
@given(TEXTS, TEXTS, TEXTS, COUNTS, COUNTS)
def test_leases(holder, session, token, fence, ttl):
    record = LeaseRecord(holder, session, token, fence, ttl)
    assert parse_lease(through_platform(record.to_bytes())) == record


@EXAMPLES
@given(
    st.dictionaries(
        st.tuples(TEXTS, TEXTS),
        st.tuples(st.integers(0, MAX_DESIRED), TIMES, st.none() | TIMES, st.integers(1, 100)),
        max_size=3,
    ),
    TEXTS,
    COUNTS,
)
def test_orders_of_the_scaling_duty(orders, holder, fence):
    now_ms = 10**14
    written = {
        key: LastOrder(
            desired=desired, at_ms=at_ms, raised_ms=raised_ms, slots=float(slots), sent_ms=at_ms
        )
        for key, (desired, at_ms, raised_ms, slots) in orders.items()
    }
    value = through_platform(encode_orders(written, now_ms, now_ms, "t", (fence, holder)))
    assert decode_orders(value, now_ms, now_ms) == written
    assert decode_sender(value) == (fence, holder)


@EXAMPLES
@given(st.dictionaries(TEXTS, st.integers(1, MAX_INTEGER), max_size=3), COUNTS, TEXTS, COUNTS)
def test_usage_records(counts, window, holder, fence):
    record = UsageRecord(
        last_window=window,
        fence=fence,
        holder=holder,
        windows={window: counts},
        settled=frozenset(),
    )
    assert UsageRecord.from_bytes(through_platform(record.to_bytes("t"))) == record


class PlatformMemory(MemoryStore):
    """Keeps objects as the platform's store gives them back."""

    def put(self, key, value, expected_version):
        return super().put(key, through_platform(value), expected_version)


@EXAMPLES
@given(
    st.lists(st.tuples(WORDS, TEXTS, WORDS), min_size=1, max_size=3, unique_by=lambda each: each[2])
)
def test_crash_records(reports):
    clock, store, log = ManualClock(), PlatformMemory(), structlog.get_logger()

    def crash_store(node):
        return CrashStore(
            node, store, clock, lambda: 10**12, CrashBoard(), log, condemned_only=False
        )

    writer, reader = crash_store("a"), crash_store("b")
    for content, service, upstream in reports:
        report = CrashReport(content, service, upstream, clock.now_ms())
        writer.board.apply(report, clock.now_ms())
        writer.record(report)
    assert writer.save() and reader.read()
    found, written = (
        sorted(attrs.astuple(report) for report in each.board.reports())
        for each in (reader, writer)
    )
    assert found == written


@EXAMPLES
@given(TEXTS, TEXTS, st.floats(0, 1e9))
def test_registrations_of_gateways(region, incarnation, processor):
    store = PlatformMemory()
    log = structlog.get_logger()
    for node in ("a", "b"):
        owner = Owner(node=node, incarnation=incarnation, address=Address("10.0.0.1", 7_000))
        registry = GatewayRegistry(owner, store, log, region, processor)
        assert registry.register()
    registry.apply_listing(dict(store.objects), store.revision)
    assert attrs.asdict(registry.records["a"]) == attrs.asdict(registry.local_record())


@EXAMPLES
@given(st.lists(st.tuples(TEXTS, TEXTS, ORIGINS, st.none() | TIMES), max_size=3))
def test_the_history_of_origins(beginnings):
    history = OriginHistory(
        {Beginning(host, prefix, origin): since for host, prefix, origin, since in beginnings}
    )
    assert read_history(through_platform(history_bytes(history))) == history


@EXAMPLES
@given(st.dictionaries(TEXTS, st.builds(BegunStream, ORIGINS, TIMES, TIMES), max_size=3))
def test_begun_streams(streams):
    value = through_platform(streams_bytes(streams, 10**12))
    assert read_streams(value, 10**12) == streams


@EXAMPLES
@given(WORDS, st.integers(1, 10**30))
def test_demands_of_models(model, tokens):
    store = PlatformMemory()
    writer, reader = (ModelDemands(store, structlog.get_logger()) for _ in range(2))
    writer.record_step(model, tokens)
    reader.apply_listing(dict(store.objects), store.revision)
    assert reader.tokens == writer.tokens and DEMANDS_PREFIX + model in store.objects


MEMBERS = st.builds(
    Member, TEXTS, TEXTS, TEXTS, TEXTS, TEXTS, st.lists(TEXTS, max_size=2).map(tuple)
)


@EXAMPLES
@given(MEMBERS, TEXTS)
def test_registrations_of_agents(member, token):
    assert decode_registration(encode_registration(member, token)) == member
    assert decode_members(encode_members([member])) == (member,)


@EXAMPLES
@given(
    TEXTS,
    st.sampled_from(ClaimPhase),
    st.none()
    | st.builds(
        StoredResult, st.integers(100, 599), st.just((("a", "\xff"),)), st.binary(max_size=4)
    ),
    COUNTS,
)
def test_claims(text, phase, result, epoch):
    claim = StoredClaim(text, text, text, phase, result, epoch)
    assert parse_claim(claim.to_bytes()) == claim
    ledger = AgeLedger(epoch, ((epoch, epoch),))
    assert parse_ledger(ledger.to_bytes("t")) == ledger


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


@pytest.mark.parametrize("version", ["1" + "0" * 25, "\u00b2", "9" * 5_000, "x"])
def test_a_weight_version_that_cannot_be_stored_is_none(version):
    # The log entry with it could not be read, and with it all results after it.
    assert _parse_versions(f"6, {version}") == (6,)
    for line in (f"id: 1\nweight-versions: {version}", f"id: {version}\nweight-versions: 6"):
        with pytest.raises(ValueError):
            EventReader().feed(f"{line}\ndata: x\n\n".encode())
