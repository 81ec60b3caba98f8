"""Guards against a second run of a call, and against "not run" told of a call that ran.

The machine compares a ledger of what was really sent with what callers were told, under lost
answers, outages, restarts, paused agents, races and late replies. Each variant of the book below
lacks one protecting step, and the machine must find the fault.
"""

import random
from collections import Counter

import attrs
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from pistachionotch.clock import ManualClock
from pistachionotch.idempotency.book import MAX_RESULT_BYTES, ClaimBook
from pistachionotch.idempotency.claim import (
    ClaimStateError,
    ClaimStatus,
    InProgress,
    Refuse,
    Replay,
    Run,
    StoredResult,
    Unknown,
    WrongAgent,
)
from pistachionotch.idempotency.records import RecordPhase, Records
from pistachionotch.objects.memory import Faults, MemoryStore

SCOPE = "orders"
DEPLOYMENT_KEY = b"deployment key for tests"
AGENTS = ("a1", "a2")
MAX_RECORDS = 3
RETENTION_MS = 1_000
FAULTS = st.sampled_from(
    [None, None, ("lose_answers", 1), ("lose_answers", 2), ("lose_writes", 2), ("delay_writes", 2)]
)


@attrs.define
class Attempt:
    book: ClaimBook
    key: str
    run: int
    sent: bool = False


class RacingStore:
    """Runs ``meanwhile`` once inside the next call, as another greenlet or agent would."""

    def __init__(self, store):
        self.store = store
        self.meanwhile = None

    def _interleave(self):
        meanwhile, self.meanwhile = self.meanwhile, None
        if meanwhile is not None:
            meanwhile()

    def get(self, key):
        answer = self.store.get(key)
        self._interleave()
        return answer

    def put(self, key, value, expected_version):
        self._interleave()
        return self.store.put(key, value, expected_version)


