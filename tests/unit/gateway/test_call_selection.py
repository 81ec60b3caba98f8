"""Guards against calls that a limit turns away although another server could take them."""

import random

import attrs
import pytest
from test_permits import RECORD, hear, make

from pistachionotch.gateway.call_selection import MAX_REJECTIONS, CallSelector
from pistachionotch.gateway.catalog import Route, RouteKind, ServiceShare
from pistachionotch.gateway.load_balancing import NoCapacity
from pistachionotch.gateway.permits import RateLimitedError
from pistachionotch.gateway.responses import ClientCall
from pistachionotch.gateway.upstream_protocol import RequestPurpose, UpstreamRequest
from pistachionotch.gateway.upstreams import UpstreamTable

ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    kind=RouteKind.SAFE,
    shares=(ServiceShare("s", 1),),
    timeout_ms=1_000,
    objective_ms=200,
    priority=2,
    max_attempts=2,
)
CALL = ClientCall(
    request_id="q", method="POST", target="/", host="h", headers=(), body=b"", received_ms=0
)
RECORDS = [attrs.evolve(RECORD, instance=f"i-{number}") for number in range(1, 6)]


@pytest.fixture
def limits():
    return make()


def selector(limits, records):
    table = UpstreamTable(rate_limits=limits)
    table.replace(records, 1)
    return CallSelector(limits.clock, random.Random(1), "a", {"a": "r"}, table)


def reject(limits, record, want):
    request = UpstreamRequest(
        request_id="q",
        method="POST",
        target="/",
        host="h",
        headers=(),
        body=b"",
        instance=record.instance,
        want=want,
    )
    with pytest.raises(RateLimitedError) as caught:
        while True:
            limits.acquire(record, request)
    return caught.value.retry_ms


def limit(limits, record, per_second):
    now_ms = limits.clock.now_ms()
    limits.board.record_response(record.incarnation, per_second, now_ms, now_ms)


def test_server_without_a_limit_takes_the_excess(limits):
    limit(limits, RECORDS[0], 1.0)
    found = selector(limits, RECORDS[:2])
    want = found.permit_want(CALL, ROUTE, "s", 1_000)
    assert want.alternatives == 0
    for _ in range(20):
        assert found.select("s", want, (), {}).upstream.record == RECORDS[1]


def test_limited_servers_are_asked_before_a_call_is_refused(limits):
    for record in RECORDS[:2]:
        limit(limits, record, 1.0)
    found = selector(limits, RECORDS[:2])
    want = found.permit_want(CALL, ROUTE, "s", 1_000)
    assert (want.urgency, want.max_wait_ms, want.alternatives) == (2, 100, 2)
    first = found.select("s", want, (), {}).upstream.record
    rejected = {first.instance: reject(limits, first, want)}
    second = found.select("s", want, (), rejected).upstream.record
    assert second != first
    rejected[second.instance] = reject(limits, second, want)
    refused = found.select("s", want, (), rejected)
    assert refused == NoCapacity("rate limits", min(rejected.values()))


def test_few_rejections_decide_when_a_refused_call_returns(limits):
    for number, record in enumerate(RECORDS):
        limit(limits, record, 1.0 + number)
    found = selector(limits, RECORDS)
    want = found.permit_want(CALL, ROUTE, "s", 1_000)
    for record in RECORDS:
        reject(limits, record, want)
    rejected = {}
    while True:
        choice = found.select("s", want, (), rejected)
        if isinstance(choice, NoCapacity):
            break
        record = choice.upstream.record
        rejected[record.instance] = reject(limits, record, want)
    assert len(rejected) == MAX_REJECTIONS
    # The servers with the highest limits have their next permit first.
    assert rejected.keys() == {"i-5", "i-4", "i-3"}
    assert choice.retry_after_ms == min(rejected.values())


def test_server_that_was_tried_before_is_not_mistaken_for_a_limited_one(limits):
    limit(limits, RECORDS[0], 1.0)
    found = selector(limits, RECORDS[:2])
    want = found.permit_want(CALL, ROUTE, "s", 1_000)
    refused = found.select("s", want, {"i-2"}, {"i-1": 700})
    assert refused == NoCapacity("rate limits", 700)


def test_reward_calls_take_no_place_among_callers_that_return(limits):
    limit(limits, RECORDS[0], 1.0)
    found = selector(limits, RECORDS[:1])
    call = attrs.evolve(CALL, purpose=RequestPurpose.REWARD)
    assert found.permit_want(call, ROUTE, "s", 1_000).alternatives == 0


def test_limit_heard_with_an_answer_is_seen_by_the_selection(limits):
    hear(limits, "1")
    found = selector(limits, [RECORD])
    assert found.permit_want(CALL, ROUTE, "s", 1_000).alternatives == 1
