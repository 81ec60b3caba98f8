"""Assembles what a gateway needs for the duties that one gateway carries out for all."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from ..batches.owner import BatchOwner
from ..batches.ownership_transfer import unix_ms
from ..clock import Clock
from ..duties.client import DutyClient
from ..duties.holder_tasks import USAGE_TOPIC, UsageTasks
from ..duties.scaling_tasks import DEMAND_TOPIC, ScalingTasks
from ..duties.true_time import TrueTime
from ..duties.usage_counts import KEPT_WINDOWS, UsageCounts, check_published
from ..duties.usage_reports import UsageReports
from ..exchange.board import Board, Origin, Topic
from ..exchange.service import RESPONSE_TIMEOUT_MS, StateExchange
from ..http_client import ConnectionPool
from ..logs import logger
from ..measures import Measures
from ..objects.relay import RelayedStore
from .calls import CallForwarder
from .cluster_state import ClusterState
from .duty_holder import DutyHolder
from .limit_exchange import post_to_gateway
from .peers import GatewayRegistry
from .responses import ClientCall
from .room_sharing import SharedRoom
from .scaling_facts import OwnDemand, scaled_services, server_states
from .settings import DutyName, GatewaySettings
from .sharing import Watchers
from .upstream_protocol import RequestPurpose, RunObserver

# A gateway that was not heard from for this long has no demand any more.
DEMAND_KEEP_MS = 15_000


@attrs.define
class GatewayDuties:
    """The exchange of state and the duties of one gateway."""

    clock: Clock
    holder: DutyHolder
    exchange: StateExchange
    # Each is None unless the settings name its duty.
    counts: UsageCounts | None = None
    usage: UsageTasks | None = None
    scaling: ScalingTasks | None = None

    def tasks(self) -> list[Callable[[], None]]:
        """Return the tasks to run."""
        tasks = [self.exchange.run]
        if self.usage is not None:
            tasks += [self.usage.fix_forever, self.usage.send_forever]
        if self.scaling is not None:
            tasks.append(self.scaling.run)
        return tasks

    def observe_runs(self, call: ClientCall, service: str) -> RunObserver | None:
        """Return what counts the runs of a call; None if they don't count."""
        if self.counts is None or not call.account or call.purpose is not RequestPurpose.CALL:
            return None
        return self.counts.observer(call.account, service)

    def status(self) -> dict[str, Any]:
        """Return the fields of the status page."""
        since_ms = self.holder.held_since_ms
        fields = {
            "holds_duties": self.holder.may_act(),
            "duty_fence": self.holder.fence,
            "duty_held_ms": 0 if since_ms is None else self.clock.now_ms() - since_ms,
        }
        if self.usage is not None:
            fields["usage_reported_window"] = self.usage.reported_window
        return fields


class DutyGateway(Protocol):
    """What the duties use of a gateway process."""

    settings: GatewaySettings
    rng: random.Random
    pool: ConnectionPool
    store: RelayedStore
    gateways: GatewayRegistry
    watchers: Watchers
    holder: DutyHolder
    forwarder: CallForwarder
    cluster: ClusterState
    owner: BatchOwner
    measures: Measures
    duty_client: DutyClient | None

    @property
    def clock(self) -> Clock:
        """Return the clock of the process."""


def make_exchange(gateway: DutyGateway) -> tuple[StateExchange, TrueTime]:
    """Return the exchange of state with the other gateways, still without topics, and its time."""
    clock, me = gateway.clock, gateway.gateways.local_owner
    log = logger("exchange")
    time = TrueTime(
        clock,
        unix_ms,
        lambda by_ms, gateways: log.warning("time corrected", by_ms=by_ms, gateways=gateways),
    )
    exchange = StateExchange(
        clock,
        gateway.rng,
        Board(Origin(me.node, me.incarnation), clock),
        time,
        gateway.watchers.active_watchers,
        lambda: len(gateway.gateways.addresses) + 1,
        lambda address, path, body: post_to_gateway(
            gateway.pool, address, path, body, RESPONSE_TIMEOUT_MS, log
        ),
        gateway.measures,
        urgent=gateway.holder.holds_lease,
    )
    return exchange, time


def make_duties(gateway: DutyGateway) -> GatewayDuties | None:
    """Return the duties that the settings name, or None without any."""
    settings, client = gateway.settings, gateway.duty_client
    if client is None or not settings.duties:
        return None
    exchange, time = make_exchange(gateway)
    gateway.holder.has_duties = True
    duties = GatewayDuties(gateway.clock, gateway.holder, exchange)
    if DutyName.USAGE_REPORTS in settings.duties:
        duties.counts = UsageCounts(gateway.clock, time, settings.report_window_ms)
        duties.usage = _make_usage(gateway, client, exchange, time, duties.counts)
        gateway.forwarder.observe_runs = duties.observe_runs
    gateway.forwarder.accounts.exchange = SharedRoom(exchange)
    if DutyName.AUTOSCALING in settings.duties:
        duties.scaling = _make_scaling(gateway, client, exchange, time)
    return duties


def _make_usage(
    gateway: DutyGateway,
    client: DutyClient,
    exchange: StateExchange,
    time: TrueTime,
    counts: UsageCounts,
) -> UsageTasks:
    settings, clock, holder = gateway.settings, gateway.clock, gateway.holder
    log_correction = time.corrected

    def correct(by_ms: int, gateways: int) -> None:
        log_correction(by_ms, gateways)
        counts.correct()

    time.corrected = correct
    topic = Topic(
        name=USAGE_TOPIC, keep_ms=KEPT_WINDOWS * settings.report_window_ms, check=check_published
    )
    exchange.board.add_topic(topic)
    exchange.subscriptions.append(
        lambda: frozenset({USAGE_TOPIC}) if holder.holds_lease() else frozenset()
    )
    reports = UsageReports(
        clock,
        time,
        settings.report_window_ms,
        settings.usage_due_ms,
        settings.duty_calls_per_s,
    )

    def publish() -> None:
        exchange.board.publish(USAGE_TOPIC, counts.published(reports.last_fixed()))
        for window, number in counts.take_late().items():
            gateway.measures.count("usage_reports", "late counts", number)
            logger("duties").warning("usage counted late", window=window, requests=number)

    exchange.publishers.append(publish)
    return UsageTasks(
        clock,
        gateway.rng,
        holder,
        gateway.store,
        gateway.store.limit,
        exchange,
        time,
        client,
        reports,
        exchange.gateway_count,
        exchange.longest_period_ms,
        logger("duties"),
        gateway.measures,
    )


def _make_scaling(
    gateway: DutyGateway, client: DutyClient, exchange: StateExchange, time: TrueTime
) -> ScalingTasks:
    cluster, clock = gateway.cluster, gateway.clock
    own = OwnDemand(
        clock, gateway.settings.zone, cluster.table, gateway.owner, gateway.forwarder.arrivals
    )
    tasks = ScalingTasks(
        clock,
        gateway.rng,
        gateway.holder,
        gateway.store,
        exchange,
        time,
        client,
        lambda: scaled_services(cluster.catalog),
        lambda: server_states(cluster.table, clock.now_ms()),
        lambda: own.demand(cluster.catalog),
        exchange.gateway_count,
        logger("duties"),
        gateway.measures,
    )
    exchange.board.add_topic(Topic(name=DEMAND_TOPIC, keep_ms=DEMAND_KEEP_MS))
    exchange.subscriptions.append(tasks.subscription)
    exchange.publishers.append(tasks.publish)
    return tasks
