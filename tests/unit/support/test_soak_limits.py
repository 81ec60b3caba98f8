"""Guards against a soak that excuses requests beyond a limit that their gateways knew."""

import json
import time
from datetime import UTC, datetime

from tests.support.soak_limits import KnownLimits, check_limits

ALLOWED = 5.0


def log(folder, node, *lines):
    """Write a gateway's log; each line has its monotonic time, its event and its fields."""
    offset_s = time.time() - time.monotonic()
    texts = []
    for at, event, fields in lines:
        stamp = datetime.fromtimestamp(at + offset_s, UTC).isoformat()
        texts.append(json.dumps({"event": event, "timestamp": stamp, "node": node, **fields}))
    # The last line of a killed gateway may be incomplete.
    (folder / f"{node}.log").write_text("\n".join([*texts, '{"request": "x", "ups']))


def placed(at, number):
    fields = {"request": f"r{number}", "upstream": "shop-2"}
    return (at, "calls: call placed", fields)


def learnt(at, limit=0.0, event="limits: rate limit announced", upstream="shop-2"):
    return (at, event, {"upstream": upstream, "limit": limit})


def started(at):
    return (at, "gateway: started", {})


def problems(folder, at, requests=6):
    arrivals = [[at, f"r{number}"] for number in range(requests)]
    breach = {"at": at, "requests": requests, "allowed": ALLOWED, "arrivals": arrivals}
    return check_limits("shop-2", [breach], KnownLimits.read(folder))


def calls(at):
    return [placed(at, number) for number in range(6)]


FOUND = ["shop-2: 6 requests in 4 s at 20.0, allowed 5.0"]


def test_requests_beyond_a_known_limit_are_found(tmp_path):
    assert check_limits("shop-2", [], KnownLimits.read(tmp_path)) == []
    log(tmp_path, "gateway-1", started(1.0), learnt(19.4), *calls(20.0))
    assert problems(tmp_path, 20.0) == FOUND
    assert problems(tmp_path, 20.0, requests=5) == []


def test_a_limit_that_another_gateway_passed_on_is_known_too(tmp_path):
    received = learnt(19.4, event="limits: rate limit received", upstream="shop-2@1/v1")
    log(tmp_path, "gateway-1", started(1.0), received, *calls(20.0))
    assert problems(tmp_path, 20.0) == FOUND


def test_requests_of_unknown_senders_count(tmp_path):
    assert problems(tmp_path, 20.0) == FOUND
    log(tmp_path, "gateway-1", started(1.0), *calls(20.0)[:5])
    assert problems(tmp_path, 20.0) == []


def test_a_restarted_gateway_does_not_know_a_limit_before_it_has_heard_it(tmp_path):
    log(tmp_path, "gateway-1", started(1.0), learnt(5.0), started(19.0), *calls(20.0))
    assert problems(tmp_path, 20.0) == []
    log(tmp_path, "gateway-1", started(19.0), learnt(19.6), *calls(20.0))
    assert problems(tmp_path, 20.0) == []
    log(tmp_path, "gateway-1", started(18.0), learnt(19.4), *calls(20.0))
    assert problems(tmp_path, 20.0) == FOUND
    log(tmp_path, "gateway-1", started(1.0), learnt(5.0), *calls(20.0), started(20.1))
    assert problems(tmp_path, 20.0) == FOUND


def test_a_limit_is_known_until_its_end_or_another_one(tmp_path):
    log(tmp_path, "gateway-1", started(1.0), learnt(5.0), learnt(19.9, 0.5), *calls(20.0))
    assert problems(tmp_path, 20.0) == FOUND
    log(tmp_path, "gateway-1", started(1.0), learnt(5.0), learnt(19.0, None), *calls(20.0))
    assert problems(tmp_path, 20.0) == []


def test_a_limit_of_another_server_excuses_and_counts_nothing(tmp_path):
    log(tmp_path, "gateway-1", started(1.0), learnt(5.0, upstream="shop-1"), *calls(20.0))
    assert problems(tmp_path, 20.0) == []


def test_one_of_several_senders_that_knew_is_enough(tmp_path):
    log(tmp_path, "gateway-1", started(19.9), *calls(20.0))
    log(tmp_path, "gateway-2", started(1.0), learnt(5.0), *calls(20.0))
    assert problems(tmp_path, 20.0) == FOUND
