"""Guards against a stand-in that misses requests beyond the limit that it names."""

import math

from pistachionotch.standins.arrivals import EFFECT_S, WINDOW_S, ArrivalWindows


def send(windows, start_s, end_s, per_second):
    for number in range(int((end_s - start_s) * per_second)):
        windows.record(start_s + number / per_second)


def named(per_second, at_s=10.0):
    windows = ArrivalWindows()
    windows.name_limit(per_second, at_s)
    return windows


def test_requests_within_the_tolerance_are_no_breach():
    windows = named(2.0)
    send(windows, 0.0, 11.0, 50.0)
    send(windows, 11.0, 40.0, 4.2)
    assert windows.breaches == []
    assert windows.total > 550


def test_requests_beyond_the_tolerance_are_found_once_the_window_is_limited():
    windows = named(2.0)
    send(windows, 0.0, 30.0, 5.0)
    assert windows.breaches
    first = windows.breaches[0]
    assert first["at"] >= 10.0 + EFFECT_S + WINDOW_S
    assert first["allowed"] == 2.0 * 1.5 * WINDOW_S + 5
    assert len(first["arrivals"]) == first["requests"]


def test_lowered_limit_counts_after_its_time_to_take_effect():
    windows = named(20.0)
    send(windows, 12.0, 20.0, 20.0)
    windows.name_limit(1.0, 20.0)
    send(windows, 20.0, 21.0, 20.0)
    assert windows.breaches == []
    send(windows, 21.0, 26.0, 20.0)
    assert windows.breaches


def test_limit_that_ends_bounds_nothing():
    windows = named(1.0)
    windows.name_limit(math.inf, 20.0)
    send(windows, 20.0, 30.0, 100.0)
    assert windows.breaches == []


def test_short_end_of_a_limit_does_not_hide_what_follows():
    windows = named(1.0)
    windows.name_limit(math.inf, 15.0)
    windows.name_limit(1.0, 15.5)
    send(windows, 16.5, 30.0, 10.0)
    assert windows.breaches
