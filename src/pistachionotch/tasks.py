"""Tasks of a daemon that run for ever, whatever goes wrong in one of their rounds."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any

from .clock import Clock
from .measures import Measures

# Pause before a task that failed starts again; it bounds the log of one that fails each time.
RESTART_PAUSE_MS = 500


def keep_running(
    name: str, task: Callable[[], None], clock: Clock, log: Any, measures: Measures
) -> None:
    """Run a task until it returns; after an unexpected error it is started again."""
    while True:
        try:
            task()
            return
        except Exception as error:  # neither the process nor its other tasks end with this one
            measures.count("task_failures", name)
            log.error("task failed", task=name, error=repr(error), trace=traceback.format_exc())
            clock.sleep_ms(RESTART_PAUSE_MS)
