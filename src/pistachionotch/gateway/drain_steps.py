"""Carries out the drain of a gateway, as ``draining`` decides it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

import gevent

from ..batches.owner import BatchOwner
from ..batches.service import BatchService
from ..clock import MS_PER_SECOND, Clock
from ..logs import logger
from ..measures import Measures
from ..open_answers import report_cut_off, wait_for_answers
from ..server import BoundedServer
from .draining import Drain
from .limits import RateLimits
from .orders import OrderDuty
from .settings import GatewaySettings


class DrainableGateway(Protocol):
    """What the drain uses of a gateway process."""

    state: str
    rejecting_requests: bool

    @property
    def settings(self) -> GatewaySettings:
        """Return the settings in force."""

    @property
    def clock(self) -> Clock:
        """Return the clock of the process."""

    @property
    def drain_plan(self) -> Drain:
        """Return the decisions about the drain."""

    @property
    def limits(self) -> RateLimits:
        """Return the rate limits, whose broker resigns."""

    @property
    def batches(self) -> BatchService:
        """Return the service that hands its batches over."""

    @property
    def owner(self) -> BatchOwner:
        """Return the open batches."""

    @property
    def orders(self) -> OrderDuty:
        """Return the duty whose lease is released."""

    @property
    def servers(self) -> Sequence[BoundedServer]:
        """Return the servers to stop."""

    @property
    def measures(self) -> Measures:
        """Return the measures of the process."""

    @property
    def ingress(self) -> Any:
        """Return the application that answers clients."""

    @property
    def open_requests(self) -> int:
        """Return the number of clients' requests that are not answered up to the last byte."""


def drain_gateway(daemon: DrainableGateway, reason: str) -> None:
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
    wait_for_answers(daemon.servers, clock, plan.left_ms)
    daemon.rejecting_requests = True
    unfinished = daemon.ingress.cut_off()
    clock.sleep_ms(plan.final_read_ms)
    wait_for_answers(daemon.servers, clock, plan.answers_left_ms)
    cut_off = report_cut_off(daemon.servers, "gateway", daemon.measures)
    for server in daemon.servers:
        server.stop(timeout=0)
    daemon.state = "stopped"
    logger("gateway").info(
        "stopped",
        node=daemon.settings.node,
        # Requests that got an error because they were not finished, and answers that were broken.
        unfinished=unfinished,
        cut_off=cut_off,
    )


def _release(daemon: DrainableGateway) -> None:
    """Hand over batches and release the lease, with a timeout in case the object API hangs."""
    hand_off = daemon.batches.ownership_transfer.hand_off
    jobs = [gevent.spawn(hand_off, run) for run in list(daemon.owner.runs.values())]
    jobs.append(gevent.spawn(daemon.orders.lease.release))
    gevent.joinall(jobs, timeout=daemon.drain_plan.release_timeout_ms / MS_PER_SECOND)
