"""Guards against time that runs backwards or deadlines that never expire."""

import pytest

from pistachionotch.clock import Deadline, ManualClock


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
