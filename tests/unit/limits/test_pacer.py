"""Guards against bursts beyond a limit, lost capacity and times to return that cannot be kept."""

import random

from pistachionotch.limits.pacer import (
    BURST_S,
    MAX_RETRY_MS,
    MIN_PER_SECOND,
    PRECEDENCE_MS,
    Denial,
    Permit,
    PermitWant,
    RatePacer,
)

AT_ONCE = PermitWant()
WINDOW_MS = 4_000


def make(per_second, now_ms=0, tokens=0.0):
    pacer = RatePacer(random.Random(1), per_second, now_ms, tokens)
    pacer.change_rate(per_second, now_ms)
    return pacer


def replay(pacer, times, want=AT_ONCE):
    """Return the times at which requests that arrive at ``times`` are sent."""
    verdicts = [(at, pacer.decide(want, at)) for at in times]
    return [at + verdict.wait_ms for at, verdict in verdicts if isinstance(verdict, Permit)]


def busiest_window(times):
    return max(sum(1 for each in times if at <= each < at + WINDOW_MS) for at in times)


def test_bursts_of_a_step_stay_within_the_bound_and_use_the_limit():
    # A hundred items at once every four seconds, at an engine that accepts 3.3 requests per second.
    limit = 3.3
    arrivals = [at for step in range(0, 60_000, 4_000) for at in range(step, step + 3_000, 30)]
    sent = replay(make(limit), arrivals, PermitWant(max_wait_ms=150))
    assert busiest_window(sent) <= 1.5 * limit * WINDOW_MS / 1_000 + 1
    assert len(sent) >= 0.95 * limit * 60


def test_random_calls_are_paced_at_the_limit():
    # Calls of 60 gateways together, 5 per second at a server that accepts 1.6.
    rng = random.Random(7)
    arrivals, at = [], 0.0
    while at < 100_000:
        at += rng.expovariate(5 / 1_000)
        arrivals.append(round(at))
    sent = replay(make(1.6), arrivals, PermitWant(max_wait_ms=100))
    assert 0.95 * 1.6 * 100 <= len(sent) <= 1.6 * 100 + 1.6 * BURST_S


def test_waiting_requests_get_turns_one_after_another():
    pacer = make(2.0)
    want = PermitWant(max_wait_ms=1_200)
    assert [pacer.decide(want, 0) for _ in range(2)] == [Permit(500), Permit(1_000)]
    assert pacer.decide(want, 0).next_ms == 1_500


def test_rejected_callers_get_different_times_to_return():
    pacer = make(2.0)
    want = PermitWant(alternatives=1)
    returns = [pacer.decide(want, 0).retry_ms for _ in range(4)]
    for number, retry_ms in enumerate(returns, start=1):
        assert number * 500 <= retry_ms <= number * 550
    assert all(pacer.decide(want, 0).retry_ms <= MAX_RETRY_MS for _ in range(200))


def test_returning_callers_find_a_permit_at_the_time_that_they_were_told():
    pacer = make(2.0)
    times = [pacer.decide(PermitWant(alternatives=1), 0).retry_ms for _ in range(10)]
    assert len(replay(pacer, sorted(times))) == 10


def test_rejected_urgent_request_comes_before_less_urgent_ones():
    pacer = make(1.0)
    assert isinstance(pacer.decide(PermitWant(urgency=0), 0), Denial)
    assert isinstance(pacer.decide(PermitWant(urgency=2), PRECEDENCE_MS), Denial)
    assert isinstance(pacer.decide(PermitWant(urgency=0), 1_000), Permit)


def test_less_urgent_requests_do_not_hold_up_urgent_ones():
    pacer = make(1.0)
    pacer.decide(PermitWant(urgency=5), 0)
    assert isinstance(pacer.decide(PermitWant(urgency=0), 1_000), Permit)


def test_zero_limit_still_passes_single_requests():
    sent = replay(make(0.0), range(0, 60_000, 100))
    assert 0.9 * MIN_PER_SECOND * 60 <= len(sent) <= MIN_PER_SECOND * 60 + 1
    assert busiest_window(sent) <= 5


def test_lowered_limit_takes_unused_requests_away():
    pacer = make(100.0, tokens=200.0)
    pacer.change_rate(1.0, 0)
    assert len(replay(pacer, [0] * 50)) == 2


def test_huge_limit_never_binds():
    assert len(replay(make(999_999_999_999.0), [1] * 500)) == 500


def test_clock_that_stands_still_or_jumps_grants_no_more_than_a_burst():
    pacer = make(4.0)
    assert len(replay(pacer, [10_000_000] * 50)) == 8
    assert replay(pacer, [5_000] * 50) == []
