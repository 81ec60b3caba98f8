"""Tests of hedging: only in the latency tail and for idempotent requests; losers are cancelled."""

import pytest

from pistachionotch.routing.hedge import HedgeContext, HedgeRace, LatencyTail, decide_hedge
from pistachionotch.routing.retry import RetryBudget


def make_tail():
    tail = LatencyTail()
    for elapsed_ms in range(100, 200):
        tail.observe(elapsed_ms)
    return tail


def decide(tail=None, budget=None, **fields):
    values = {
        "idempotent": True,
        "elapsed_ms": 500,
        "remaining_ms": 5_000,
        "attempts_open": 1,
        "alternative": "other",
        "alternative_ms": 300,
    }
    context = HedgeContext(**(values | fields))
    return decide_hedge(context, tail or make_tail(), budget or RetryBudget(), 0)


def test_late_attempt_is_hedged():
    assert decide().agent == "other"


@pytest.mark.parametrize(
    "fields",
    [
        {"idempotent": False},
        {"elapsed_ms": 190},
        {"delivered": True},
        {"projected_ms": 190},
        {"projected_ms": 900},
        {"attempts_open": 2},
        {"alternative": None},
        {"alternative_ms": 5_000},
        {"tail": LatencyTail()},
    ],
)
def test_no_hedge_and_no_budget_spent(fields):
    budget = RetryBudget()
    assert decide(budget=budget, **fields).agent is None
    assert budget.available(0) == budget.minimum


def test_decision_before_the_tail_says_when_to_check_again():
    decision = decide(elapsed_ms=150)
    assert decide(elapsed_ms=150 + decision.check_again_ms).agent == "other"


def test_slow_stream_is_hedged_when_a_new_attempt_ends_clearly_earlier():
    """Guards against a short request stuck at an agent that slows down after the first token."""
    decision = decide(projected_ms=3_000)
    assert decision.agent == "other"
    assert "slow stream" in decision.reason


def test_hedges_share_the_retry_budget():
    """Guards against hedges that double the load when every upstream is slow."""
    budget = RetryBudget()
    assert sum(decide(budget=budget).agent is not None for _ in range(50)) == budget.minimum


def test_first_token_wins_and_all_others_are_cancelled():
    race = HedgeRace()
    race.start("first")
    race.start("second")
    assert race.first_token("second").cancel == ("first",)
    late = race.first_token("first")
    assert not late.won
    assert late.cancel == ()


def test_race_started_after_the_first_token_is_decided_by_completion():
    """Guards against cancelling a slow stream before the other attempt is complete."""
    race = HedgeRace()
    race.start("slow")
    race.first_token("slow")
    race.start("fresh")
    assert race.first_token("fresh").cancel == ()
    assert race.finished("fresh").cancel == ("slow",)
    assert not race.finished("slow").won


def test_failed_winner_leaves_the_race_open():
    """Guards against losing a request whose winning attempt fails while another one is open."""
    race = HedgeRace()
    race.start("slow")
    race.first_token("slow")
    race.start("fresh")
    assert not race.failed("slow")
    assert race.finished("fresh").won


def test_failed_attempt_leaves_the_other_in_the_race():
    race = HedgeRace()
    race.start("first")
    race.start("second")
    assert not race.failed("first")
    assert race.failed("second")
