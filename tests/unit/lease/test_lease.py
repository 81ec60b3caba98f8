"""Guards against two holders at once, fences that do not grow, and late orders of a former holder.

The clocks of the processes differ in offset, and in rate by up to 10 %. Store calls take time, so
that counting from the wrong end of a write fails. Each faulty lease variant below lacks one
safeguard, and the state machine must find the fault.
"""

import itertools
import random

import pytest
import structlog
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from machine_runs import run_variant

from pistachionotch.clock import ManualClock
from pistachionotch.lease.lease import Lease, LeaseState
from pistachionotch.lease.list_cache import MAX_AGE_MS, LeaseListCache
from pistachionotch.lease.record import parse_lease
from pistachionotch.objects.memory import Faults, MemoryStore

KEY = "leases/duty/0"
TIME_TO_LIVE_MS = 1_000
RATES_PERCENT = (100, 105, 95)
PROCESSES = st.integers(0, len(RATES_PERCENT) - 1)


@pytest.fixture(autouse=True, scope="module")
def quiet_logs():
    structlog.configure(processors=[], logger_factory=structlog.ReturnLoggerFactory())
    yield
    structlog.reset_defaults()


class SkewedClock:
    def __init__(self, clock, number):
        self.clock = clock
        self.number = number

    def now_ms(self):
        return self.number * 777_777 + self.clock.now_ms() * RATES_PERCENT[self.number] // 100


class SlowStore:
    """Store with delays before and after each operation; runs ``meanwhile`` right after it."""

    def __init__(self, store):
        self.store = store
        self.before_ms = self.after_ms = 0
        self.meanwhile = None

    def get(self, key):
        return self._timed(lambda: self.store.get(key))

    def put(self, key, value, expected_version):
        return self._timed(lambda: self.store.put(key, value, expected_version))

    def _timed(self, call):
        self.store.clock.advance(self.before_ms)
        answer = call()
        meanwhile, self.meanwhile = self.meanwhile, None
        if meanwhile is not None:
            delays = (self.before_ms, self.after_ms)
            self.before_ms = self.after_ms = 0
            meanwhile()
            self.meanwhile = meanwhile
            self.before_ms, self.after_ms = delays
        self.store.clock.advance(self.after_ms)
        return answer


class LeaseMachine(RuleBasedStateMachine):
    lease_type = Lease

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.memory = MemoryStore(self.clock)
        self.store = SlowStore(self.memory)
        self.started = itertools.count()
        self.leases = [self.new_lease(number) for number in range(len(RATES_PERCENT))]
        self.paused_orders = []
        self.highest_executed_fence = 0
        self.executed = []

    def new_lease(self, number):
        rng = random.Random(next(self.started))
        clock = SkewedClock(self.clock, number)
        return self.lease_type(
            self.store, clock, "duty", "0", f"entry{number}", TIME_TO_LIVE_MS, rng
        )

    @rule(
        numbers=st.lists(PROCESSES, min_size=1, max_size=6),
        pause_ms=st.sampled_from([0, 50, 300, 850]),
        slow_ms=st.tuples(st.sampled_from([0, 0, 120]), st.sampled_from([0, 300, 300])),
        other=PROCESSES,
    )
    def run(self, numbers, pause_ms, slow_ms, other):
        self.store.before_ms, self.store.after_ms = slow_ms
        for number in numbers:
            self.store.meanwhile = self.leases[other].step if number != other else None
            self.leases[number].step()
            self.at_most_one_holder()
            self.clock.advance(pause_ms)
            self.at_most_one_holder()

    @rule(numbers=st.sets(PROCESSES, min_size=1, max_size=2), rounds=st.integers(5, 30))
    def run_steadily(self, numbers, rounds):
        self.store.before_ms = self.store.after_ms = 0
        self.store.meanwhile = None
        for _ in range(rounds):
            for number in numbers:
                self.leases[number].step()
            self.at_most_one_holder()
            self.clock.advance(50)

    @rule(duration_ms=st.sampled_from([10, 80, 90, 500, 1_100]))
    def advance(self, duration_ms):
        self.clock.advance(duration_ms)

    @rule(number=PROCESSES)
    def begin_order(self, number):
        if self.leases[number].held():
            self.paused_orders.append((self.leases[number].session, self.leases[number].fence))

    @precondition(lambda self: self.paused_orders)
    @rule(data=st.data())
    def execute_order(self, data):
        session, fence = data.draw(st.sampled_from(self.paused_orders))
        if fence < self.highest_executed_fence:
            return
        self.highest_executed_fence = fence
        self.executed.append((fence, session))

    @rule(number=PROCESSES)
    def restart(self, number):
        self.leases[number] = self.new_lease(number)

    @rule(number=PROCESSES)
    def release(self, number):
        self.leases[number].release()
        assert not self.leases[number].held()
        self.leases[number] = self.new_lease(number)

    @rule(
        fault=st.sampled_from(["lose_answers", "lose_writes", "delay_writes"]),
        count=st.integers(1, 2),
    )
    def inject_fault(self, fault, count):
        setattr(self.memory.faults, fault, count)

    @rule(outage=st.booleans())
    def change_outage(self, outage):
        self.memory.set_outage(outage)

    @rule()
    def clear_faults(self):
        self.memory.faults = Faults()

    @rule()
    def deliver_delayed(self):
        self.memory.deliver_delayed()

    @invariant()
    def at_most_one_holder(self):
        assert sum(lease.held() for lease in self.leases) <= 1, "two holders"

    @invariant()
    def fence_grows_by_one_at_each_change_of_session(self):
        records = [parse_lease(change.value) for change in self.memory.history]
        last = None
        for record in records:
            if record.session and last is not None:
                grown = record.fence - last.fence
                assert grown == (record.session != last.session), "fence did not grow by one"
            if record.session:
                last = record

    @invariant()
    def executed_fences_have_one_holder(self):
        holders = {}
        for fence, session in self.executed:
            assert holders.setdefault(fence, session) == session, "one fence, two holders"


