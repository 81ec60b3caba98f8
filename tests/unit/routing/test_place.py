"""Guards against unused or outdated measurements, and against all entries choosing one agent."""

import random
from collections import Counter

import pytest

from pistachionotch.admission.load import LoadReport
from pistachionotch.clock import Deadline
from pistachionotch.outcomes import RequestClass
from pistachionotch.routing.candidates import (
    AgentObservations,
    Candidate,
    LocalObservations,
    Location,
    RoutedRequest,
)
from pistachionotch.routing.placement import RoutingCosts, place

LOCATION = Location("entry-1", "cebu", "visayas")
COSTS = RoutingCosts()
NOW_MS = 100_000


def make_load(wait_ms=0, speed=40.0, first_ms=200, **fields):
    values = {
        "queued": {},
        "running": {},
        "expected_wait_ms": dict.fromkeys(RequestClass, wait_ms),
        "limit": 8,
        "tokens_per_second": speed,
        "speed_age_ms": 100,
        "time_to_first_token_ms": first_ms,
        "first_token_age_ms": 100,
    }
    return LoadReport(**(values | fields))


def make_candidate(agent, load=None, **fields):
    values = {"zone": "cebu", "region": "visayas", "report_received_ms": NOW_MS - 500}
    values["models"] = frozenset({"fitting"})
    return Candidate(agent=agent, load=load or make_load(), **(values | fields))


def make_request(remaining_ms=60_000, **fields):
    values = {"expected_tokens": 40, "model": "fitting"} | fields
    return RoutedRequest("r1", RequestClass.STOREFRONT, Deadline(NOW_MS + remaining_ms), **values)


def decide(candidates, request=None, seed=1):
    return place(
        request or make_request(), candidates, LOCATION, NOW_MS, random.Random(seed), COSTS
    )


@pytest.mark.parametrize(
    "worse",
    [
        {"load": make_load(wait_ms=3_000)},
        {"load": make_load(speed=5.0)},
        {"load": make_load(first_ms=3_000)},
        {"local_observations": LocalObservations(4_000, 10, 4.0, 10)},
        {"local_observations": LocalObservations(longest_pending_ms=4_000)},
        {"sent_since_report": 40},
        {"draining": True},
        {"load": make_load(draining=True)},
        {"models": frozenset({"other"})},
        {"report_received_ms": NOW_MS - 60_000},
    ],
)
def test_worse_candidate_is_avoided(worse):
    """Guards against a measurement that is collected but not used."""
    candidates = [make_candidate("worse", **worse), make_candidate("better")]
    chosen = {decide(candidates, seed=seed).agent for seed in range(20)}
    assert chosen == {"better"}


def test_local_observations_outweigh_an_old_report():
    """Guards against an old load report outweighing the entry's recent measurements."""
    slow_observations = LocalObservations(4_000, 50, 5.0, 50)
    old_fast_report = make_load(speed=80.0, speed_age_ms=15_000, first_token_age_ms=15_000)
    candidates = [
        make_candidate("praised", old_fast_report, local_observations=slow_observations),
        make_candidate("ordinary", make_load(speed=30.0)),
    ]
    assert decide(candidates).agent == "ordinary"


def test_other_region_costs_time_and_volume():
    """Guards against sending large bodies over the billed link between regions for a small gain."""
    candidates = [
        make_candidate("near", make_load(wait_ms=150)),
        make_candidate("far", zone="manila", region="luzon"),
    ]
    assert decide(candidates, make_request(transfer_bytes=500_000)).agent == "near"
    candidates[0] = make_candidate("near", make_load(wait_ms=10_000))
    assert decide(candidates, make_request(transfer_bytes=500_000)).agent == "far"


def test_candidate_with_the_cached_prefix_is_preferred():
    loads = make_load(first_ms=2_000)
    candidates = [make_candidate("cold", loads), make_candidate("warm", loads, cached_tokens=900)]
    assert decide(candidates, make_request(prompt_tokens=1_000)).agent == "warm"


def test_entries_with_equal_reports_spread_over_the_agents():
    """Guards against a thundering herd: many entries choosing one agent until its next report."""
    candidates = [make_candidate(f"agent-{number}") for number in range(6)]
    counts = Counter(decide(candidates, seed=seed).agent for seed in range(600))
    assert len(counts) == 6
    assert max(counts.values()) < 2 * min(counts.values())


def test_unmeetable_deadline_is_refused_with_the_reported_queue():
    placement = decide([make_candidate("a", make_load(wait_ms=9_000))], make_request(2_000))
    assert placement.agent is None
    assert "needs" in placement.reason
    assert 5_000 <= placement.retry_after_ms <= 9_000


STALE_SPEED = make_load(9_000, speed_age_ms=90_000, first_token_age_ms=90_000)


@pytest.mark.parametrize(
    "old",
    [{"load": make_load(9_000), "report_received_ms": NOW_MS - 60_000}, {"load": STALE_SPEED}],
)
def test_outdated_measurements_do_not_refuse(old):
    """Guards against an upstream that is never tried again after a slowdown."""
    assert decide([make_candidate("a", **old)], make_request(2_000)).agent == "a"


def test_model_without_an_agent_is_refused():
    placement = decide([make_candidate("a")], make_request(model="judging"))
    assert placement.agent is None
    assert placement.retry_after_ms > 0


def test_same_seed_gives_the_same_placement():
    candidates = [make_candidate(f"agent-{number}") for number in range(6)]
    assert decide(candidates, seed=5) == decide(candidates, seed=5)


def test_observations_include_open_attempts_without_a_first_token():
    """Guards against measurements that omit attempts without any response."""
    observations = AgentObservations()
    observations.record_sent("a", RequestClass.STOREFRONT, 0)
    observations.record_sent("b", RequestClass.STOREFRONT, 500)
    observations.record_first_token("a", 200)
    observations.record_finished("a", 40, 1_200)
    summary = observations.summary(RequestClass.STOREFRONT, 2_500)
    assert summary.time_to_first_token_ms == 200
    assert summary.tokens_per_second == 40.0
    assert summary.longest_pending_ms == 2_000
    assert observations.sent_since(400) == 1
    observations.discard("b")
    assert observations.summary(RequestClass.STOREFRONT, 2_500).longest_pending_ms == 0


def test_queue_of_one_class_does_not_affect_another():
    """Guards against short requests avoiding an agent because training work waits there."""
    observations = AgentObservations()
    observations.record_sent("sample", RequestClass.TRAINING, 0)
    assert observations.summary(RequestClass.STOREFRONT, 60_000).longest_pending_ms == 0
    assert observations.summary(RequestClass.TRAINING, 60_000).longest_pending_ms == 60_000
