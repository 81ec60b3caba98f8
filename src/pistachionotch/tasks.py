"""Supervision of background tasks, which are restarted after unexpected errors."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any

from .clock import Clock
from .measures import Measures

# Delay before a failed task is restarted; limits the log output of a task that always fails.
RESTART_PAUSE_MS = 500


def keep_running(
    name: str, task: Callable[[], None], clock: Clock, log: Any, measures: Measures
) -> None:
    """Run a task until it returns, restarting it after unexpected errors."""
    while True:
        try:
            task()
            return
        except Exception as error:  # must not end the process or its other tasks
            measures.count("task_failures", name)
            log.error("task failed", task=name, error=repr(error), trace=traceback.format_exc())
            clock.sleep_ms(RESTART_PAUSE_MS)
