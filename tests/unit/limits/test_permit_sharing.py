"""Guards against gateways that together exceed a limit: many of them, lost, cut off or new.

Brokers of several gateways exchange their messages by function calls, encoded as on the wire. The
server counts what reaches it. A broken variant of the broker shows that the check finds the fault.
"""

import random

import attrs
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from machine_runs import run_variant

from pistachionotch.clock import ManualClock
from pistachionotch.limits.announcements import SIMULTANEOUS_MS, AnnouncementBoard
from pistachionotch.limits.broker import (
    AVOID_MS,
    DEPUTY_OVERLAP_MS,
    START_OVERLAP_MS,
    PermitBroker,
)
from pistachionotch.limits.messages import dump_reply, dump_request, load_reply, load_request
from pistachionotch.limits.pacer import Permit, PermitWant
from pistachionotch.standins.arrivals import ADDITIONAL_REQUESTS, TOLERANCE, WINDOW_S

SERVER = "i-7@3"
WANT = PermitWant(max_wait_ms=100)


class Fleet:
    """Gateways in front of one server that names a limit."""

    def __init__(self, count, limit, broker=PermitBroker):
        self.clock = ManualClock(1_000_000)
        self.make_broker = broker
        self.limit = limit
        self.cut = set()
        self.down = set()
        self.listed = {f"gateway-{number}" for number in range(count)}
        self.sent = []
        self.messages = 0
        self.brokers = {node: self.start(node) for node in sorted(self.listed)}

    def start(self, node):
        def ask(other, request):
            if other in self.down or other in self.cut or node in self.cut:
                return None
            self.messages += 1
            reply = self.brokers[other].handle(load_request(dump_request(request)))
            return load_reply(dump_reply(reply))

        return self.make_broker(
            node,
            self.clock,
            random.Random(1),
            AnnouncementBoard(),
            lambda: self.listed - {node},
            self.clock.now_ms,
            ask,
        )

    def settle(self):
        self.clock.advance(START_OVERLAP_MS)

    def request(self, node, want=WANT):
        """Send a request of one gateway if it gets a permit; returns whether it did."""
        broker = self.brokers[node]
        # A gateway hears the limit with its own responses.
        now_ms = self.clock.now_ms()
        broker.board.record_response(SERVER, self.limit, now_ms, now_ms)
        (verdict,) = broker.request(SERVER, [want]).verdicts
        if isinstance(verdict, Permit):
            self.sent.append(now_ms + verdict.wait_ms)
        return isinstance(verdict, Permit)

    def paced_by(self):
        return self.brokers[min(self.listed)]._ranked(SERVER)[0]

    def busiest_window(self):
        window_ms = WINDOW_S * 1_000
        return max(
            (sum(1 for each in self.sent if at <= each <= at + window_ms) for at in self.sent),
            default=0,
        )

    def allowed(self):
        return TOLERANCE * self.limit * WINDOW_S + ADDITIONAL_REQUESTS


def run(fleet, seconds, pause_ms, nodes=None):
    rng = random.Random(3)
    nodes = sorted(nodes or fleet.listed - fleet.down)
    served = 0
    for _ in range(int(seconds * 1_000 / pause_ms)):
        served += fleet.request(rng.choice(nodes))
        fleet.clock.advance(pause_ms)
    return served


def test_limit_of_one_request_per_second_is_shared_by_58_gateways_without_loss():
    fleet = Fleet(58, 1.0)
    fleet.settle()
    served = run(fleet, 60, 50)
    assert 0.95 * 60 <= served <= 60 + 2
    assert fleet.busiest_window() <= TOLERANCE * WINDOW_S


def test_requests_that_nobody_sent_since_the_limit_was_named_are_saved_up():
    fleet = Fleet(4, 5.0)
    fleet.settle()
    fleet.request(fleet.paced_by())
    fleet.brokers[fleet.paced_by()].pacers.clear()
    fleet.clock.advance(1_200)
    assert sum(fleet.request("gateway-2") for _ in range(20)) == 7
    fleet.brokers[fleet.paced_by()].pacers.clear()
    fleet.clock.advance(60_000)
    assert sum(fleet.request("gateway-2") for _ in range(20)) == 10


def test_one_busy_gateway_gets_the_whole_limit():
    fleet = Fleet(20, 4.0)
    fleet.settle()
    assert run(fleet, 30, 50, ["gateway-3"]) >= 0.95 * 4 * 30


