"""Fetching of newer configuration revisions by an agent."""

from __future__ import annotations

import attrs

from ..clock import Clock
from ..config.revisions import Revisions
from ..wire import messages
from ..wire.session import Session

# All 24 entries of an agent offer a new configuration at the same time, and one of them is asked
# for it. If it does not answer in this time, the next offer or heartbeat of any entry triggers
# another fetch.
FETCH_TIMEOUT_MS = 1000


@attrs.define
class ConfigFetcher:
    """Fetch revisions newer than the one in force, from one entry at a time."""

    clock: Clock
    revisions: Revisions
    requested_revision: int = 0
    retry_at_ms: int = 0

    def fetch_if_newer(self, session: Session, revision: int) -> None:
        """Request ``revision`` over ``session`` if it is newer and not already being fetched."""
        now_ms = self.clock.now_ms()
        if revision <= self.revisions.revision:
            return
        if revision <= self.requested_revision and now_ms < self.retry_at_ms:
            return
        self.requested_revision = revision
        self.retry_at_ms = now_ms + FETCH_TIMEOUT_MS
        session.send(messages.ConfigFetch(revision))
