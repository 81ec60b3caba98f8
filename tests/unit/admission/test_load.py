"""Guards against estimates from outdated or failed runs."""

from pistachionotch.admission.load import (
    MAX_OBSERVATION_AGE_MS,
    MovingAverage,
    RunResult,
    SpeedEstimate,
    StreamProgress,
)
from pistachionotch.admission.wait import estimate_wait_ms


def test_service_time_follows_observed_speed():
    speed = SpeedEstimate()
    speed.observe(RunResult(time_to_first_token_ms=200, tokens=100, duration_ms=2_200), 0)
    assert speed.service_ms(50) == 1_200


def test_observation_after_a_long_gap_replaces_the_average():
    """Guards against a past slowdown that still affects the estimate."""
    average = MovingAverage()
    average.observe(1_000, 0)
    average.observe(10, MAX_OBSERVATION_AGE_MS + 1)
    assert average.value == 10


def test_estimate_is_recent_only_after_a_recent_observation():
    speed = SpeedEstimate()
    assert not speed.is_recent(0)
    speed.observe(RunResult(5, 0, 5), 0)
    assert speed.is_recent(MAX_OBSERVATION_AGE_MS - 1)
    assert not speed.is_recent(MAX_OBSERVATION_AGE_MS)


def test_failed_run_does_not_change_the_speed():
    speed = SpeedEstimate()
    speed.observe(RunResult(1, 10, 2, succeeded=False), 0)
    assert speed.service_ms(100) == 0


def test_wait_is_the_time_until_a_slot_is_free():
    """Guards against an estimate that ignores parallel slots or the work ahead."""
    assert estimate_wait_ms(1, [500], 2, []) == 0
    assert estimate_wait_ms(0, [500, 300], 2, []) == 300
    assert estimate_wait_ms(0, [500, 300], 2, [1_000]) == 500
    assert estimate_wait_ms(1, [500], 2, [100, 100]) == 200


def test_progress_of_an_open_stream_shows_a_slowdown_before_the_stream_ends():
    """Guards against a slowdown that is noticed only when a slow run of a minute has finished."""
    speed = SpeedEstimate()
    speed.observe(RunResult(200, 100, 2_700), 0)
    progress = StreamProgress()
    assert progress.advance(40, 1_000) is None
    assert progress.advance(41, 1_100) is None, "one token is too short a window"
    assert progress.advance(50, 2_000) == 10.0
    speed.observe_progress(10.0, 2_000)
    assert speed.tokens_per_second.value < 40.0


def test_stalled_stream_gives_a_finite_estimate():
    """Guards against a division by zero when an open stream makes no progress."""
    speed = SpeedEstimate()
    for now_ms in range(0, 60_000, 1_000):
        speed.observe_progress(0.0, now_ms)
    assert speed.service_ms(100) > 10_000