class BookMachine(RuleBasedStateMachine):
    book_type = ClaimBook
    caller_keys = ("k1", "k2")
    issued_keys = 2

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.memory = MemoryStore(self.clock)
        self.store = RacingStore(self.memory)
        self.incarnations = Counter()
        self.books = {agent: self.new_book(agent) for agent in AGENTS}
        self.paused = []
        self.attempts = []
        self.abandoned = []
        self.issued = [self.books["a1"].issue(SCOPE)] if self.issued_keys else []
        self.runs = Counter()
        self.results = {}
        self.proved_not_run = set()

    def new_book(self, agent):
        self.incarnations[agent] += 1
        incarnation = f"{agent}-{self.incarnations[agent]}"
        return self.book_type(
            self.store,
            self.clock,
            agent,
            incarnation,
            DEPLOYMENT_KEY,
            RETENTION_MS,
            random.Random(incarnation),
            is_live=lambda name, number: self.books[name].incarnation == number,
            max_records=MAX_RECORDS,
            max_memory_bytes=40,
        )

    def keys(self):
        return st.sampled_from(self.caller_keys + tuple(self.issued[-self.issued_keys :]))

    def begin_with(self, book, key):
        decision = book.begin(SCOPE, key)
        if isinstance(decision, Run):
            self.attempts.append(Attempt(book, key, decision.run))
        if isinstance(decision, Replay):
            assert decision.result == self.results[key], "replayed another result"

    def lose(self, fault):
        """Two losses in a row hit a write and its repetition, so the outcome stays unknown."""
        if fault is not None:
            setattr(self.memory.faults, fault[0], fault[1])

    @rule(agent=st.sampled_from(AGENTS), data=st.data(), fault=FAULTS)
    def begin(self, agent, data, fault):
        self.lose(fault)
        self.begin_with(self.books[agent], data.draw(self.keys()))

    @rule(first=st.sampled_from(AGENTS), second=st.sampled_from(AGENTS), data=st.data())
    def race(self, first, second, data):
        key = data.draw(self.keys())
        self.store.meanwhile = lambda: self.begin_with(self.books[second], key)
        self.begin_with(self.books[first], key)
        self.store.meanwhile = None

    @rule(agent=st.sampled_from(AGENTS), data=st.data())
    def maintain_while_another_begins(self, agent, data):
        key = data.draw(self.keys())
        book = self.books[agent]
        self.store.meanwhile = lambda: self.begin_with(book, key)
        book.maintain()
        self.store.meanwhile = None

    @precondition(lambda self: self.issued_keys)
    @rule(agent=st.sampled_from(AGENTS))
    def issue(self, agent):
        self.issued.append(self.books[agent].issue(SCOPE))

    @precondition(lambda self: self.attempts)
    @rule(data=st.data(), outcome=st.sampled_from(["done", "silent", "late", "abandon"]))
    def advance_attempt(self, data, outcome):
        attempt = data.draw(st.sampled_from(self.attempts))
        if not attempt.sent and outcome == "abandon":
            attempt.book.abandon(SCOPE, attempt.key, attempt.run)
            self.attempts.remove(attempt)
            self.abandoned.append(attempt)
            return
        if not attempt.sent:
            attempt.book.sending(SCOPE, attempt.key, attempt.run)
            attempt.sent = True
            self.runs[attempt.key] += 1
            self.results[attempt.key] = StoredResult(200, (), f"{len(self.results)}".encode() * 9)
        if outcome in ("silent", "late"):
            attempt.book.fail_unknown(SCOPE, attempt.key, attempt.run)
        if outcome in ("done", "late"):
            attempt.book.finish(SCOPE, attempt.key, self.results[attempt.key], attempt.run)
        if outcome != "abandon":
            self.attempts.remove(attempt)

    @precondition(lambda self: any(not attempt.sent for attempt in self.attempts))
    @rule(fault=FAULTS)
    def abandon_and_release(self, fault):
        attempt = next(attempt for attempt in self.attempts if not attempt.sent)
        attempt.book.abandon(SCOPE, attempt.key, attempt.run)
        self.attempts.remove(attempt)
        self.lose(fault)
        attempt.book.maintain()

    @precondition(lambda self: self.abandoned)
    @rule(data=st.data())
    def send_abandoned_attempt(self, data):
        attempt = data.draw(st.sampled_from(self.abandoned))
        with pytest.raises(ClaimStateError):
            attempt.book.sending(SCOPE, attempt.key, attempt.run)

    @rule(agent=st.sampled_from(AGENTS), data=st.data())
    def query(self, agent, data):
        key = data.draw(self.keys())
        state = self.books[agent].query(SCOPE, key)
        if state.status is ClaimStatus.NOT_RUN:
            self.proved_not_run.add(key)
        if state.status is ClaimStatus.DONE and state.result is not None:
            assert state.result == self.results[key]

    @rule(agent=st.sampled_from(AGENTS), pause=st.booleans())
    def restart(self, agent, pause):
        old = self.books[agent]
        self.books[agent] = self.new_book(agent)
        if pause:
            self.paused.append(old)
            return
        self.attempts = [attempt for attempt in self.attempts if attempt.book is not old]

    @precondition(lambda self: self.paused)
    @rule(data=st.data())
    def paused_agent_acts(self, data):
        book = data.draw(st.sampled_from(self.paused))
        self.begin_with(book, data.draw(self.keys()))
        book.maintain()

    @rule(outage=st.booleans())
    def change_outage(self, outage):
        self.memory.set_outage(outage)

    @rule()
    def heal(self):
        self.memory.faults = Faults()

    @rule()
    def deliver_delayed(self):
        self.memory.deliver_delayed()

    @rule(
        agent=st.sampled_from(AGENTS),
        duration_ms=st.sampled_from([0, 0, RETENTION_MS + 1]),
        fault=FAULTS,
    )
    def maintain(self, agent, duration_ms, fault):
        self.lose(fault)
        self.clock.advance(duration_ms)
        self.books[agent].maintain()

    @invariant()
    def nothing_runs_twice(self):
        assert all(count <= 1 for count in self.runs.values()), "ran twice"

    @invariant()
    def what_was_proved_not_run_never_runs(self):
        assert not self.proved_not_run & set(self.runs), "ran after NOT_RUN was told"

    @invariant()
    def memory_is_bounded(self):
        for book in self.books.values():
            assert len(book.records.records) <= MAX_RECORDS
            assert book.records.result_bytes <= 40
            results = [record.result for record in book.records.records.values() if record.result]
            assert book.records.result_bytes == sum(result.size() for result in results)


