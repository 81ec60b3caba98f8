"""Guards against roll-outs that exceed capacity, fetch rate or retries, and wrong estimates."""

import attrs
import pytest
from fleet import make_fleet
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from pistachionotch.weights import rollout as r

SETTINGS = settings(max_examples=80, phases=[Phase.generate])


@SETTINGS
@given(st.data())
def roll_out_with_faults(data):
    zones, per_zone = data.draw(st.integers(1, 3)), data.draw(st.integers(1, 9))
    fleet = make_fleet(zones, per_zone, data.draw(st.integers(0, 4000)), fetches_per_s=4.0)
    names = st.sampled_from(sorted(fleet.agents))
    fleet.fails = data.draw(st.sets(st.tuples(names, st.integers(1, 4)), max_size=12))
    for ticks in data.draw(st.lists(st.integers(0, 20), max_size=2)):
        for _ in range(ticks):
            fleet.tick()
        fleet.tracker.desire(fleet.tracker.desired_version + 1)
    fleet.run()
    failed = {report.agent for report in fleet.reported}
    for agent in fleet.agents.values():
        loaded = agent.version == fleet.tracker.desired_version
        assert loaded != (agent.agent in failed), "lost sight of an agent"
    for attempts in fleet.tracker.attempts.values():
        assert attempts.failures <= fleet.limits.max_attempts, "retried without limit"


def test_roll_outs_keep_their_limits_and_end():
    roll_out_with_faults()


@pytest.mark.parametrize(
    ("step", "broken"),
    [
        ("may_leave_service", lambda planner, agent: True),
        ("allowed_starts", lambda planner: 99),
        ("is_done", lambda planner, agent: agent.version >= 2),
        ("exhausted_attempts", lambda planner, agent: False),
        ("may_be_ordered", lambda planner, agent: not planner.is_done(agent)),
    ],
)
def test_roll_out_without_a_check_is_detected(monkeypatch, step, broken):
    monkeypatch.setattr(r._Planner, step, broken)
    with pytest.raises(AssertionError):
        roll_out_with_faults()


def test_1100_servers_in_nine_zones_take_less_than_28_s():
    """Use the assumptions of docs/weights.md; the estimate must not be too low."""
    fleet = make_fleet(9, 123, 5_000, fetches_per_s=63.0)
    agents = [r.AgentRolloutState(name, agent.zone, 1) for name, agent in fleet.agents.items()]
    estimate = r.estimate_rollout(agents, 2, fleet.limits, [4_500] * 95 + [5_000] * 6)
    fleet.run()
    assert fleet.now_ms <= estimate.total_ms + 1_000 <= 28_000, (fleet.now_ms, estimate)


def test_single_agents_of_several_zones_leave_service_one_at_a_time():
    fleet = make_fleet(3, 1, 2_000, fetches_per_s=9.0)
    assert [len(fleet.tick().orders) for _ in range(3)] == [1, 0, 0]


def test_unloadable_version_does_not_take_the_fleet_out_of_service():
    fleet = make_fleet(2, 8, 1_000, fetches_per_s=9.0)
    fleet.fails = {(name, attempt) for name in fleet.agents for attempt in range(1, 9)}
    for _ in range(12):
        fleet.tick()
    assert max(len(fleet.tick().orders) + len(fleet.running) - 1 for _ in range(40)) <= 1
    fleet.run()
    assert len(fleet.reported) == 16


def test_other_zones_count_but_are_not_ordered():
    limits = r.RolloutLimits(9.0, max_unavailable_share=0.5, zones=frozenset({"a"}))
    agents = [r.AgentRolloutState(f"{zone}{n}", zone, 1) for zone in "ab" for n in range(2)]
    wave = r.plan_wave(agents, 2, [], limits, 0)
    assert [order.agent for order in wave.orders] == ["a0"] and wave.waiting == 1


def test_newer_version_supersedes_and_a_running_swap_is_left_to_end():
    agents = [
        attrs.evolve(r.AgentRolloutState("a", "z", 1), failures=0),
        r.AgentRolloutState("b", "z", 2),
    ]
    swaps = [r.SwapInProgress("a", 2, 0)]
    limits = r.RolloutLimits(9.0, max_unavailable_share=1.0)
    wave = r.plan_wave(agents, 3, swaps, limits, 16_000)
    assert [order.agent for order in wave.orders] == ["b"]
    assert wave.overdue == ("a",) and wave.waiting == 1


def test_estimate_needs_measurements_and_names_its_bound():
    agents = [r.AgentRolloutState(f"{n}", "z", 1) for n in range(8)]
    assert r.estimate_rollout(agents, 2, r.RolloutLimits(9.0), []) is None
    slow = r.estimate_rollout(agents, 2, r.RolloutLimits(0.5), [1_000])
    assert (slow.bound, slow.total_ms) == ("fetch rate", 15_000)
    assert r.estimate_rollout(agents, 2, r.RolloutLimits(9.0), [1_000]).bound == "capacity"
