"""Guards against reward calls that use the slots of clients, and steps delayed by optional groups.

Load pattern: all items of a step finish within two seconds; clients call the same servers.
"""

from pistachionotch.batches.rewards import (
    ServerCapacity,
    WaitingReward,
    count_free_slots,
    plan_reward_calls,
)

SLOTS = 6


def waiting(item, **more):
    fields = {
        "batch": "b1",
        "due_ms": 7_500,
        "optional": False,
        "generating": 0,
        "complete_ms": 100,
        "retry_at_ms": 0,
    }
    return WaitingReward(item=item, **{**fields, **more})


def server(in_flight=0, full=False, failing=False):
    return ServerCapacity(slots=SLOTS, in_flight=in_flight, full=full, failing=failing)


def planned_items(rewards, free=99):
    return [reward.item for reward in plan_reward_calls(rewards, free, 1_000)]


def test_a_burst_leaves_slots_of_each_server_for_clients():
    assert count_free_slots([server(), server()]) == 8
    assert count_free_slots([server(in_flight=4), server(in_flight=SLOTS)]) == 0


def test_calls_that_complete_a_step_start_first():
    burst = [
        waiting("optional", optional=True, due_ms=1),
        waiting("group-still-runs", generating=3),
        waiting("later-step", due_ms=11_500),
        waiting("last-of-group", complete_ms=900),
        waiting("other-last", complete_ms=300),
    ]
    assert planned_items(burst) == [
        "other-last",
        "last-of-group",
        "group-still-runs",
        "later-step",
        "optional",
    ]
    assert planned_items(burst, free=1) == ["other-last"]


def test_a_failed_call_waits_for_its_retry_time():
    assert planned_items([waiting("a", retry_at_ms=1_200), waiting("b")]) == ["b"]


def test_failing_servers_get_calls_only_as_probes_when_all_servers_fail():
    assert count_free_slots([server(failing=True), server()]) == 4
    assert count_free_slots([server(failing=True), server(failing=True)]) == 2
    assert count_free_slots([server(full=True), server(full=True)]) == 0
    assert count_free_slots([]) == 0