BOTH = {"caller_keys": ("k1",), "issued_keys": 2}
CALLERS = {"caller_keys": ("k1", "k2"), "issued_keys": 0}
ONE_CALLER = {"caller_keys": ("k1",), "issued_keys": 0}
ISSUED = {"caller_keys": (), "issued_keys": 3}


def check(book_type, keys, examples):
    """Run the machine; searching is limited to the kinds of keys in ``keys``, which is faster."""
    machine = type("Machine", (BookMachine,), {"book_type": book_type, **keys})
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=40,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.mark.parametrize("keys", [BOTH, CALLERS, ISSUED])
def test_book_keeps_its_promises(keys):
    check(ClaimBook, keys, 150)


class RunsKeysOfEarlierIncarnations(ClaimBook):
    def _begin_issued(self, issued, key):
        if issued is not None and issued.agent == self.agent:
            self.issued = max(self.issued, issued.sequence)
            issued = attrs.evolve(issued, incarnation=self.incarnation)
        return super()._begin_issued(issued, key)


class ForgetsWithoutFloor(ClaimBook):
    def __init__(self, *args, **settings):
        super().__init__(*args, **settings)

        class NoFloor(Records):
            def _evict(self, record):
                super()._evict(record)
                self.floor = 0

        self.records = NoFloor(self.records.max_records, self.records.max_result_bytes)


class TakesOverForeignClaims(ClaimBook):
    def __init__(self, *args, **settings):
        super().__init__(*args, **settings)
        self.writer._may_replace = lambda record, found: True


class RunsAfterAmbiguousRelease(ClaimBook):
    def maintain(self):
        super().maintain()
        for record in self.records.records.values():
            if record.phase is RecordPhase.RELEASING:
                record.phase = RecordPhase.ABANDONED


class SendsWithoutPermission(ClaimBook):
    def sending(self, scope, key, run=None):
        record = self._record(scope, key, None)
        record.phase = RecordPhase.SENT


class QueriesWithoutRevoking(ClaimBook):
    def query(self, scope, key):
        state = super().query(scope, key)
        if state.status is ClaimStatus.NOT_RUN:
            self.records.finished.pop(key)
            self.records.records.pop(key)
        return state


class IgnoresBusyRecords(ClaimBook):
    def _begin_claim(self, name):
        record = self.records.get(name)
        if record is not None:
            record.busy = False
        return super()._begin_claim(name)


@pytest.mark.parametrize(
    ("faulty", "keys", "fault"),
    [
        (RunsKeysOfEarlierIncarnations, ISSUED, "ran after NOT_RUN"),
        (ForgetsWithoutFloor, ISSUED, "ran twice"),
        (TakesOverForeignClaims, CALLERS, "ran twice"),
        (RunsAfterAmbiguousRelease, ONE_CALLER, "ran twice"),
        (SendsWithoutPermission, CALLERS, "DID NOT RAISE"),
        (QueriesWithoutRevoking, ISSUED, "ran after NOT_RUN"),
        (IgnoresBusyRecords, CALLERS, "permission to run was given to another"),
    ],
)
def test_the_machine_finds_a_missing_step(faulty, keys, fault):
    with pytest.raises((AssertionError, ClaimStateError, pytest.fail.Exception), match=fault):
        check(faulty, keys, 3_000)


@pytest.fixture
def store():
    return MemoryStore(ManualClock())