def run_machine(lease_type, examples):
    run_variant(LeaseMachine, {"lease_type": lease_type}, examples, steps=30)


def test_lease_has_one_holder_and_growing_fences():
    run_machine(Lease, 150)


class WithoutMargin(Lease):
    def _set_held(self, current, fence, started_ms):
        self.margin_ms = 0
        super()._set_held(current, fence, started_ms)


class CountsFromTheResponse(Lease):
    def _set_held(self, current, fence, started_ms):
        super()._set_held(current, fence, self.clock.now_ms())


class TakesOverEarly(Lease):
    def _observe(self, current):
        super()._observe(current)
        self.first_seen_ms -= self.time_to_live_ms // 2


class ReusesTheFence(Lease):
    def _write(self, fence, expected):
        super()._write(max(1, self.highest_fence), expected)


class TrustsUnconfirmedRenewals(Lease):
    def _write(self, fence, expected):
        started_ms = self.clock.now_ms()
        super()._write(fence, expected)
        if self.unconfirmed_writes and self.state is LeaseState.HELD:
            self._set_held(self.last_seen, fence, started_ms)
            self.next_call_ms += TIME_TO_LIVE_MS // 2


@pytest.mark.parametrize(
    ("faulty", "fault"),
    [
        (WithoutMargin, "two holders"),
        (CountsFromTheResponse, "two holders"),
        (TakesOverEarly, "two holders"),
        (ReusesTheFence, "fence did not grow"),
        (TrustsUnconfirmedRenewals, "two holders"),
    ],
)
def test_the_machine_finds_a_missing_safeguard(faulty, fault):
    with pytest.raises(AssertionError, match=fault):
        run_machine(faulty, 2_000)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return MemoryStore(clock)


def new_lease(store, name, seed):
    rng = random.Random(seed)
    return Lease(store, store.clock, "duty", "0", name, TIME_TO_LIVE_MS, rng)


def step_until_held(lease, clock, limit_ms):
    for waited_ms in range(0, limit_ms, 50):
        if lease.step() is LeaseState.HELD:
            return waited_ms
        clock.advance(50)
    return None


def test_holder_renews_without_reads_and_keeps_its_fence(store, clock):
    lease = new_lease(store, "a", 0)
    for _ in range(100):
        assert lease.step() is LeaseState.HELD
        clock.advance(100)
    assert lease.fence == 1
    assert store.calls["get"] == 1
    assert store.calls["put"] <= 26


def test_dead_holder_is_replaced_after_the_whole_time_to_live(store, clock):
    new_lease(store, "a", 0).step()
    other = new_lease(store, "b", 1)
    waited_ms = step_until_held(other, clock, 3_000)
    assert TIME_TO_LIVE_MS <= waited_ms <= 1.5 * TIME_TO_LIVE_MS
    assert other.fence == 2


