"""Maintenance of claims: saves results, releases abandoned claims, detects dead claimants."""

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
    """Judge by its registration whether the agent incarnation that made a claim may still run."""

    store: ObjectStore

    def __call__(self, agent: str, incarnation: str) -> bool:
        """Return false only if the registration is gone or names another incarnation."""
        read = self.store.get(MEMBERS_PREFIX + agent)
        stored = read.value_or(None)
        if stored is None:
            # An unreadable registration proves nothing, a removed one tells of a shutdown.
            return not isinstance(read, Success)
        member = decode_registration(stored.value)
        return member is None or member.incarnation == incarnation


@attrs.frozen
class ClaimMaintenance:
    """Runs the maintenance of one claim manager a few times a second."""

    claim_manager: ClaimManager
    clock: Clock

    def run(self) -> None:
        """Work until the greenlet is killed."""
        while True:
            self.claim_manager.maintain()
            self.clock.sleep_ms(INTERVAL_MS)

    def finish(self, limit_ms: int) -> None:
        """Save what is left before the agent stops, for ``limit_ms`` at most."""
        deadline_ms = self.clock.now_ms() + limit_ms
        while self.claim_manager.unsettled and self.clock.now_ms() < deadline_ms:
            self.claim_manager.maintain()
            self.clock.sleep_ms(INTERVAL_MS // 10)
