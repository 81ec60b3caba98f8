"""Guards against requests without a permit, permits that are lost, and permits used too late."""

import random

import attrs
import gevent
import pytest
import structlog

from pistachionotch.clock import SystemClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.exchange import UpstreamClient
from pistachionotch.gateway.limits import RateLimits
from pistachionotch.gateway.permits import RateLimitedError
from pistachionotch.gateway.sharing import CopiesApp, ListingCopy, load_copy
from pistachionotch.gateway.upstream_protocol import UpstreamRequest
from pistachionotch.gateway.upstreams import Upstream, UpstreamRecord
from pistachionotch.http_client import ExchangeError, ResponseHead
from pistachionotch.limits.pacer import BURST_S, MAX_RETRY_MS, PermitWant
from pistachionotch.platform.upstream import ServerProtocol

RECORD = UpstreamRecord(
    instance="i-1",
    service="s",
    address=Address("127.0.0.1", 9),
    zone="a",
    slots=6,
    leaving=False,
    started_ms=1,
    versions={},
)
AT_ONCE = PermitWant(alternatives=1)


def request(want=AT_ONCE):
    return UpstreamRequest(
        request_id="q",
        method="POST",
        target="/",
        host="h",
        headers=(),
        body=b"",
        instance="i-1",
        want=want,
    )


def hear(limits, *values, status=200, sent_ms=None):
    headers = tuple(("server-limit", value) for value in values)
    head = ResponseHead(status, (("request-id", "q"), *headers))
    response = ServerProtocol().read_response(request(), head)
    sent_ms = limits.clock.now_ms() if sent_ms is None else sent_ms
    limits.record_response(RECORD, request(), response, sent_ms)


def make(node="gateway-1", others=None, watchers=None, log=None):
    clock = SystemClock()
    limits = RateLimits(
        node,
        clock,
        random.Random(1),
        None,
        lambda: others or {},
        clock.now_ms,
        lambda: watchers or {},
        log or structlog.get_logger(),
    )
    limits.broker.shorten_overlap()
    limits.broker.overlap_until_ms = clock.now_ms()
    return limits


def paced_by_another():
    """Return the limits of a gateway whose peer paces the upstream."""
    for number in range(100):
        limits = make(others={f"gateway-x{number}": Address("127.0.0.1", 9)})
        if limits.broker._ranked(RECORD.incarnation)[0] != limits.node:
            return limits
    raise AssertionError("no such peer")


class FailingConnection:
    """A connection, and its own pool and parser, that is reset when a request is sent."""

    def __init__(self):
        self.exchanges = 0
        self.open_cause = None
        self.timeouts = []
        self.parser = self

    def client(self, limits):
        return UpstreamClient(limits.clock, ServerProtocol(), self, limits=limits)

    def take(self, *arguments, **more):
        return self

    def send(self, method, target, headers, body, timeout_ms):
        self.timeouts.append(timeout_ms)
        raise ExchangeError("send: connection reset", sent=True)

    @property
    def message_begun(self):
        return False

    def close(self):
        pass


@pytest.fixture
def limits():
    return make()


def test_no_permit_is_needed_without_a_limit(limits):
    assert limits.acquire(RECORD, request()) is None
    hear(limits)
    assert limits.acquire(RECORD, request()) is None


def test_requests_beyond_the_limit_are_rejected_with_growing_times_to_return(limits):
    hear(limits, "2")
    assert limits.acquire(RECORD, request()) is not None
    errors = []
    for _ in range(4):
        with pytest.raises(RateLimitedError) as caught:
            limits.acquire(RECORD, request())
        errors.append(caught.value)
    assert not any(error.sent for error in errors)
    assert 400 <= errors[0].retry_ms <= 550
    returns = [error.retry_ms for error in errors]
    assert returns == sorted(returns) and returns[-1] >= returns[0] + 1_000
    assert 0 < limits.rejected_for_ms(RECORD, 0) <= 500
    assert limits.rejects_from(RECORD, 0) == 0
    assert limits.rejects_from(RECORD, 600) is None
    assert limits.expected_permits(RECORD) == 1


