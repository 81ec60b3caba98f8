"""Carries out the drain of a gateway, as ``draining`` decides it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ..clock import MS_PER_SECOND
from ..logs import logger

if TYPE_CHECKING:
    from .daemon import GatewayDaemon

POLL_INTERVAL_MS = 50


def drain_gateway(daemon: GatewayDaemon, reason: str) -> None:
    """Fail the readiness probe, hand over batches, finish open requests and stop."""
    plan, clock = daemon.drain_plan, daemon.clock
    plan.begin(daemon.settings.drain_grace_ms)
    daemon.state = "draining"
    daemon.limits.broker.resigned = True
    logger("gateway").info(
        "draining",
        reason=reason,
        open_requests=daemon.open_requests,
        grace_ms=plan.grace_ms,
        cut_off_in_ms=plan.left_ms(),
    )
    clock.sleep_ms(plan.readiness_delay_ms)
    daemon.batches.draining = True
    _release(daemon)
    # Open requests are still answered; their connections close after the response.
    for server in daemon.servers:
        server.stop_listening()
    clock.sleep_ms(plan.final_read_ms)
    while daemon.open_requests and plan.left_ms():
        clock.sleep_ms(POLL_INTERVAL_MS)
    daemon.rejecting_requests = True
    unfinished = daemon.ingress.cut_off()
    clock.sleep_ms(plan.final_read_ms)
    for server in daemon.servers:
        server.stop(timeout=0)
    daemon.state = "stopped"
    logger("gateway").info(
        "stopped",
        node=daemon.settings.node,
        # Requests that got an error because they were not finished, and streams that were broken.
        unfinished=unfinished,
        cut_off=daemon.open_requests,
    )


def _release(daemon: GatewayDaemon) -> None:
    """Hand over batches and release the lease, with a timeout in case the object API hangs."""
    hand_off = daemon.batches.ownership_transfer.hand_off
    jobs = [gevent.spawn(hand_off, run) for run in list(daemon.owner.runs.values())]
    jobs.append(gevent.spawn(daemon.orders.lease.release))
    gevent.joinall(jobs, timeout=daemon.drain_plan.release_timeout_ms / MS_PER_SECOND)
