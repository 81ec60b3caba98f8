"""Tests of the step policy: no wasted work, no bias towards short samples, deadlines met."""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachionotch.samples import step_policy
from pistachionotch.samples.capacity import StepDemand, allocate_capacity, max_min_shares
from pistachionotch.samples.sample import Slot

COMPLETED = tuple(step_policy.CompletedAttempt(tokens=1000, duration_ms=10_000) for _ in range(8))
LIMITS = step_policy.StragglerLimits()
RUNNING = step_policy.RunningAttempt("a1", Slot(0, 0), "agent-1", 0, 20_000, 2000, 20_000, 5)


def snapshot(**changes):
    base = step_policy.StepSnapshot(20, (Slot(0, 0),), 1, 5, completed=COMPLETED)
    return attrs.evolve(base, **changes)


def decide(attempt, limits=LIMITS, quota=9, now_ms=20_000, **changes):
    return step_policy.decide_actions(
        snapshot(attempts=(attempt,), **changes), limits, quota, now_ms
    )


def test_long_sample_at_normal_speed_is_not_hedged():
    assert decide(attrs.evolve(RUNNING, tokens=1900)) == ()


def test_slow_engine_is_hedged_elsewhere_only_in_the_tail_and_within_quota():
    slow = attrs.evolve(RUNNING, tokens=100)
    (action,) = decide(slow)
    assert isinstance(action, step_policy.HedgeSlot) and action.avoid_agents == ("agent-1",)
    assert decide(slow, slot_count=9) == ()
    assert decide(slow, quota=1) == ()
    assert decide(slow, limits=step_policy.StragglerLimits(max_hedges=0)) == ()
    assert decide(attrs.evolve(slow, started_ms=19_000, tokens=0)) == ()


def test_silent_or_stalled_attempt_restarts_elsewhere():
    for broken in (
        attrs.evolve(RUNNING, observed_ms=9_000),
        attrs.evolve(RUNNING, last_token_ms=1_000),
        attrs.evolve(RUNNING, tokens=0, last_token_ms=None),
    ):
        (action,) = decide(broken)
        assert isinstance(action, step_policy.RestartSlot)
        assert (action.attempts_to_cancel, action.avoid_agents) == (("a1",), ("agent-1",))


def test_stale_attempt_restarts_without_avoiding_its_agent():
    (action,) = decide(attrs.evolve(RUNNING, oldest_version=3))
    assert isinstance(action, step_policy.RestartSlot) and action.avoid_agents == ()


def test_attempt_that_cannot_finish_before_the_next_version_restarts_early():
    attempt = attrs.evolve(RUNNING, tokens=900, started_ms=0, oldest_version=4)
    assert decide(attempt, next_version_at_ms=30_000) == ()
    (action,) = decide(attempt, next_version_at_ms=21_000)
    assert isinstance(action, step_policy.RestartSlot)


def test_stale_attempt_of_a_hedged_slot_is_cancelled_and_the_other_continues():
    stale = attrs.evolve(RUNNING, attempt_id="a2", agent="agent-2", oldest_version=1)
    actions = step_policy.decide_actions(snapshot(attempts=(RUNNING, stale)), LIMITS, 9, 20_000)
    assert [type(action) for action in actions] == [step_policy.CancelAttempt]
    assert actions[0].attempt_id == "a2"


def test_remaining_attempt_is_cancelled_once_the_slot_is_filled():
    (action,) = decide(RUNNING, open_slots=())
    assert action == step_policy.CancelAttempt("a1", "the slot needs no sample any more")


def test_deadline_cuts_only_within_the_allowed_share():
    late = {"now_ms": 20_000, "deadline_at_ms": 19_000}
    (missed,) = decide(RUNNING, **late)
    assert isinstance(missed, step_policy.DeadlineMissed) and missed.late_slots == 1
    allowed = step_policy.StragglerLimits(max_cut_share=0.05)
    (cut,) = decide(RUNNING, limits=allowed, **late)
    assert isinstance(cut, step_policy.CutSlot) and cut.attempts_to_cancel == ("a1",)
    (missed,) = decide(RUNNING, limits=allowed, cut_count=1, **late)
    assert isinstance(missed, step_policy.DeadlineMissed)


def test_nearly_complete_groups_start_first_within_quota():
    slots = (Slot(0, 0), Slot(0, 1), Slot(1, 1), Slot(2, 0), Slot(2, 1))
    actions = step_policy.decide_actions(snapshot(open_slots=slots), LIMITS, 2, 0)
    assert [action.slot for action in actions] == [Slot(1, 1), Slot(0, 0)]


def test_tight_deadline_gets_capacity_before_steps_without_one():
    shares = allocate_capacity(
        [StepDemand("relaxed", 100, 10_000), StepDemand("tight", 100, 10_000, remaining_ms=20_000)],
        60,
    )
    assert shares == {"relaxed": 5, "tight": 55}


@settings(max_examples=200)
@given(st.dictionaries(st.text(max_size=2), st.integers(0, 50), max_size=6), st.integers(0, 200))
def test_shares_use_all_capacity_and_are_max_min_fair(requested, capacity):
    shares = max_min_shares(requested, dict.fromkeys(requested, 1), capacity)
    assert sum(shares.values()) == min(capacity, sum(requested.values()))
    for step, share in shares.items():
        assert share <= requested[step]
        if share < requested[step]:
            assert max(shares.values()) <= share + 1
