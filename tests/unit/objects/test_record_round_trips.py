"""Guards against stored records that the project writes and can't read back."""

import random

import attrs
import structlog
from hypothesis import given
from hypothesis import strategies as st
from record_values import COUNTS, EXAMPLES, INTEGERS, ORIGINS, TEXTS, TIMES, WORDS, through_platform

from pistachionotch.batches.model import (
    Owner,
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
from pistachionotch.gateway.crash_store import CrashStore
from pistachionotch.gateway.peers import GatewayRegistry
from pistachionotch.idempotency.claim import ClaimPhase, StoredClaim, StoredResult, parse_claim
from pistachionotch.idempotency.cleanup import AgeLedger, parse_ledger
from pistachionotch.idempotency.keys import IssuedKey, decode_key, encode_key
from pistachionotch.lease.record import LeaseRecord, parse_lease
from pistachionotch.malformed import MAX_INTEGER
from pistachionotch.membership.directory import Member, decode_members, encode_members
from pistachionotch.membership.registration import decode_registration, encode_registration
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.quarantine.board import CrashBoard, CrashReport
from pistachionotch.samples.ledger import StepLedger, StepPlan
from pistachionotch.samples.ledger_format import from_bytes as ledger_from_bytes
from pistachionotch.samples.ledger_format import to_bytes as ledger_bytes
from pistachionotch.samples.request import StepRequest
from pistachionotch.software.history import Beginning, OriginHistory
from pistachionotch.software.origin import BegunStream
from pistachionotch.software.records import (
    history_bytes,
    read_history,
    read_streams,
    streams_bytes,
)
from pistachionotch.weights.demand import DEMANDS_PREFIX, ModelDemands
from pistachionotch.weights.publish import DesiredVersion, Published, publish, read_desired


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


# Steps with other names are refused before anything is written.
NAMES = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", fullmatch=True)


@EXAMPLES
@given(TEXTS.filter(bool), COUNTS, TEXTS)
def test_published_weights(model, version, source):
    store = MemoryStore()
    desired = DesiredVersion(model, version, source)
    assert publish(store, desired, random.Random(1)) == Published(desired)
    assert read_desired(store, model).unwrap() == desired


@EXAMPLES
@given(st.lists(TEXTS, max_size=3), st.dictionaries(TEXTS, INTEGERS | TEXTS, max_size=3))
def test_requests_of_steps(prompts, sampling):
    request = StepRequest(tuple(prompts), sampling)
    assert StepRequest.from_bytes(request.to_bytes()) == request


@EXAMPLES
@given(NAMES, NAMES, st.integers(0, 2**32 - 1), st.binary(min_size=8, max_size=8))
def test_ledgers_of_steps(trainer, model, step, token):
    ledger = StepLedger.create(StepPlan(trainer, step, model, 2, 2, 2))
    ledger.writer_token = token
    assert ledger_from_bytes(ledger_bytes(ledger)).unwrap() == ledger


@EXAMPLES
@given(TEXTS, TEXTS, COUNTS, TEXTS)
def test_issued_keys(agent, incarnation, sequence, scope):
    issued = IssuedKey(agent, incarnation, sequence)
    assert decode_key(encode_key(issued, scope, b"k"), scope, b"k") == issued


@EXAMPLES
@given(TEXTS)
def test_planned_stops_of_gateways(incarnation):
    store = PlatformMemory()
    former, latter = (
        GatewayRegistry(
            Owner(node="a", incarnation=each, address=Address("10.0.0.1", 7_000)),
            store,
            structlog.get_logger(),
        )
        for each in (incarnation + "1", incarnation + "2")
    )
    former.record_stop()
    assert latter.register() and latter.restarted
    assert not latter.measures.counters["unplanned_ends", "gateway"]
