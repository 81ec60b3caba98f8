"""Guards against lost, repeated, starved or silently expired work in the admission queue."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pistachionotch.admission.limit import ConcurrencyLimit
from pistachionotch.admission.load import RunResult
from pistachionotch.admission.queue import (
    AdmissionQueue,
    Admitted,
    DuplicateWork,
    QueuedWork,
    RefusedWork,
)
from pistachionotch.admission.shares import BACKGROUND_CLASSES, ClassShares
from pistachionotch.clock import Deadline, ManualClock
from pistachionotch.outcomes import Execution, RequestClass

FAR_MS = 10**7
RUN = RunResult(time_to_first_token_ms=100, tokens=40, duration_ms=1100)


def make_queue(limit=4, **options):
    clock = ManualClock()
    return clock, AdmissionQueue(clock, ConcurrencyLimit.fixed(limit), ClassShares(), **options)


def make_work(clock, attempt, request_class=RequestClass.TRAINING, remaining_ms=FAR_MS, **fields):
    values = {"expected_tokens": 40, "arrived_ms": clock.now_ms()} | fields
    deadline = Deadline.after(clock, remaining_ms)
    return QueuedWork(attempt=attempt, request_class=request_class, deadline=deadline, **values)


def observe_one_run(clock, queue):
    """Let the queue observe one run with 100 ms to the first token and 40 tokens a second."""
    queue.offer(make_work(clock, "teacher", RequestClass.STOREFRONT))
    assert queue.start_next()[0].attempt == "teacher"
    queue.finish("teacher", RUN)


class QueueMachine(RuleBasedStateMachine):
    """Checks the queue against sets of the waiting, started, running and refused work."""

    def __init__(self):
        super().__init__()
        self.clock, self.queue = make_queue(limit=5)
        self.waiting = {}
        self.running = {}
        self.refused = set()
        self.started = set()
        self.serial = 0

    @rule(
        request_class=st.sampled_from(RequestClass),
        remaining_ms=st.integers(1, 20_000),
        tokens=st.integers(1, 400),
        tenant=st.sampled_from(["", "trainer-a", "trainer-b"]),
    )
    def offer(self, request_class, remaining_ms, tokens, tenant):
        self.serial += 1
        work = make_work(
            self.clock,
            f"a{self.serial}",
            request_class,
            remaining_ms,
            expected_tokens=tokens,
            tenant=tenant,
        )
        answer = self.queue.offer(work)
        if isinstance(answer, Admitted):
            self.waiting[work.attempt] = work
            return
        assert isinstance(answer, RefusedWork)
        assert answer.execution is Execution.NOT_RUN
        assert answer.retry_after_ms > 0
        self.refused.add(work.attempt)

    @rule()
    def start_work(self):
        work, expired = self.queue.start_next()
        for late in expired:
            assert late.work == self.waiting.pop(late.work.attempt)
            assert late.work.attempt not in self.started
            assert late.retry_after_ms > 0
        for left in self.waiting.values():
            assert left.deadline.at_ms >= self.clock.now_ms(), "expired work was not reported"
        if work is None:
            return
        assert work == self.waiting.pop(work.attempt), "work was handed out that did not wait"
        assert work.attempt not in self.started, "work was handed out twice"
        assert not work.deadline.expired(self.clock)
        self.started.add(work.attempt)
        self.running[work.attempt] = work

    @precondition(lambda self: self.running)
    @rule(data=st.data(), took_ms=st.integers(1, 5_000), succeeded=st.booleans())
    def finish(self, data, took_ms, succeeded):
        attempt = data.draw(st.sampled_from(sorted(self.running)))
        tokens = self.running.pop(attempt).expected_tokens
        self.queue.finish(attempt, RunResult(1, tokens, took_ms + 1, succeeded))

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel_waiting(self, data):
        attempt = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.queue.cancel(attempt).was_queued
        del self.waiting[attempt]

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def offer_again(self, data):
        attempt = data.draw(st.sampled_from(sorted(self.running)))
        answer = self.queue.offer(self.running[attempt])
        assert isinstance(answer, DuplicateWork), "running work must not be called not run"

    @rule(duration_ms=st.integers(0, 5_000))
    def pass_time(self, duration_ms):
        self.clock.advance(duration_ms)

    @invariant()
    def all_work_is_accounted_for(self):
        assert set(self.queue.queued_attempts) == set(self.waiting)
        assert set(self.queue.running) == set(self.running)
        assert not self.refused & self.started
        assert sum(self.queue.tenant_work_counts.values()) == len(self.waiting) + len(self.running)

    @invariant()
    def slots_are_respected(self):
        counts = self.queue.running_counts
        background = sum(counts[name] for name in BACKGROUND_CLASSES)
        assert sum(counts.values()) <= 5
        assert background <= 5 - ClassShares().reserved(5), "reserved slots were taken"


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(max_examples=60, stateful_step_count=40)


def test_earliest_feasible_deadline_goes_first():
    """Guards against first-come-first-served order, which misses deadlines that could be met."""
    clock, queue = make_queue()
    for attempt, remaining_ms in (("late", 9_000), ("soon", 3_000), ("middle", 6_000)):
        queue.offer(make_work(clock, attempt, remaining_ms=remaining_ms))
    assert [queue.start_next()[0].attempt for _ in range(3)] == ["soon", "middle", "late"]


def test_unmeetable_deadline_is_refused_at_once_with_the_queue_wait_in_retry_after():
    """Guards against a delayed refusal and a Retry-After that ignores the queue."""
    clock, queue = make_queue(limit=2)
    observe_one_run(clock, queue)
    retries = []
    for number in range(12):
        queue.offer(make_work(clock, f"w{number}", remaining_ms=20_000))
        queue.start_next()
        late = make_work(clock, f"x{number}", remaining_ms=20_000, expected_tokens=1_000)
        answer = queue.offer(late)
        assert isinstance(answer, RefusedWork)
        retries.append(answer.retry_after_ms)
    assert retries == sorted(retries)
    assert retries[-1] > retries[0] + 5_000


def test_queued_work_expires_as_soon_as_its_deadline_cannot_be_met():
    """Guards against work that is answered only at its deadline, though it was hopeless before."""
    clock, queue = make_queue(limit=1)
    observe_one_run(clock, queue)
    queue.offer(make_work(clock, "holder"))
    queue.start_next()
    queue.offer(make_work(clock, "waiter", remaining_ms=2_500))
    due_ms = queue.next_expiry_ms()
    clock.advance(due_ms - clock.now_ms())
    work, expired = queue.start_next()
    assert work is None
    assert [late.work.attempt for late in expired] == ["waiter"]
    assert expired[0].work.deadline.remaining_ms(clock) > 1_000


def test_refusals_end_after_a_slowdown():
    """Guards against one slow run after which all work is refused forever."""
    clock, queue = make_queue()
    queue.offer(make_work(clock, "slow"))
    queue.start_next()
    queue.finish("slow", RunResult(60_000, 1, 61_000))
    assert isinstance(queue.offer(make_work(clock, "now", remaining_ms=5_000)), RefusedWork)
    clock.advance(10_000)
    assert isinstance(queue.offer(make_work(clock, "later", remaining_ms=5_000)), Admitted)


def test_no_class_is_starved_by_continuous_work_with_earlier_deadlines():
    """Guards against long work that waits forever behind an endless backlog."""
    clock, queue = make_queue(limit=4)
    queue.offer(make_work(clock, "long", RequestClass.LONG))
    for number in range(40):
        queue.offer(make_work(clock, f"s{number}", RequestClass.STOREFRONT, 90_000))
        work, _ = queue.start_next()
        queue.finish(work.attempt, RunResult(1, 40, 2))
        if work.attempt == "long":
            break
    assert number <= ClassShares().max_passes


def serve(queue, count):
    """Run ``count`` attempts one after the other; return their tenants."""
    served = []
    for _ in range(count):
        work, _ = queue.start_next()
        served.append(work.tenant)
        queue.finish(work.attempt, RUN)
    return served


def test_trainers_share_slots_by_tokens():
    """Guards against a trainer whose large backlog starves another trainer."""
    clock, queue = make_queue(limit=4)
    for number in range(30):
        queue.offer(make_work(clock, f"big{number:02}", tenant="big", remaining_ms=FAR_MS - 1))
    for number in range(10):
        queue.offer(make_work(clock, f"small{number:02}", tenant="small"))
    assert serve(queue, 20).count("small") == 10


def test_returning_trainer_has_no_credit():
    """Guards against a trainer that was idle and then takes all slots until it has caught up."""
    clock, queue = make_queue(limit=4)
    for number in range(20):
        queue.offer(make_work(clock, f"a{number:02}", tenant="a"))
    for _ in range(10):
        queue.finish(queue.start_next()[0].attempt, RUN)
    for number in range(10):
        queue.offer(make_work(clock, f"b{number:02}", tenant="b"))
    assert 3 <= serve(queue, 8).count("b") <= 5


def test_draining_refuses_new_work_and_serves_the_queue():
    """Guards against a draining agent that accepts new work or drops queued work."""
    clock, queue = make_queue()
    queue.offer(make_work(clock, "before"))
    queue.drain()
    answer = queue.offer(make_work(clock, "after"))
    assert isinstance(answer, RefusedWork)
    assert queue.report_load().draining
    assert queue.start_next()[0].attempt == "before"


def test_queue_length_is_bounded():
    """Guards against unbounded memory for queued work with distant deadlines."""
    clock, queue = make_queue(max_queued=3)
    answers = [queue.offer(make_work(clock, f"w{number}")) for number in range(4)]
    assert isinstance(answers[-1], RefusedWork)
    assert len(queue.queued_attempts) == 3


def test_progress_of_running_work_changes_the_reported_speed():
    """Guards against load reports that show a slowdown only after the slow run has ended."""
    clock, queue = make_queue()
    observe_one_run(clock, queue)
    queue.offer(make_work(clock, "stream"))
    queue.start_next()
    for tokens in (10, 15, 20):
        queue.record_progress("stream", tokens)
        clock.advance(1_000)
    assert queue.report_load().tokens_per_second < 35.0
    queue.record_progress("unknown", 10)


def test_straggler_does_not_count_as_nearly_done():
    """Guards against an agent that reports no wait since its runs outlast their estimate."""
    clock, queue = make_queue(limit=1)
    observe_one_run(clock, queue)
    queue.offer(make_work(clock, "straggler"))
    queue.start_next()
    clock.advance(20_000)
    assert queue.report_load().expected_wait_ms[RequestClass.TRAINING] > 5_000


def test_a_resumed_stream_starts_before_other_work_of_its_class():
    """Guards against steps that end late because their resumed streams queue a second time."""
    clock, queue = make_queue(limit=8)
    for number in range(4):
        queue.offer(make_work(clock, f"new{number}", tenant="a"))
    queue.offer(make_work(clock, "other", tenant="b"))
    queue.offer(make_work(clock, "continued", tenant="a", remaining_ms=FAR_MS + 1, continues=True))
    assert queue.start_next()[0].attempt == "continued"
    assert queue.start_next()[0].attempt == "other"


def test_training_starts_before_long_work_with_a_later_due_time():
    """Guards against trainers idling behind long work, and against long work missing deadlines."""
    clock, queue = make_queue(limit=8)
    queue.offer(make_work(clock, "patient", RequestClass.LONG, remaining_ms=300_000))
    queue.offer(make_work(clock, "urgent", RequestClass.LONG, remaining_ms=20_000))
    queue.offer(make_work(clock, "sample", remaining_ms=480_000))
    assert [queue.start_next()[0].attempt for _ in range(3)] == ["urgent", "sample", "patient"]
