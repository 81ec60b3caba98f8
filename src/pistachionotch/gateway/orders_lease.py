"""The lease whose holder gives orders to engines."""

from __future__ import annotations

import random

from ..clock import Clock
from ..lease.lease import Lease
from ..lease.list_cache import LeaseListCache
from ..objects.api import ObjectStore
from .peers import GatewayRegistry
from .sharing import Watchers

# Kept short: without a holder no weights are updated, and trainers announce a version every few
# seconds.
LEASE_TTL_MS = 3_000
# The watchers read the lease when it may have expired. In case both watchers are lost along with
# the holder, the other waiting gateways also read it, together about once in this time.
LEASE_READ_SHARE_MS = 600


def orders_lease(
    node: str,
    store: ObjectStore,
    clock: Clock,
    rng: random.Random,
    gateways: GatewayRegistry,
    watchers: Watchers,
) -> Lease:
    """Return the lease of a gateway that may hold it."""
    return Lease(
        store,
        clock,
        "orders",
        "all",
        node,
        LEASE_TTL_MS,
        rng,
        LeaseListCache(store, clock),
        reclaims=True,
        min_poll_ms=lambda: len(gateways.addresses) * LEASE_READ_SHARE_MS,
        polls_at_expiry=watchers.watching,
    )
