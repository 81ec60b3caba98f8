"""Guards against a concurrency limit that ignores overload, collapses or never recovers."""

from pistachionotch.admission.limit import MAX_REPORT_AGE_MS, ConcurrencyLimit
from pistachionotch.admission.load import RunResult

SUCCEEDED = RunResult(100, 10, 200)
REJECTED = RunResult(None, 0, 5, succeeded=False, overloaded=True)


def observe_runs(limit, result, count):
    for _ in range(count):
        limit.observe(result, limit.value)


def test_rejections_lower_the_limit_and_successes_raise_it_again():
    limit = ConcurrencyLimit.adaptive(initial=16, minimum=2, maximum=32)
    observe_runs(limit, REJECTED, 60)
    lowered = limit.value
    observe_runs(limit, SUCCEEDED, 400)
    assert lowered < 10
    assert limit.value > lowered


def test_one_overload_lowers_the_limit_once():
    """Guards against a short overload, which rejects all runs in progress, collapsing the limit."""
    limit = ConcurrencyLimit.adaptive(initial=16, minimum=2, maximum=16)
    observe_runs(limit, SUCCEEDED, 20)
    observe_runs(limit, REJECTED, 16)
    assert limit.value == 12


def test_slow_and_uneven_response_times_do_not_lower_the_limit():
    """Guards against mistaking long prompts or a noisy neighbour for overload."""
    limit = ConcurrencyLimit.adaptive(initial=8, minimum=4, maximum=8)
    for number in range(200):
        first_token_ms = (20, 100, 500, 3_000)[number % 4]
        limit.observe(RunResult(first_token_ms, 10, first_token_ms + 100), limit.value)
    assert limit.value == 8


def test_requests_waiting_inside_an_engine_lower_the_limit_to_its_batch():
    limit = ConcurrencyLimit.adaptive(initial=16, minimum=2, maximum=32)
    limit.observe_report(running=11, waiting=5, measured_ms_ago=500)
    assert limit.value == 11


def test_old_reports_and_reports_without_waiting_requests_change_nothing():
    """Guards against a delayed report lowering the limit long after the overload has ended."""
    limit = ConcurrencyLimit.adaptive(initial=16, minimum=2, maximum=32)
    limit.observe_report(running=4, waiting=5, measured_ms_ago=MAX_REPORT_AGE_MS + 1)
    limit.observe_report(running=4, waiting=0, measured_ms_ago=0)
    assert limit.value == 16


def test_limit_stays_within_its_bounds():
    limit = ConcurrencyLimit.adaptive(initial=4, minimum=2, maximum=6)
    observe_runs(limit, SUCCEEDED, 500)
    assert limit.value == 6
    observe_runs(limit, REJECTED, 500)
    assert limit.value == 2
    limit.observe_report(running=1, waiting=9, measured_ms_ago=0)
    assert limit.value == 2


def test_failed_runs_do_not_raise_the_limit():
    """Guards against quick failures that look like spare capacity."""
    limit = ConcurrencyLimit.adaptive(initial=4, minimum=2, maximum=6)
    observe_runs(limit, RunResult(1, 0, 1, succeeded=False), 100)
    assert limit.value == 4
