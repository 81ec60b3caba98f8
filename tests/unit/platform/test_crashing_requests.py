"""Guards against a request that crashes one server after the other."""

import gevent
import pytest

from pistachionotch.http_client import ExchangeError
from tests.support.platform import Platform, new_id

DEADLY = b"deadly"
# The least that a service of three keeps.
MOST_CRASHES = 2
GATEWAYS = 3
# Time after a crash in which no request is refused for good.
SETTLE_S = 0.5


@pytest.fixture
def platform():
    found = Platform(gateways=GATEWAYS)
    found.start_server("shop")
    found.wait(lambda: all(knows_servers(found, name, 6) for name in found.names))
    found.wait(lambda: all(knows_gateways(found, name) for name in found.names))
    yield found
    found.stop()


def knows_servers(platform, gateway, number):
    listed = [
        line["upstreams"]
        for line in platform.log_lines(gateway)
        if line["event"] == "gateway: upstreams listed"
    ]
    return bool(listed) and listed[-1] == number


def knows_gateways(platform, gateway):
    listed = [
        line["others"]
        for line in platform.log_lines(gateway)
        if line["event"] == "gateway: gateways listed"
    ]
    return bool(listed) and len(listed[-1]) == GATEWAYS - 1


def send(platform, gateway, kind, body):
    """Return the status of one attempt, None if it has no answer."""
    try:
        return platform.call(gateway, f"/{kind}/x", new_id(), body)[0]
    except ExchangeError:
        return None


def send_everywhere(platform, kind, times=3, body=DEADLY, pause_s=0.05):
    statuses = []
    for _ in range(times):
        for name in platform.names:
            statuses.append(send(platform, name, kind, body))
            gevent.sleep(pause_s)
    return statuses


def revive(platform):
    """Start the servers that crashed again, as their supervisors do."""
    for name in {crash["server"] for crash in platform.crashes()}:
        platform.deployment.restart(name)
    platform.wait(lambda: all(platform.fetch(name, "/runs") for name in platform.servers))


def test_a_safe_request_crashes_fewer_than_all_servers_of_a_service(platform):
    send_everywhere(platform, "safe")
    gevent.sleep(SETTLE_S)
    assert send_everywhere(platform, "safe", times=1) == [400] * GATEWAYS
    assert len(platform.crashes()) <= MOST_CRASHES


def test_an_unsafe_request_crashes_fewer_than_all_servers_of_a_service(platform):
    send_everywhere(platform, "unsafe")
    gevent.sleep(SETTLE_S)
    assert send_everywhere(platform, "unsafe", times=1) == [400] * GATEWAYS
    assert len(platform.crashes()) <= MOST_CRASHES


def test_a_stream_crashes_fewer_than_all_engines(platform):
    for _ in range(2):
        for name in platform.names:
            platform.stream(name, new_id(), body=DEADLY)
            gevent.sleep(0.05)
    gevent.sleep(SETTLE_S)
    statuses = [platform.stream(name, new_id(), body=DEADLY)[0] for name in platform.names]
    assert statuses == [400] * GATEWAYS
    assert len(platform.crashes()) <= MOST_CRASHES


def test_other_calls_are_served_while_one_request_crashes_servers(platform):
    culprit = gevent.spawn(send_everywhere, platform, "safe")
    served = []
    while not culprit.ready():
        body = f"order {len(served)}".encode()
        # Clients send a repeatable call once more after a failure.
        for name in platform.names[:2]:
            status = send(platform, name, "safe", body)
            if status == 200:
                break
        served.append(status)
    assert served
    assert set(served) == {200}


def test_a_crashing_request_is_known_after_all_gateways_died(platform):
    send_everywhere(platform, "safe")
    gevent.sleep(1.0)
    revive(platform)
    crashes = len(platform.crashes())
    for name in platform.names:
        platform.deployment.kill(name)
    for name in platform.names:
        platform.deployment.restart(name)
    platform.wait(lambda: all(platform.ready(name) for name in platform.names))
    send_everywhere(platform, "safe")
    assert len(platform.crashes()) == crashes


def test_items_under_which_engines_crashed_are_done(platform):
    batch = new_id()
    assert platform.submit("gateway-1", batch, groups=6) == 202
    for name in platform.names[:2]:
        platform.stream(name, new_id(), body=DEADLY)
    assert len(platform.crashes()) >= 1
    results = platform.read_all(batch, timeout_s=30.0)
    assert all(result["state"] == "done" for result in results)
    assert {result["weight_versions"][0] for result in results} == {1}
