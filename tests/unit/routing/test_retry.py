"""Guards against retry storms and against repeating non-idempotent work that may have run."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pistachionotch.outcomes import Execution
from pistachionotch.routing.retry import FailedAttempt, RetryBudget, decide_retry


def decide(budget, remaining_ms=10_000, other_agents=2, **fields):
    values = {"number": 1, "execution": Execution.FAILED, "idempotent": True} | fields
    rng = random.Random(1)
    return decide_retry(FailedAttempt(**values), remaining_ms, 500, other_agents, budget, 0, rng)


class BudgetMachine(RuleBasedStateMachine):
    """Checks the budget against a full history of successes and retries."""

    def __init__(self):
        super().__init__()
        self.budget = RetryBudget()
        self.now_ms = 0
        self.successes = []
        self.retries = []

    @rule(count=st.integers(1, 30))
    def succeed(self, count):
        for _ in range(count):
            self.budget.record_success(self.now_ms)
            self.successes.append(self.now_ms)

    @rule(count=st.integers(1, 30))
    def retry(self, count):
        for _ in range(count):
            if self.budget.spend(self.now_ms):
                self.retries.append(self.now_ms)

    @rule(duration_ms=st.integers(0, 6_000))
    def pass_time(self, duration_ms):
        self.now_ms += duration_ms

    @invariant()
    def retries_are_bounded(self):
        # A retry within the window may have been allowed by successes of up to one window earlier.
        window_ms = self.budget.window_ms
        recent = sum(1 for time in self.retries if time > self.now_ms - window_ms)
        base = sum(1 for time in self.successes if time > self.now_ms - 2 * window_ms)
        assert recent <= self.budget.minimum + self.budget.share * base


TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = settings(max_examples=60, stateful_step_count=40)


@pytest.mark.parametrize("execution", [Execution.UNKNOWN, Execution.FAILED, Execution.DONE])
def test_non_idempotent_work_is_not_retried_unless_provably_not_run(execution):
    assert not decide(RetryBudget(), idempotent=False, execution=execution).retry
    assert decide(RetryBudget(), idempotent=False, execution=Execution.NOT_RUN).retry


def test_total_outage_stops_retries():
    """Guards against retries that multiply the load while nothing succeeds."""
    budget = RetryBudget()
    assert [decide(budget).retry for _ in range(6)] == [True] * 3 + [False] * 3


def test_retry_that_would_miss_the_deadline_is_not_made_and_spends_no_budget():
    budget = RetryBudget()
    assert not decide(budget, remaining_ms=400).retry
    assert budget.available(0) == budget.minimum


def test_retry_waits_for_retry_after_only_without_another_agent():
    assert decide(RetryBudget(), retry_after_ms=3_000).wait_ms < 1_000
    assert decide(RetryBudget(), retry_after_ms=3_000, other_agents=0).wait_ms >= 3_000


def test_attempts_are_bounded():
    assert not decide(RetryBudget(), number=4).retry
