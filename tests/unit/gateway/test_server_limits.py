"""Guards against servers that get more requests than the limit that they named.

Gateways run as separate processes; the servers count the requests to them by themselves.
"""

import json
import random
import time

import gevent
import pytest

from pistachionotch.http_client import ExchangeError
from pistachionotch.limits.broker import OVERLAP_SHARE, START_OVERLAP_MS
from tests.support.platform import Platform, new_id

LIMITS = {"shop-1": 2.0, "shop-2": 3.0}
CALLERS = 8
CALL_PAUSE_S = 0.3
LIMITED_S = 8.0
# Share of what the limits allow that is used while callers ask for several times as much.
LEAST_USE = 0.8
STEPS = 6
STEP_S = 1.5
VALUES_WITHOUT_A_LIMIT = ("-1", "inf", "1e3", "nan", "", "9" * 400, "999999999999")


@pytest.fixture(scope="module")
def platform():
    found = Platform(gateways=3)
    yield found
    found.stop()


def keep_calling(platform, until_s, answers):
    while time.monotonic() < until_s:
        request = new_id()
        name = random.choice(platform.names)
        try:
            status, headers, _body = platform.call(name, "/safe/x", request, budget_ms=1_500)
        except ExchangeError as error:
            status, headers = 0, {"error": str(error)}
        answers.append((time.monotonic(), request, status, headers))
        gevent.sleep(CALL_PAUSE_S * random.random() * 2)


def call_for(platform, seconds):
    answers = []
    until_s = time.monotonic() + seconds
    gevent.joinall(
        [gevent.spawn(keep_calling, platform, until_s, answers) for _ in range(CALLERS)],
        raise_error=True,
    )
    return answers


def arrivals(platform, name):
    return platform.fetch(name, "/arrivals")


def test_limit_heard_by_one_gateway_bounds_the_requests_of_all(platform):
    for name, limit in LIMITS.items():
        platform.faults(name, limit=[str(limit)])
    started_s = time.monotonic()
    answers = call_for(platform, LIMITED_S)
    for name in LIMITS:
        assert arrivals(platform, name)["breaches"] == []
    runs = {run["request"] for run in platform.runs("shop")}
    refused = [answer for answer in answers if answer[2] == 503]
    for _at, request, _status, headers in refused:
        assert request not in runs
        assert 0.0 < float(headers["retry-after"]) <= 10.0
    assert {status for _at, _request, status, _headers in answers} <= {200, 503}
    # Gateways that have just started grant half of a limit, whichever of them paces a server.
    overlap_s = START_OVERLAP_MS / 1_000
    least_s = OVERLAP_SHARE * (overlap_s - 1.0) + LIMITED_S - overlap_s
    served = {answer[1] for answer in answers if answer[0] > started_s + 1.0 and answer[2] == 200}
    for name, limit in LIMITS.items():
        count = sum(1 for run in platform.runs(name) if run["request"] in served)
        assert count >= LEAST_USE * limit * least_s, name
    for name in LIMITS:
        platform.faults(name, limit=[])
    # Requests that the servers still accept bring the end of the limits.
    call_for(platform, 1.5)
    assert {status for _at, _request, status, _headers in call_for(platform, 2.0)} == {200}


def test_items_rewards_reports_and_orders_count_towards_the_limit(platform):
    limits = {"engine-1": 1, "engine-2": 1, "shop-1": 4, "shop-2": 4}
    for name, limit in limits.items():
        platform.faults(name, limit=[str(limit)])
    before = {name: arrivals(platform, name) for name in limits}
    version = max([1, *(order["version"] for order in version_orders(platform))])
    for step in range(STEPS):
        gateway = platform.names[step % len(platform.names)]
        assert platform.submit(gateway, f"limited-{step}", groups=3, size=4) == 202
        version += 1
        platform.write("versions", "m0", {"model": "m0", "version": version})
        gevent.sleep(STEP_S)
    for step in range(STEPS):
        assert len(platform.read_all(f"limited-{step}", timeout_s=40.0)) == 12
    for name in limits:
        assert arrivals(platform, name)["breaches"] == before[name]["breaches"]
        assert arrivals(platform, name)["total"] > before[name]["total"]
        platform.faults(name, limit=[])


def version_orders(platform):
    return [
        order
        for name in platform.servers
        if name.startswith("engine")
        for order in platform.fetch(name, "/runs")["orders"]
    ]


def test_values_that_limit_nothing_break_nothing(platform):
    # Unreadable values neither start nor end a limit, so an earlier one has to end first.
    call_for(platform, 1.5)
    for value in VALUES_WITHOUT_A_LIMIT:
        for name in LIMITS:
            platform.faults(name, limit=[value])
        assert {answer[2] for answer in call_for(platform, 0.8)} == {200}, value
    for name in LIMITS:
        platform.faults(name, limit=[])


def test_log_tells_the_cause_of_a_refusal(platform):
    for name in LIMITS:
        platform.faults(name, limit=["0"])
    answers = call_for(platform, 3.0)
    for name in LIMITS:
        platform.faults(name, limit=[])
    refused = [request for _at, request, status, _headers in answers if status == 503]
    assert refused
    lines = [line for name in platform.names for line in platform.log_lines(name)]
    found = {line["event"]: line for line in lines if line.get("request") == refused[-1]}
    denied = found["limits: permit denied"]
    assert denied["limit"] == 0.0
    assert denied["age_ms"] >= 0
    assert {"own_per_second", "paced_by", "paced_share", "retry_ms"} <= denied.keys()
    assert found["calls: call given up"]["cause"] == "not run"
    assert json.dumps(found["calls: call given up"]["reason"]) != '""'