def test_more_urgent_requests_are_not_rejected_from_memory(limits):
    hear(limits, "1")
    limits.acquire(RECORD, request())
    with pytest.raises(RateLimitedError):
        limits.acquire(RECORD, request(PermitWant(urgency=3)))
    assert limits.rejected_for_ms(RECORD, 3) > 0
    assert limits.rejected_for_ms(RECORD, 2) == 0


def test_permit_of_a_caller_that_left_goes_to_the_next_request(limits):
    hear(limits, "4")
    limits.acquire(RECORD, request())
    task = gevent.spawn(limits.acquire, RECORD, request(PermitWant(max_wait_ms=900)))
    gevent.sleep(0.05)
    task.kill()
    assert limits.acquire(RECORD, request()) is not None
    with pytest.raises(RateLimitedError):
        limits.acquire(RECORD, request())


def test_permit_that_was_given_back_is_used_once(limits):
    hear(limits, "1")
    permit = limits.acquire(RECORD, request())
    limits.give_back(permit)
    assert limits.acquire(RECORD, request()) == permit
    limits.give_back(attrs.evolve(permit, expires_ms=limits.clock.now_ms()))
    with pytest.raises(RateLimitedError):
        limits.acquire(RECORD, request())


def test_requests_that_wait_together_use_one_message():
    asked = []
    limits = paced_by_another()
    hear(limits, "100")

    def ask(node, message):
        gevent.sleep(0.01)
        asked.append(len(message.wants))
        return limits.broker._grant(message, 1.0)

    limits.broker.ask = ask
    tasks = [
        gevent.spawn(limits.acquire, RECORD, request(PermitWant(max_wait_ms=500)))
        for _ in range(20)
    ]
    gevent.joinall(tasks, raise_error=True)
    assert sum(asked) == 20 and len(asked) <= 2


def test_error_while_asking_rejects_the_waiting_requests():
    limits = paced_by_another()
    hear(limits, "5")

    def fail(node, message):
        raise RuntimeError("unexpected")

    limits.broker.ask = fail
    with pytest.raises(RateLimitedError):
        limits.acquire(RECORD, request())
    assert not (limits.asking or limits.waiting)


def test_unreadable_value_keeps_the_former_limit_and_is_logged():
    lines = []

    class Log:
        def warning(self, event, **fields):
            lines.append((event, fields["value"], fields["used"]))

        def info(self, event, **fields):
            pass

    limits = make(log=Log())
    hear(limits, "-3")
    assert limits.limit(RECORD) is None
    hear(limits, "7")
    for value in ("", "nan", "inf", "-1", "many"):
        hear(limits, value)
        assert limits.limit(RECORD) == 7.0
    hear(limits, "9", "4")
    assert limits.limit(RECORD) == 4.0
    assert [line[0] for line in lines] == ["questionable rate limit"] * 7
    assert lines[-1] == ("questionable rate limit", "9,4", 4.0)


def test_answer_of_another_server_at_the_same_address_changes_nothing(limits):
    hear(limits, "3")
    hear(limits, status=421)
    hear(limits, "8", status=421)
    assert limits.limit(RECORD) == 3.0


def test_limit_that_vanishes_ends(limits):
    hear(limits, "3", sent_ms=limits.clock.now_ms() - 1_000)
    gevent.sleep(0.11)
    hear(limits)
    assert limits.limit(RECORD) is None
    assert limits.acquire(RECORD, request()) is None


def test_saved_up_requests_pass_at_once_after_a_pause(limits):
    hear(limits, "10")
    limits.acquire(RECORD, request())
    limits.broker.pacers[RECORD.incarnation].updated_ms -= 10_000
    for _ in range(int(10 * BURST_S)):
        limits.acquire(RECORD, request())
    with pytest.raises(RateLimitedError):
        limits.acquire(RECORD, request())


