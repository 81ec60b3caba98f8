"""Limits of a gateway process on memory and connections, derived from its settings."""

from __future__ import annotations

from typing import Any

import attrs

from ..clock import Clock
from ..limits.byte_budget import ByteBudget, budget_bytes
from ..limits.connection_table import ConnectionTable
from ..measures import Measures
from ..server import MAX_CONNECTIONS
from .settings import GatewaySettings

# Descriptors that are not divided: logs, listeners, the store's connections (about 30 in all), the
# connections of the probe port, and those that are closed but not yet released.
BASE_DESCRIPTORS = 64
# The platform asks one question at a time; others may hold some connections as well.
MAX_PROBE_CONNECTIONS = 8
# Shares of the other descriptors. An open request of a client needs a connection to an upstream, so
# clients get as much as those; the rest is for peers and for idle connections to upstreams.
CLIENT_SHARE = 5 / 16
PEER_SHARE = 3 / 16
IDLE_SHARE = 3 / 16


@attrs.define
class GatewayRoom:
    """The budget of bytes and the connections of each port of one gateway process."""

    budget: ByteBudget
    clients: ConnectionTable
    probes: ConnectionTable
    peers: ConnectionTable
    max_idle_upstream: int

    @classmethod
    def build(
        cls, settings: GatewaySettings, clock: Clock, log: Any, measures: Measures
    ) -> GatewayRoom:
        """Return the limits of a process with these settings."""
        left = settings.max_descriptors - BASE_DESCRIPTORS

        def share(part: float) -> int:
            if not settings.max_descriptors:
                return MAX_CONNECTIONS
            return max(1, min(MAX_CONNECTIONS, int(left * part)))

        return cls(
            budget=ByteBudget(clock, budget_bytes(settings.memory_limit_bytes), log, measures),
            clients=ConnectionTable(clock, share(CLIENT_SHARE)),
            probes=ConnectionTable(clock, MAX_PROBE_CONNECTIONS),
            peers=ConnectionTable(clock, share(PEER_SHARE)),
            max_idle_upstream=share(IDLE_SHARE),
        )

    def status(self) -> dict[str, int]:
        """Return the fields of the status page and of the metrics."""
        return {
            "room_used_bytes": self.budget.used_bytes,
            "room_max_bytes": self.budget.max_bytes,
            "client_connections": len(self.clients.connections),
        }
