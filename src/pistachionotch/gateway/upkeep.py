"""Periodic tasks of a gateway: its registration, lost gateways and batches past their retention."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from ..batches.cleanup import CLEANUP_PERIOD_MS, BatchCleaner
from ..batches.owner_cache import ANNOUNCE_INTERVAL_MS
from ..batches.ownership_transfer import unix_ms
from ..batches.service import BatchService
from ..clock import Clock
from ..http_client import ConnectionPool
from ..logs import logger
from ..objects.relay import RelayedStore
from .limits import RateLimits
from .orders import OrderDuty
from .peers import GatewayRegistry
from .settings import GatewaySettings

REGISTER_RETRY_MS = 1_000


class MaintainedGateway(Protocol):
    """What the periodic tasks use of a gateway process."""

    settings: GatewaySettings
    pool: ConnectionPool
    store: RelayedStore
    gateways: GatewayRegistry
    batches: BatchService
    orders: OrderDuty
    limits: RateLimits

    @property
    def clock(self) -> Clock:
        """Return the clock of the process."""


@attrs.define
class Upkeep:
    """The periodic tasks of one gateway."""

    gateway: MaintainedGateway

    def tasks(self) -> list[Callable[[], None]]:
        """Return the tasks to run."""
        return [
            self.register,
            self.announce_batches,
            self.evict_batches,
            self.clean_batches,
            self.prune_gateways,
        ]

    def register(self) -> None:
        """Keep the gateway registered."""
        gateway = self.gateway
        while True:
            if not gateway.gateways.registered:
                gateway.gateways.register()
                if gateway.gateways.restarted:
                    gateway.limits.broker.shorten_overlap()
            rejected = gateway.gateways.rejected
            gateway.clock.sleep_ms(CLEANUP_PERIOD_MS if rejected else REGISTER_RETRY_MS)

    def announce_batches(self) -> None:
        """Repeat the notifications about owned batches until all directory gateways have them."""
        while True:
            self.gateway.clock.sleep_ms(ANNOUNCE_INTERVAL_MS)
            self.gateway.batches.owner_cache.announce_missing()

    def evict_batches(self) -> None:
        """Evict ended batches from memory after their retention period."""
        while True:
            self.gateway.clock.sleep_ms(CLEANUP_PERIOD_MS)
            self.gateway.batches.evict_expired(self.gateway.settings.batch_retention_ms)

    def clean_batches(self) -> None:
        """Delete stored batches after their retention period while this gateway has the lease."""
        gateway, retention_ms = self.gateway, self.gateway.settings.batch_retention_ms
        log = logger("batches")
        cleaner = BatchCleaner(
            gateway.store, gateway.clock, unix_ms, retention_ms, log, gateway.batches.odd
        )
        cleaner.run(gateway.orders.holds_lease)

    def prune_gateways(self) -> None:
        """Delete the registrations of unreachable gateways while this gateway has the lease."""
        gateway = self.gateway
        while True:
            gateway.clock.sleep_ms(CLEANUP_PERIOD_MS)
            if gateway.orders.holds_lease():
                gateway.gateways.delete_unreachable(gateway.pool.answers)
