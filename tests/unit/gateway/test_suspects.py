"""Guards against crashes that go unnoticed, and against lost connections taken for crashes."""

import attrs
import gevent
import structlog

from pistachionotch.clock import ManualClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.suspects import GONE_AFTER_MS, SuspectGuard
from pistachionotch.gateway.upstreams import UpstreamRecord, UpstreamTable
from pistachionotch.http_client import ExchangeError
from pistachionotch.quarantine.board import CrashBoard, Verdict

CLOSED = ExchangeError("closed", sent=True, closed=True)
LATE = ExchangeError("no response", sent=True)
REFUSED = ExchangeError("refused", sent=False, refused=True)


class Pool:
    """Refuses connections to some addresses."""

    def __init__(self):
        self.refusing = set()
        self.checks = 0
        self.pause_s = 0.0

    def refuses(self, address, _timeout_ms):
        self.checks += 1
        gevent.sleep(self.pause_s)
        return address.port in self.refusing


class Clock(ManualClock):
    def sleep_ms(self, ms):
        gevent.sleep(0)


def record(number, **changes):
    found = UpstreamRecord(
        instance=f"i-{number}",
        service="s",
        address=Address("10.0.0.1", number),
        zone="a",
        slots=4,
        leaving=False,
        started_ms=1,
        versions={},
    )
    return attrs.evolve(found, **changes)


def make(servers=3):
    table = UpstreamTable()
    table.replace([record(number) for number in range(1, servers + 1)], 1)
    pool = Pool()
    guard = SuspectGuard(Clock(1_000_000), table, pool, CrashBoard(), structlog.get_logger())
    return guard, pool, list(table.upstreams.values())


def verdict(guard, content):
    return guard.admit("q", content, "s", 0).verdict


def test_a_connection_lost_to_a_server_that_is_up_makes_no_suspect():
    guard, _pool, servers = make()
    guard.record_failure("q", "a", servers[0], CLOSED)
    guard.record_failure("q", "b", servers[0], LATE)
    assert verdict(guard, "a") is Verdict.ORDINARY
    assert verdict(guard, "b") is Verdict.ORDINARY


def test_all_requests_on_a_server_that_ended_are_suspects_and_it_is_checked_once():
    guard, pool, servers = make()
    pool.refusing.add(1)
    tasks = [
        gevent.spawn(guard.record_failure, "q", content, servers[0], CLOSED) for content in "abc"
    ]
    gevent.joinall(tasks, raise_error=True)
    assert {verdict(guard, content) for content in "abc"} == {Verdict.TRY_ALONE}
    assert pool.checks == 1


def test_a_client_that_leaves_holds_up_no_other_request_of_its_server():
    guard, pool, servers = make()
    pool.refusing.add(1)
    pool.pause_s = 0.05
    leaving = gevent.spawn(guard.record_failure, "q", "a", servers[0], CLOSED)
    gevent.sleep(0)
    staying = gevent.spawn(guard.record_failure, "q", "b", servers[0], CLOSED)
    gevent.sleep(0)
    leaving.kill()
    staying.get(timeout=1.0)
    assert verdict(guard, "b") is Verdict.TRY_ALONE


def test_a_server_that_was_started_again_behind_a_proxy_has_crashed():
    guard, _pool, servers = make()
    guard.record_failure("q", "a", servers[0], CLOSED)
    guard.record_gone([servers[0].record])
    assert verdict(guard, "a") is Verdict.TRY_ALONE


def test_a_server_that_said_it_would_leave_has_not_crashed():
    guard, _pool, servers = make()
    guard.record_failure("q", "a", servers[0], CLOSED)
    guard.record_gone([attrs.evolve(servers[0].record, leaving=True)])
    assert verdict(guard, "a") is Verdict.ORDINARY


def test_a_registration_that_ends_much_later_is_no_crash():
    guard, _pool, servers = make()
    guard.record_failure("q", "a", servers[0], CLOSED)
    guard.clock.advance(GONE_AFTER_MS)
    guard.record_gone([servers[0].record])
    assert verdict(guard, "a") is Verdict.ORDINARY


def test_a_trial_keeps_others_from_its_server_and_ends_with_it():
    guard, pool, servers = make()
    pool.refusing.add(1)
    guard.record_failure("q", "a", servers[0], CLOSED)
    ruling = guard.admit("q", "a", "s", 0)
    assert guard.begin("a", servers[1], ruling)
    ordinary = guard.admit("q", "other", "s", 0)
    assert not guard.accepts(servers[1].record, ordinary, strictly=True)
    assert guard.accepts(servers[1].record, ordinary, strictly=False)
    assert not guard.accepts(servers[0].record, ordinary, strictly=True)
    assert guard.accepts(servers[2].record, ordinary, strictly=True)
    guard.end("a", servers[1])
    guard.record_success("a")
    assert guard.accepts(servers[1].record, ordinary, strictly=True)
    assert verdict(guard, "a") is Verdict.ORDINARY


def test_servers_that_refuse_connections_are_not_put_at_stake():
    guard, pool, servers = make()
    pool.refusing.add(1)
    guard.record_failure("q", "a", servers[0], CLOSED)
    guard.record_failure("q", "b", servers[1], REFUSED)
    assert verdict(guard, "a") is Verdict.HOLD
    guard.record_answer(servers[1])
    assert verdict(guard, "a") is Verdict.TRY_ALONE