def new_book(store, agent="a1", incarnation="1", **settings):
    rng = random.Random(0)
    return ClaimBook(
        store, store.clock, agent, incarnation, DEPLOYMENT_KEY, RETENTION_MS, rng, **settings
    )


def run_call(book, key, result):
    run = book.begin(SCOPE, key).run
    book.sending(SCOPE, key, run)
    book.finish(SCOPE, key, result, run)
    book.maintain()


def test_another_agent_replays_the_complete_result(store):
    result = StoredResult(201, (("Content-Type", "text/plain"),), b"\x00\xffpaid")
    run_call(new_book(store), "k", result)
    assert new_book(store, "a2").begin(SCOPE, "k") == Replay(result)


def test_result_too_large_to_keep_is_unknown_instead_of_incomplete(store):
    book = new_book(store)
    run_call(book, "k", StoredResult(200, (), b"x" * (MAX_RESULT_BYTES + 1)))
    assert isinstance(book.begin(SCOPE, "k"), Unknown)
    assert isinstance(new_book(store, "a2").begin(SCOPE, "k"), Unknown)


def test_claim_of_a_live_agent_is_in_progress_and_of_a_dead_one_unknown(store):
    assert isinstance(new_book(store).begin(SCOPE, "k"), Run)
    assert isinstance(new_book(store, "a2").begin(SCOPE, "k"), InProgress)
    dead = new_book(store, "a2", is_live=lambda _agent, _incarnation: False)
    assert isinstance(dead.begin(SCOPE, "k"), Unknown)
    assert isinstance(new_book(store, incarnation="2").begin(SCOPE, "k"), Unknown)


def test_abandoned_call_runs_later_here_or_after_its_release_elsewhere(store):
    book, other = new_book(store), new_book(store, "a2")
    book.begin(SCOPE, "k")
    book.abandon(SCOPE, "k")
    assert isinstance(other.begin(SCOPE, "k"), InProgress)
    assert isinstance(book.begin(SCOPE, "k"), Run)
    book.abandon(SCOPE, "k")
    book.maintain()
    assert isinstance(other.begin(SCOPE, "k"), Run)
    assert isinstance(book.begin(SCOPE, "k"), InProgress)


@pytest.mark.parametrize("fault", [Faults(lose_writes=2), Faults(delay_writes=2)])
def test_claim_with_an_unknown_outcome_is_given_back_and_can_run_elsewhere(store, fault):
    book = new_book(store)
    store.faults = fault
    assert isinstance(book.begin(SCOPE, "k"), Refuse)
    book.maintain()
    store.deliver_delayed()
    assert isinstance(new_book(store, "a2").begin(SCOPE, "k"), Run)


def test_outage_refuses_callers_keys_and_keeps_issued_keys_working(store):
    book = new_book(store)
    store.set_outage(True)
    refused = book.begin(SCOPE, "k")
    assert isinstance(refused, Refuse)
    assert refused.retry_after_ms > 0
    assert isinstance(book.begin(SCOPE, book.issue(SCOPE)), Run)
    store.set_outage(False)
    assert isinstance(book.begin(SCOPE, "k"), Run)


def test_issued_key_is_bound_to_agent_scope_and_deployment(store):
    book = new_book(store)
    key = book.issue(SCOPE)
    assert new_book(store, "a2").begin(SCOPE, key) == WrongAgent("a1")
    assert isinstance(book.begin("another scope", key), Unknown)
    assert isinstance(book.begin(SCOPE, key[:-1] + ("0" if key[-1] != "0" else "1")), Unknown)
    assert isinstance(book.begin(SCOPE, "pnk1.garbage"), Unknown)


def test_book_full_of_running_calls_refuses_instead_of_forgetting_one(store):
    book = new_book(store, max_records=1)
    first = book.issue(SCOPE)
    book.begin(SCOPE, first)
    assert isinstance(book.begin(SCOPE, book.issue(SCOPE)), Refuse)
    assert isinstance(book.begin(SCOPE, first), InProgress)
