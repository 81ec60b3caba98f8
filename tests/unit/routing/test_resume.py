"""Guards against resuming streams for too little gain or in slots that queued work waits for."""

import pytest

from pistachionotch.routing.resume import MAX_CONTINUATIONS, StreamStatus, decide_resume


def decide(**fields):
    values = {
        "tokens": 200,
        "left_tokens": 200,
        "tokens_per_second": 10.0,
        "continuations": 0,
        "alternative": "other",
        "alternative_ms": 6_000,
    }
    return decide_resume(StreamStatus(**(values | fields))).agent


def test_slow_stream_is_resumed_where_it_ends_clearly_earlier():
    assert decide() == "other"


@pytest.mark.parametrize(
    "fields",
    [
        {"tokens": 0},
        {"tokens_per_second": 0.0},
        {"continuations": MAX_CONTINUATIONS},
        {"alternative": None},
        {"alternative_wait_ms": 1},
        {"alternative_ms": 15_000},
        {"left_tokens": 20, "alternative_ms": 100},
    ],
)
def test_stream_stays_at_its_agent(fields):
    assert decide(**fields) is None
