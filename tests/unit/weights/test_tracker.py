"""Guards against losing or miscounting orders and failures between the waves of a roll-out."""

from pistachionotch.weights.rollout import RolloutLimits
from pistachionotch.weights.tracker import AgentReport, RolloutTracker

LIMITS = RolloutLimits(fetches_per_s=2.0, max_unavailable_share=1.0, retry_after_ms=0)


def test_failures_count_for_their_version_only():
    tracker, reports = RolloutTracker(2), [AgentReport("a", "z", 1)]
    for _ in range(LIMITS.max_attempts):
        tracker.plan(reports, LIMITS, 0)
        tracker.order_times_ms.clear()
        assert not tracker.finish("a", 1, 0)
    assert [report.agent for report in tracker.plan(reports, LIMITS, 0).failed] == ["a"]
    assert not tracker.desire(2) and tracker.desire(3)
    assert [order.version for order in tracker.plan(reports, LIMITS, 0).orders] == [3]
    assert tracker.finish("a", 3, 40) and tracker.swap_times_ms == [40]
    assert not tracker.finish("a", 3, 50)


def test_refused_orders_and_vanished_agents_free_their_capacity_but_not_the_rate():
    tracker = RolloutTracker(2)
    tracker.plan([AgentReport("a", "z", 1), AgentReport("b", "z", 1)], LIMITS, 0)
    tracker.discard_order("a")
    assert tracker.plan([AgentReport("a", "z", 1)], LIMITS, 999).orders == ()
    assert not tracker.swaps
    assert len(tracker.plan([AgentReport("a", "z", 1)], LIMITS, 1_000).orders) == 1