def make_waiting_processes(store, expiry_pollers):
    """Return twenty waiting processes, of which ``expiry_pollers`` read again at expiry."""
    return [
        Lease(
            store,
            store.clock,
            "duty",
            "0",
            f"w{number}",
            TIME_TO_LIVE_MS,
            random.Random(100 + number),
            min_poll_ms=lambda: 12 * TIME_TO_LIVE_MS,
            polls_at_expiry=lambda number=number: number < expiry_pollers,
        )
        for number in range(20)
    ]


def test_reads_of_many_processes_are_mostly_those_at_expiry(store, clock):
    holder = new_lease(store, "a", 0)
    holder.step()
    fleet = make_waiting_processes(store, expiry_pollers=2)
    for _ in range(240):
        for lease in (holder, *fleet):
            lease.step()
        clock.advance(TIME_TO_LIVE_MS // 20)
    # During twelve times to live, two processes read once per time to live, the others about once.
    assert store.calls["get"] <= 2 * 12 * 1.5 + 20 * 2.5
    waited_ms = 0
    while not any(lease.step() is LeaseState.HELD for lease in fleet):
        clock.advance(50)
        waited_ms += 50
    assert waited_ms <= 1.5 * TIME_TO_LIVE_MS


def test_list_calls_of_many_processes_are_mostly_those_at_expiry(store, clock):
    # Each gateway reads all leases with one list call; all gateways wait for the same lease.
    time_to_live_ms = 2 * MAX_AGE_MS

    def lease(number, polls_at_expiry, min_poll_ms=0):
        return Lease(
            store,
            clock,
            "duty",
            "0",
            f"w{number}",
            time_to_live_ms,
            random.Random(number),
            LeaseListCache(store, clock),
            min_poll_ms=lambda: min_poll_ms,
            polls_at_expiry=lambda: polls_at_expiry,
        )

    holder = lease(0, True)
    while holder.step() is not LeaseState.HELD:
        clock.advance(500)
    store.calls.clear()
    fleet = [lease(number, number <= 2, 12 * time_to_live_ms) for number in range(1, 21)]
    for _ in range(12 * 6):
        for each in (holder, *fleet):
            each.step()
        clock.advance(500)
    assert holder.held()
    assert store.calls["list"] <= 2 * 12 * 1.5 + 20 * 2.5


def test_lease_is_taken_over_without_processes_that_read_at_expiry(store, clock):
    new_lease(store, "a", 0).step()
    fleet = make_waiting_processes(store, expiry_pollers=0)
    waited_ms = 0
    while not any(lease.step() is LeaseState.HELD for lease in fleet):
        clock.advance(50)
        waited_ms += 50
    assert TIME_TO_LIVE_MS <= waited_ms <= 13 * TIME_TO_LIVE_MS


def test_released_lease_is_taken_over_before_the_time_to_live_ends(store, clock):
    lease = new_lease(store, "a", 0)
    lease.step()
    other = new_lease(store, "b", 1)
    other.step()
    lease.release()
    assert lease.step() is LeaseState.RELEASED
    assert step_until_held(other, clock, 3_000) <= TIME_TO_LIVE_MS // 3 + 50


def test_lease_lost_in_an_outage_is_restored_with_the_same_fence(store, clock):
    lease = new_lease(store, "a", 0)
    lease.step()
    store.set_outage(True)
    clock.advance(TIME_TO_LIVE_MS)
    assert not lease.held()
    assert lease.step() is LeaseState.WAITING
    store.set_outage(False)
    assert step_until_held(lease, clock, 1_000) is not None
    assert lease.fence == 1


def test_a_holder_of_other_leases_defers_to_others_for_a_new_lease():
    """Guards against one entry that coordinates all parts of a step, being first to see them."""
    clock = ManualClock()
    clock.advance(1_000_000)
    store = MemoryStore(clock)

    def part(holder, held):
        return Lease(
            store, clock, "step", "t-1/1", holder, 6_000, random.Random(holder), held_keys=held
        )

    busy, idle = part("entry-1", {"leases/step/t-1"}), part("entry-2", set())
    busy.step()
    clock.advance(400)
    idle.step()
    clock.advance(200)
    busy.step()
    assert idle.held() and not busy.held()
