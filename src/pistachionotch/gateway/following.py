"""Copies of what the platform's object API lists, kept current by waiting reads."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from ..clock import Clock
from ..objects.api import StoredObject
from ..objects.follow import FollowedPrefix

# A waiting read ends after this long, so that one on a silent connection delays news by little more
# than the platform allows a node that lost its connections.
WATCH_WAIT_MS = 3_000
# Changes come in bursts; one call after this pause brings all of them.
BURST_PAUSE_MS = 400
# Pause after a refused or lost call.
RETRY_PAUSE_MS = 500


@attrs.define
class Follower:
    """Follow one prefix and hand each change of its copy to ``changed``."""

    followed: FollowedPrefix
    clock: Clock
    changed: Callable[[dict[str, StoredObject], int], None]
    log: Any
    connected: bool = False
    # When the copy was last known to be current.
    current_ms: int | None = None
    active: Callable[[], bool] = lambda: True
    wait_ms: int = WATCH_WAIT_MS

    def run(self) -> None:
        """Follow for ever."""
        while True:
            if not self.active():
                self.clock.sleep_ms(RETRY_PAUSE_MS)
                continue
            self.step()

    def step(self) -> None:
        """Wait for the next change, or for one waiting read to end."""
        changes = self.followed.changes
        started_ms = self.clock.now_ms()
        if not self.followed.refresh(self.wait_ms):
            self._note(False)
            self.clock.sleep_ms(RETRY_PAUSE_MS)
            return
        self._note(True)
        self.current_ms = self.clock.now_ms()
        if self.followed.changes != changes:
            self.changed(self.followed.objects, self.followed.revision)
        if self.clock.now_ms() - started_ms < BURST_PAUSE_MS:
            self.clock.sleep_ms(BURST_PAUSE_MS)

    def _note(self, connected: bool) -> None:
        if connected == self.connected:
            return
        self.connected = connected
        name = "regained" if connected else "lost"
        self.log.warning(
            f"object API {name}",
            prefix=self.followed.prefix,
            revision=self.followed.revision,
            reason="" if connected else self.followed.error,
        )
