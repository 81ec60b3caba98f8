"""Guards against a concurrency limit that ignores congestion or never recovers."""

from pistachionotch.admission.limit import ConcurrencyLimit
from pistachionotch.admission.load import RunFacts


def feed(limit, first_token_ms, count, succeeded=True):
    for _ in range(count):
        limit.observe(RunFacts(first_token_ms, 10, first_token_ms + 100, succeeded), limit.value)


def test_congestion_lowers_the_limit_and_calm_raises_it_again():
    limit = ConcurrencyLimit.adaptive(initial=16, minimum=2, maximum=32)
    feed(limit, 100, 20)
    before = limit.value
    feed(limit, 400, 60)
    low = limit.value
    feed(limit, 100, 400)
    assert low < before
    assert limit.value > low


def test_one_round_of_congested_runs_lowers_the_limit_once():
    """Guards against a short stall that collapses the limit."""
    limit = ConcurrencyLimit.adaptive(initial=16, minimum=2, maximum=16)
    feed(limit, 100, 20)
    feed(limit, 400, 16)
    assert limit.value >= 14


def test_limit_stays_within_its_bounds():
    limit = ConcurrencyLimit.adaptive(initial=4, minimum=2, maximum=6)
    feed(limit, 100, 500)
    assert limit.value == 6
    feed(limit, 100_000, 500)
    assert limit.value >= 2


def test_failed_runs_teach_nothing():
    """Guards against quick failures that look like a fast upstream."""
    limit = ConcurrencyLimit.adaptive(initial=4, minimum=2, maximum=6)
    feed(limit, 1, 100, succeeded=False)
    assert limit.value == 4
    assert limit.floor_ms == 0.0