def test_deputy_grants_half_while_the_pacing_gateway_may_still_grant():
    fleet = Fleet(5, 4.0)
    fleet.settle()
    run(fleet, 4, 50)
    fleet.down.add(fleet.paced_by())
    fleet.sent.clear()
    served = run(fleet, DEPUTY_OVERLAP_MS / 1_000, 50)
    assert 0.9 * 2 * 10 <= served <= 2 * 10 + 4
    assert 0.9 * 4 * 10 <= run(fleet, 10, 50) <= 4 * 10 + 8


def test_deputy_of_a_stopping_gateway_grants_the_whole_limit_at_once():
    fleet = Fleet(5, 4.0)
    fleet.settle()
    first = fleet.paced_by()
    run(fleet, 4, 50)
    fleet.brokers[first].resigned = True
    assert run(fleet, 10, 50) >= 0.95 * 4 * 10 - 4
    fleet.down.add(first)
    assert run(fleet, 5, 50) >= 0.95 * 4 * 5 - 2
    assert fleet.busiest_window() <= fleet.allowed()
    assert fleet.request(first) in (True, False)
    fleet.down.clear()
    fleet.brokers[first] = fleet.start(first)
    fleet.brokers[first].shorten_overlap()
    run(fleet, 10, 50)
    assert fleet.busiest_window() <= fleet.allowed()


def test_deputy_of_a_stopping_gateway_does_not_add_a_burst_of_its_own():
    fleet = Fleet(5, 20.0)
    fleet.settle()
    first = fleet.paced_by()
    for node in sorted(fleet.listed):
        fleet.request(node)
    fleet.clock.advance(10_000)
    others = sorted(fleet.listed - {first})
    run(fleet, 2, 5, others)
    fleet.brokers[first].resigned = True
    run(fleet, 4, 5, others)
    assert fleet.busiest_window() <= fleet.allowed()


def test_pacing_gateway_that_returns_is_used_again_by_its_deputy():
    fleet = Fleet(5, 4.0)
    fleet.settle()
    first = fleet.paced_by()
    fleet.down.add(first)
    run(fleet, 3, 50)
    fleet.down.clear()
    fleet.brokers[first] = fleet.start(first)
    fleet.clock.advance(AVOID_MS)
    fleet.sent.clear()
    run(fleet, 10, 50)
    assert fleet.busiest_window() <= fleet.allowed()
    reply = fleet.brokers["gateway-1"].request(SERVER, [WANT])
    assert (reply.node, reply.share) == (first, 1.0)


def test_gateway_that_is_cut_off_still_serves_a_little_and_the_sum_stays_bounded():
    fleet = Fleet(4, 8.0)
    fleet.settle()
    cut = next(node for node in sorted(fleet.listed) if node not in _pacing(fleet))
    fleet.cut.add(cut)
    assert 0 < run(fleet, 10, 20, [cut]) <= 8 * 0.5 / 4 * 10 + 8
    run(fleet, 20, 20)
    assert fleet.busiest_window() <= fleet.allowed()


def _pacing(fleet):
    return fleet.brokers[min(fleet.listed)]._ranked(SERVER)[:2]


def test_new_gateway_that_takes_over_pacing_does_not_double_the_limit():
    for number in range(30):
        fleet = Fleet(4, 6.0)
        fleet.settle()
        run(fleet, 5, 20)
        new = f"gateway-new-{number}"
        fleet.brokers[new] = fleet.start(new)
        # Half of the gateways list the new one, so there are two pacing gateways for a while.
        late = {"gateway-0", "gateway-1"}
        for node, broker in fleet.brokers.items():
            others = fleet.listed | (set() if node in late else {new})
            broker.other_gateways = lambda node=node, others=others: others - {node}
        run(fleet, 4, 20, list(fleet.brokers))
        fleet.listed.add(new)
        for node, broker in fleet.brokers.items():
            broker.other_gateways = lambda node=node, fleet=fleet: fleet.listed - {node}
        run(fleet, 8, 20)
        assert fleet.busiest_window() <= fleet.allowed(), new


def test_gateways_that_list_nobody_at_their_start_neither_wait_nor_grant_the_whole_limit_each():
    fleet = Fleet(3, 4.0)
    for node, broker in fleet.brokers.items():
        broker.other_gateways = lambda: set()
        broker.peers_listed_ms = lambda: None
        assert broker._ranked(SERVER) == [node]
    served = run(fleet, 4, 20)
    assert 0.9 * 3 * 2.0 * 4 <= served <= 1.1 * 3 * 2.0 * 4
    assert fleet.busiest_window() <= fleet.allowed()
    # The list of the others, read once they have registered, ends the state.
    for node, broker in fleet.brokers.items():
        broker.other_gateways = lambda node=node: fleet.listed - {node}
        broker.peers_listed_ms = fleet.clock.now_ms
    fleet.clock.advance(START_OVERLAP_MS)
    fleet.sent.clear()
    assert 0.95 * 4 * 10 <= run(fleet, 10, 20) <= 4 * 10 + 8


