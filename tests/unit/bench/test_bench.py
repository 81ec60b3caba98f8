"""Guards against a benchmark that is not repeatable, loses work or flatters a policy."""

import pytest

from pistachionotch.bench.deployments import BITUIN
from pistachionotch.bench.events import EventLoop
from pistachionotch.bench.idle import (
    LONGEST,
    QUEUED,
    RESTARTED,
    SLOWED,
    STALE,
    SampleTimes,
    split_idle,
)
from pistachionotch.bench.measures import Measures, summarise
from pistachionotch.bench.policies import POLICIES
from pistachionotch.bench.run import run_bench
from pistachionotch.bench.upstreams import Episode, FakeUpstream
from pistachionotch.bench.world import World

SECONDS = 20


@pytest.fixture(scope="module")
def report():
    return run_bench(loads=(80,), seeds=(7,), seconds=SECONDS)


def test_same_seed_gives_the_same_figures(report):
    again = run_bench(loads=(80,), seeds=(7,), seconds=SECONDS)
    assert again.to_json() == report.to_json()


def test_report_names_every_policy_and_goal(report):
    text = report.text()
    for name in ("round-robin", "least-outstanding", "two-choices", "own", "bound"):
        assert text.count(f"\n{name} ") == 2
    assert text.count("of the best baseline") == 4
    assert text.count("stale samples delivered: 0") == 2


@pytest.mark.parametrize("name", POLICIES)
def test_every_offered_request_is_counted_once(name):
    """Guards against a policy whose lost requests are missing from its tail."""
    policy = POLICIES[name]
    world = World(BITUIN, 1.2, 3, 20_000, policy.make_queue, policy.make_dispatcher)
    measures = world.run()
    for kind in ("assistant", "service", "long"):
        recorded = measures.latency[kind].get_total_count()
        assert recorded == measures.counts[f"{kind}_offered"] > 0


def test_all_policies_are_offered_the_same_work():
    offered = set()
    for policy in POLICIES.values():
        world = World(BITUIN, 0.8, 5, 20_000, policy.make_queue, policy.make_dispatcher)
        counts = world.run().counts
        offered.add((counts["assistant_offered"], counts["service_offered"]))
    assert len(offered) == 1


@pytest.mark.parametrize(
    ("start_ms", "work_ms", "finish_ms"),
    [(0, 50, 50), (0, 150, 300), (100, 10, 140), (150, 50, 350), (390, 10, 408), (400, 10, 410)],
)
def test_work_slows_down_only_during_an_episode(start_ms, work_ms, finish_ms):
    upstream = FakeUpstream("u", "engine", "z", "r", 1, (Episode(100, 400, 4.0),))
    assert upstream.finish_ms(start_ms, work_ms) == finish_ms


def test_events_keep_their_order():
    loop = EventLoop()
    seen = []
    for name, time_ms in (("b", 5), ("c", 5), ("a", 1), ("late", 20)):
        loop.at(time_ms, seen.append, name)
    loop.run(10)
    assert seen == ["a", "b", "c"]


def test_summary_counts_idle_over_all_seeds():
    runs = [Measures(idle_ms=10, training_ms=90), Measures(idle_ms=50, training_ms=50)]
    summary = summarise(runs, 1.0)
    assert summary["idle_share"] == 0.3
    assert summary["idle_share_by_seed"]["high"] == 0.5


def test_idle_time_is_split_by_what_delays_the_last_sample():
    """A cause that hides behind a later sample, or counts twice, would misdirect the next round."""
    short = SampleTimes(started_ms=100, run_started_ms=100, work_ms=200.0, done_ms=320)
    moved = SampleTimes(started_ms=150, run_started_ms=300, work_ms=400.0, done_ms=900)
    parts = split_idle((short, moved), requested_ms=0, idle_from_ms=350, done_ms=1000)
    assert parts == {LONGEST: 50, QUEUED: 150, RESTARTED: 150, SLOWED: 200, STALE: 100}


def test_causes_add_up_to_the_idle_time():
    policy = POLICIES["own"]
    measures = World(BITUIN, 0.8, 4, 40_000, policy.make_queue, policy.make_dispatcher).run()
    assert abs(measures.idle_parts.total() - measures.idle_ms) < 10 < measures.idle_ms


def test_a_run_too_short_for_a_slowdown_still_has_a_report():
    """A measured time without a slowed upstream has no tail to judge."""
    assert "no upstream was slowed" in run_bench([80], [1], 10).text()
