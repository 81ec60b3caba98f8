"""Guards against gateways that don't know which requests crash servers."""

import random
from http import HTTPStatus

import gevent
import pytest
import structlog

from pistachionotch.clock import ManualClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.crash_exchange import COMPARE_INTERVAL_MS, CrashExchange
from pistachionotch.gateway.crash_store import MAX_STORED_REPORTS, CrashStore
from pistachionotch.http_client import ExchangeError, ResponseHead
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.quarantine.board import EVIDENCE_MS, CrashBoard, CrashReport, Stakes, Verdict

# The platform expects a gateway to act on what the others know after this time.
CONTACT_MS = 4_000
LOG = structlog.get_logger()


class Fleet:
    """Gateways that reach each other in memory, unless they are down or cut off."""

    def __init__(self, size):
        self.clock = ManualClock(1_000_000)
        self.down = set()
        self.messages = 0
        self.exchanges = {}
        for number in range(size):
            self.start(number)

    def start(self, number):
        address = Address("10.0.0.1", 1_000 + number)
        self.exchanges[address] = CrashExchange(
            self.clock,
            random.Random(number),
            self.pool_of(address),
            CrashBoard(),
            lambda: {str(each): each for each in self.exchanges if each != address},
            LOG,
            own_address=str(address),
        )
        return self.exchanges[address]

    def pool_of(self, sender):
        fleet = self

        class Pool:
            def ask(self, address, _method, path, _headers, body, _timeout_ms):
                fleet.messages += 1
                if sender in fleet.down or address in fleet.down:
                    raise ExchangeError("unreachable", sent=False)
                reply = fleet.exchanges[address].answer(path, body)
                return ResponseHead(HTTPStatus.OK, ()), reply

        return Pool()

    def crash(self, exchange, content="p", number=2):
        for each in range(number):
            report = CrashReport(content, "s", f"i-{each}", self.clock.now_ms())
            exchange.board.apply(report, self.clock.now_ms())
            exchange.publish(report)
        task = gevent.spawn(exchange.run)
        gevent.spawn(exchange.flush, 1_000).join()
        task.kill()

    def unaware(self, content="p"):
        return [
            address
            for address, exchange in self.exchanges.items()
            if address not in self.down and len(exchange.board.by_content.get(content, ())) < 2
        ]

    def pass_time(self, ms):
        for _ in range(ms // COMPARE_INTERVAL_MS):
            self.clock.advance(COMPARE_INTERVAL_MS)
            for address, exchange in self.exchanges.items():
                if address not in self.down:
                    exchange.compare_once()


def first(fleet):
    return next(iter(fleet.exchanges.values()))


@pytest.mark.parametrize("size", [2, 4, 58, 330])
def test_all_gateways_know_before_the_call_is_answered(size):
    fleet = Fleet(size)
    fleet.crash(first(fleet))
    assert not fleet.unaware()
    assert fleet.messages <= 2 * (size - 1)


def test_gateways_that_are_down_cost_the_others_nothing():
    fleet = Fleet(58)
    fleet.down = set(list(fleet.exchanges)[5:30])
    fleet.crash(first(fleet))
    assert not fleet.unaware()


def test_gateways_know_in_time_after_a_cut():
    fleet = Fleet(22)
    fleet.down = set(list(fleet.exchanges)[8:])
    fleet.crash(first(fleet))
    fleet.pass_time(30_000)
    fleet.down = set()
    fleet.pass_time(CONTACT_MS)
    assert not fleet.unaware()


def test_a_gateway_that_was_cut_off_alone_tells_the_others_in_time():
    fleet = Fleet(22)
    fleet.down = set(list(fleet.exchanges)[1:])
    fleet.crash(first(fleet))
    fleet.down = set()
    fleet.pass_time(CONTACT_MS)
    assert not fleet.unaware()


def test_a_gateway_that_joins_knows_in_time():
    fleet = Fleet(22)
    fleet.crash(first(fleet))
    joined = fleet.start(99)
    fleet.pass_time(CONTACT_MS)
    assert not fleet.unaware()
    assert joined.board.condemned() == ["p"]


def test_a_gateway_that_is_not_listed_yet_is_told():
    fleet = Fleet(4)
    joined = fleet.start(99)
    for address, exchange in fleet.exchanges.items():
        if exchange is not joined:
            others = [each for each in list(fleet.exchanges)[:4] if each != address]
            exchange.other_gateways = lambda others=others: {str(each): each for each in others}
    for _ in range(3):
        joined.compare_once()
    told = next(exchange for exchange in fleet.exchanges.values() if exchange.heard)
    fleet.crash(told)
    assert not fleet.unaware()


def test_an_exoneration_reaches_all_gateways():
    fleet = Fleet(22)
    fleet.crash(first(fleet))
    other = list(fleet.exchanges.values())[7]
    fleet.clock.advance(100)
    report = CrashReport("p", "", "", fleet.clock.now_ms())
    other.board.apply(report, fleet.clock.now_ms())
    other.publish(report)
    task = gevent.spawn(other.run)
    gevent.spawn(other.flush, 1_000).join()
    task.kill()
    fleet.pass_time(10_000)
    assert not any(each.board.is_suspect("p") for each in fleet.exchanges.values())


def store_of(board, clock, objects, node="g-1"):
    return CrashStore(node, objects, clock, lambda: clock.now_ms() + 5_000, board, LOG)


def condemn(board, store, clock):
    for number in range(2):
        report = CrashReport("p", "s", f"i-{number}", clock.now_ms())
        board.apply(report, clock.now_ms())
        store.record(report)


def test_a_condemnation_outlives_all_gateways():
    clock, objects = ManualClock(1_000_000), MemoryStore()
    board = CrashBoard()
    store = store_of(board, clock, objects)
    assert store.read()
    condemn(board, store, clock)
    assert store.save()
    clock.advance(2_000)
    for node in ("g-1", "g-2"):
        fresh = CrashBoard()
        assert store_of(fresh, clock, objects, node).read()
        ruling = fresh.rule("p", "s", Stakes(3, 3), clock.now_ms())
        assert ruling.verdict is Verdict.CONDEMNED


def test_an_outage_delays_the_record_only():
    clock, objects = ManualClock(1_000_000), MemoryStore()
    board = CrashBoard()
    store = store_of(board, clock, objects)
    objects.set_outage(True)
    assert not store.read()
    condemn(board, store, clock)
    assert not store.save()
    objects.set_outage(False)
    assert store.read() and store.save()
    assert store_of(CrashBoard(), clock, objects, "g-2").read()
    assert len(objects.list("crashes/").unwrap()) == 1


def test_what_is_exonerated_or_old_leaves_the_store():
    clock, objects = ManualClock(1_000_000), MemoryStore()
    board = CrashBoard()
    store = store_of(board, clock, objects)
    store.read()
    condemn(board, store, clock)
    store.save()
    clock.advance(EVIDENCE_MS)
    board.evict(clock.now_ms())
    assert store.save()
    fresh = CrashBoard()
    store_of(fresh, clock, objects, "g-2").read()
    assert not fresh.by_content


def test_a_malformed_record_costs_only_itself():
    clock, objects = ManualClock(1_000_000), MemoryStore()
    board = CrashBoard()
    store = store_of(board, clock, objects)
    store.read()
    condemn(board, store, clock)
    store.save()
    for number, value in enumerate((b"", b"[]", b'{"reports":[1]}', b'{"reports":[[1,2,3,"x"]]}')):
        objects.put(f"crashes/odd-{number}", value, None)
    fresh = CrashBoard()
    assert store_of(fresh, clock, objects, "g-2").read()
    assert fresh.condemned() == ["p"]


def test_the_record_of_a_gateway_is_bounded():
    clock = ManualClock(1_000_000)
    store = store_of(CrashBoard(), clock, MemoryStore())
    for number in range(3 * MAX_STORED_REPORTS):
        store.record(CrashReport(f"c-{number}", "s", "i", clock.now_ms()))
    assert len(store.seen) <= MAX_STORED_REPORTS
