"""Turns for other tasks while one task has work without waiting."""

from __future__ import annotations

import time

import gevent

# How long a task may run without a pause; other work waits for so long.
SLICE_S = 0.01
# The loop looks for new data only after a pause that takes time.
PAUSE_S = 0.001


class TimeSlice:
    """The time for which a task has run since it last waited."""

    def __init__(self) -> None:
        self.started = time.monotonic()

    def restart(self) -> None:
        """Note that the task has waited."""
        self.started = time.monotonic()

    def end_if_over(self) -> None:
        """Let other tasks run if the slice is over."""
        if time.monotonic() - self.started >= SLICE_S:
            gevent.sleep(PAUSE_S)
            self.restart()
