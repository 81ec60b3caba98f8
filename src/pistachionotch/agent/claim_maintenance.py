"""Periodic maintenance of claims, and detection of agents that stopped with open claims."""

from __future__ import annotations

import attrs
from returns.result import Success

from ..clock import Clock
from ..idempotency.manager import ClaimManager
from ..membership.registration import MEMBERS_PREFIX, decode_registration
from ..objects.api import ObjectStore

INTERVAL_MS = 250


@attrs.frozen
class ClaimantLiveness:
    """Tell from an agent's registration whether the incarnation that made a claim may run."""

    store: ObjectStore

    def __call__(self, agent: str, incarnation: str) -> bool:
        """Return False only if the registration was removed or names another incarnation."""
        read = self.store.get(MEMBERS_PREFIX + agent)
        stored = read.value_or(None)
        if stored is None:
            # A failed read proves nothing; a removed registration shows that the agent has stopped.
            return not isinstance(read, Success)
        member = decode_registration(stored.value)
        return member is None or member.incarnation == incarnation


@attrs.frozen
class ClaimMaintenance:
    """Run the maintenance of one claim manager every INTERVAL_MS."""

    claim_manager: ClaimManager
    clock: Clock

    def run(self) -> None:
        """Run the maintenance until the greenlet is killed."""
        while True:
            self.claim_manager.maintain()
            self.clock.sleep_ms(INTERVAL_MS)

    def finish(self, limit_ms: int) -> None:
        """Settle the remaining claims before the agent stops, for at most about ``limit_ms``."""
        deadline_ms = self.clock.now_ms() + limit_ms
        while self.claim_manager.unsettled and self.clock.now_ms() < deadline_ms:
            self.claim_manager.maintain()
            self.clock.sleep_ms(INTERVAL_MS // 10)
