"""Tests that an unexpected error ends neither a task for good nor the tasks beside it."""

import gevent
import structlog

from pistachionotch.clock import SystemClock
from pistachionotch.measures import Measures
from pistachionotch.tasks import RESTART_PAUSE_MS, keep_running


def test_a_task_that_fails_starts_again_and_is_logged_and_counted():
    measures = Measures()
    starts = []

    def task():
        starts.append(len(starts))
        if len(starts) < 3:
            raise KeyError("unexpected")

    with structlog.testing.capture_logs() as logs:
        runner = gevent.spawn(
            keep_running, "follow", task, SystemClock(), structlog.get_logger(), measures
        )
        runner.join(timeout=4 * RESTART_PAUSE_MS / 1_000)
    assert runner.successful() and starts == [0, 1, 2]
    assert measures.counters[("task_failures", "follow")] == 2
    assert [line["event"] for line in logs] == ["task failed"] * 2
    assert "KeyError" in logs[0]["error"] and "task()" in logs[0]["trace"]


def test_a_task_that_is_told_to_stop_stops():
    runner = gevent.spawn(
        keep_running,
        "wait",
        lambda: gevent.sleep(9),
        SystemClock(),
        structlog.get_logger(),
        Measures(),
    )
    gevent.sleep(0.01)
    runner.kill(timeout=1)
    assert runner.dead
