"""A guard against crashing requests that shares what it observes."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

import attrs

from ..batches.model import Owner
from ..batches.ownership_transfer import unix_ms
from ..clock import Clock
from ..config.spec import Address
from ..http_client import ConnectionPool
from ..logs import logger
from ..measures import Measures
from ..objects.api import ObjectStore
from ..quarantine.board import CrashBoard
from .crash_exchange import CrashExchange
from .crash_store import CrashStore
from .suspects import SuspectGuard
from .upstreams import UpstreamTable


@attrs.frozen
class SharedSuspects:
    """A guard and the tasks that share what it observes."""

    guard: SuspectGuard
    exchange: CrashExchange
    store: CrashStore

    def tasks(self) -> tuple[Callable[[], None], ...]:
        """Return the tasks to run."""
        return self.exchange.run, self.exchange.compare, self.store.run


def share_suspects(
    local: Owner,
    clock: Clock,
    rng: random.Random,
    pool: ConnectionPool,
    table: UpstreamTable,
    object_store: ObjectStore,
    other_gateways: Callable[[], Mapping[str, Address]],
    measures: Measures,
) -> SharedSuspects:
    """Return a guard that shares its observations with the other gateways and the object API."""
    log = logger("suspects")
    board = CrashBoard()
    exchange = CrashExchange(clock, rng, pool, board, other_gateways, log, measures)
    exchange.own_address = str(local.address)
    store = CrashStore(local.node, object_store, clock, unix_ms, board, log)
    guard = SuspectGuard(clock, table, pool, board, log, measures, exchange, store.record)
    exchange.received = guard.log_received
    return SharedSuspects(guard, exchange, store)
