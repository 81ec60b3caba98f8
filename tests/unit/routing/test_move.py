"""Guards against work that stays queued at a slow agent, or moves back and forth."""

import attrs

from pistachionotch.admission.load import LoadReport
from pistachionotch.clock import Deadline
from pistachionotch.outcomes import RequestClass
from pistachionotch.routing.candidates import Candidate, Location, RoutedRequest
from pistachionotch.routing.move import MIN_GAIN_MS, decide_move
from pistachionotch.routing.placement import RoutingCosts

LOCATION = Location("entry", "cebu", "visayas")
REQUEST = RoutedRequest("r", RequestClass.TRAINING, Deadline(480_000), expected_tokens=300)


def make_candidate(agent, wait_ms, **fields):
    load = LoadReport(
        queued={},
        running={},
        expected_wait_ms={RequestClass.TRAINING: wait_ms},
        limit=8,
        tokens_per_second=40.0,
        speed_age_ms=0,
        time_to_first_token_ms=200,
        first_token_age_ms=0,
    )
    return attrs.evolve(Candidate(agent, "cebu", "visayas", load, report_received_ms=0), **fields)


def decide(*candidates):
    return decide_move(REQUEST, "a", candidates, LOCATION, 0, RoutingCosts())


def test_work_moves_when_it_would_start_much_earlier():
    decision = decide(make_candidate("a", 20_000), make_candidate("b", 0))
    assert decision.agent == "b"
    assert decision.gain_ms > 15_000


def test_small_gain_moves_nothing():
    assert decide(make_candidate("a", MIN_GAIN_MS - 1), make_candidate("b", 0)).agent is None


def test_nothing_moves_to_a_draining_agent():
    better = make_candidate("b", 0, draining=True)
    assert decide(make_candidate("a", 20_000), better).agent is None


def test_nothing_moves_when_the_current_agent_is_unknown():
    assert decide(make_candidate("b", 0)).agent is None
