"""Tests that time never goes backwards and that deadlines expire."""

import time

import pytest

from pistachionotch.clock import Deadline, ManualClock, SystemClock


def test_deadline_expires_exactly_at_its_millisecond():
    clock = ManualClock()
    deadline = Deadline.after(clock, 10)
    clock.advance(9)
    assert not deadline.expired(clock)
    clock.advance(1)
    assert deadline.expired(clock)
    assert deadline.remaining_ms(clock) == 0


def test_manual_clock_rejects_going_back():
    with pytest.raises(ValueError, match="does not go back"):
        ManualClock().advance(-1)


def test_the_time_of_a_suspended_machine_counts(monkeypatch):
    # After its VM was suspended, a process must notice that its lease has expired.
    readings = {time.CLOCK_MONOTONIC: 5_000_000_000, time.CLOCK_BOOTTIME: 5_000_000_000}
    monkeypatch.setattr(time, "clock_gettime_ns", readings.__getitem__)
    monkeypatch.setattr(time, "monotonic_ns", lambda: readings[time.CLOCK_MONOTONIC])
    clock = SystemClock()
    before_ms = clock.now_ms()
    readings[time.CLOCK_BOOTTIME] += 4_000_000_000
    assert clock.now_ms() - before_ms == 4_000