def test_copies_of_the_listing_carry_changed_limits(limits):
    woken = []
    limits.exchange.changed = lambda: woken.append(True)
    waits = []

    def copy_of(prefix, token, wait_ms):
        waits.append(wait_ms)
        return ListingCopy(revision=3, age_ms=0, token="t:1", is_snapshot=False, objects={})

    app = CopiesApp(copy_of, limits.exchange)
    other = make("gateway-2").exchange

    def fetch():
        token = other.tokens.get("gateway-1", "")
        query = f"since=t:1&wait_ms=1000&limits={token}"
        environ = {"PATH_INFO": "/copies/servers/", "QUERY_STRING": query}
        copy = load_copy(app.answer(environ)[1])
        other.apply_changes("gateway-1", copy.limits)

    fetch()
    fetch()
    assert waits == [0, 1_000]
    hear(limits, "6")
    assert woken
    fetch()
    assert other.board.limit(RECORD.incarnation) == 6.0
    fetch()
    assert waits == [0, 1_000, 0, 1_000]
    without = {"PATH_INFO": "/copies/servers/", "QUERY_STRING": "since=t:1&wait_ms=5"}
    assert load_copy(app.answer(without)[1]).limits is None


def test_push_tells_a_watcher_and_fetches_what_it_knows():
    first, second = make("gateway-1").exchange, make("gateway-2").exchange
    first.board.record_response("a@1", 2.0, 0, first.clock.now_ms())
    second.board.record_response("b@1", 3.0, 0, second.clock.now_ms())

    class Pool:
        def ask(self, address, method, path, headers, body, timeout_ms):
            return ResponseHead(200, ()), second.answer(body)

    first.pool = Pool()
    first.active_watchers = lambda: {"gateway-2": Address("127.0.0.1", 9)}
    first.push_announcements()
    assert first.board.limited() == second.board.limited() == {"a@1": 2.0, "b@1": 3.0}


def test_time_to_return_is_bounded_however_many_callers_are_rejected(limits):
    hear(limits, "0.5")
    limits.acquire(RECORD, request())
    for _ in range(100):
        with pytest.raises(RateLimitedError) as caught:
            limits.acquire(RECORD, request())
    assert caught.value.retry_ms <= MAX_RETRY_MS


def test_second_attempt_without_a_permit_does_not_claim_that_nothing_ran(limits):
    connection = FailingConnection()
    connection.exchanges = 1
    client = connection.client(limits)
    hear(limits, "1")
    with pytest.raises(ExchangeError) as caught:
        client.send_request(Upstream(RECORD), request(), 500, repeatable=True)
    assert caught.value.sent and not isinstance(caught.value, RateLimitedError)


@pytest.mark.parametrize(("budget_ms", "left_ms"), [(None, 800), (900, 400)])
def test_wait_for_a_permit_shortens_the_timeout_of_requests_with_a_budget_only(
    limits, budget_ms, left_ms
):
    connection = FailingConnection()
    client = connection.client(limits)
    hear(limits, "2.5")
    limits.acquire(RECORD, request())
    waiting = attrs.evolve(request(PermitWant(max_wait_ms=2_000)), budget_ms=budget_ms)
    with pytest.raises(ExchangeError):
        client.send_request(Upstream(RECORD), waiting, 800, repeatable=False)
    assert left_ms - 100 <= connection.timeouts[0] <= left_ms + 20


@pytest.mark.parametrize(("repeatable", "sent"), [(True, 2), (False, 1)])
def test_only_a_repeatable_request_is_sent_again_after_its_kept_connection_broke(
    limits, repeatable, sent
):
    connection = FailingConnection()
    connection.exchanges = 1
    client = connection.client(limits)
    with pytest.raises(ExchangeError) as caught:
        client.send_request(Upstream(RECORD), request(), 500, repeatable, reuse=True)
    assert caught.value.sent and len(connection.timeouts) == sent