def test_end_of_a_limit_reaches_gateways_that_heard_of_it_earlier():
    fleet = Fleet(3, 1.0)
    fleet.settle()
    run(fleet, 3, 50)
    fleet.clock.advance(SIMULTANEOUS_MS + 1)
    now_ms = fleet.clock.now_ms()
    fleet.brokers[fleet.paced_by()].board.record_response(SERVER, None, now_ms, now_ms)
    for node in fleet.listed:
        reply = fleet.brokers[node].request(SERVER, [WANT])
        assert reply.per_second is None and reply.verdicts == ()
        assert fleet.brokers[node].board.limit(SERVER) is None


def test_state_of_gone_servers_and_gateways_is_removed():
    fleet = Fleet(3, 1.0)
    fleet.down.update(fleet.listed - {"gateway-0"})
    fleet.request("gateway-0")
    fleet.listed = {"gateway-0"}
    fleet.clock.advance(200_000)
    broker = fleet.brokers["gateway-0"]
    broker.evict(set())
    assert not (broker.pacers or broker.outages or broker.board.announcements)


@attrs.define
class AsksNobody(PermitBroker):
    """Faulty variant: each gateway keeps the limit by itself, as if it were the only one."""

    def _ask_first(self, nodes, request):
        return None

    def _pacing_share(self, ranked):
        return 1.0


class FleetMachine(RuleBasedStateMachine):
    """Requests, pauses, restarts and cuts in any order never exceed the bound of the platform.

    Gateways that were cut off, and those that started within the last seconds, are not counted:
    the platform excuses them, and they may not have heard of the limit yet.
    """

    broker = PermitBroker

    @initialize(limit=st.sampled_from([0.5, 2.0, 6.0, 20.0]), count=st.integers(2, 6))
    def start(self, limit, count):
        self.fleet = Fleet(count, limit, self.broker)
        self.fleet.settle()

    def node(self, number):
        return f"gateway-{number % len(self.fleet.brokers)}"

    @rule(number=st.integers(0, 5), requests=st.integers(1, 40), pause_ms=st.integers(0, 120))
    def send(self, number, requests, pause_ms):
        node = self.node(number)
        if node in self.fleet.down:
            return
        for _ in range(requests):
            if node in self.fleet.cut:
                before = len(self.fleet.sent)
                self.fleet.request(node)
                del self.fleet.sent[before:]
            else:
                self.fleet.request(node)
            self.fleet.clock.advance(pause_ms)

    @rule(duration_ms=st.integers(1, 6_000))
    def wait(self, duration_ms):
        self.fleet.clock.advance(duration_ms)

    @rule(number=st.integers(0, 5))
    def stop(self, number):
        if len(self.fleet.down) < len(self.fleet.brokers) - 1:
            self.fleet.down.add(self.node(number))

    @rule(number=st.integers(0, 5))
    def restart(self, number):
        node = self.node(number)
        self.fleet.down.discard(node)
        self.fleet.brokers[node] = self.fleet.start(node)
        self.fleet.brokers[node].shorten_overlap()

    @rule(number=st.integers(0, 5))
    def resign(self, number):
        self.fleet.brokers[self.node(number)].resigned = True

    @rule(number=st.integers(0, 5))
    def resume(self, number):
        self.fleet.down.discard(self.node(number))

    @rule(number=st.integers(0, 5))
    def cut(self, number):
        self.fleet.cut.add(self.node(number))

    @rule(number=st.integers(0, 5))
    def heal(self, number):
        self.fleet.cut.discard(self.node(number))

    @invariant()
    def bound_holds(self):
        if not hasattr(self, "fleet"):
            return
        recent = [at for at in self.fleet.sent if at > self.fleet.clock.now_ms() - 20_000]
        self.fleet.sent = recent
        assert self.fleet.busiest_window() <= self.fleet.allowed()


def test_requests_restarts_and_cuts_in_any_order_keep_the_bound():
    run_variant(FleetMachine, {}, examples=300, steps=30)


def test_machine_finds_gateways_that_keep_the_limit_each_by_itself():
    with pytest.raises(AssertionError):
        run_variant(FleetMachine, {"broker": AsksNobody}, examples=300, steps=30)
