"""Copies of what the platform's object API lists, kept current by waiting reads."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from gevent.event import Event

from ..clock import MS_PER_SECOND, Clock
from ..objects.api import StoredObject
from ..objects.follow import FollowedPrefix
from .sharing import Copy, Watchers

# A waiting read ends after this long: one on a silent connection delays news by no more than the
# platform allows until a change takes effect, and what others copy from it is not too old.
WATCH_WAIT_MS = 1_000
# The same for what only this gateway needs.
LONG_WAIT_MS = 3_000
# Pause between two copies from a watcher, which joins the changes of a burst.
COPY_PAUSE_MS = 100
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
    # Gateways whose copies are used, if this prefix is shared.
    watchers: Watchers | None = None
    # Revision of the last change of the copy, and the notice of it.
    changed_revision: int = -1
    news: Event = attrs.field(factory=Event)

    def run(self) -> None:
        """Follow for ever."""
        while True:
            if not self.active():
                self.clock.sleep_ms(RETRY_PAUSE_MS)
                continue
            self.step()

    def step(self) -> None:
        """Wait for the next change, or for one waiting read to end."""
        if self.watchers is not None and self._copy_from(self.watchers):
            self.clock.sleep_ms(COPY_PAUSE_MS)
            return
        changes = self.followed.changes
        started_ms = self.clock.now_ms()
        if not self.followed.refresh(self.wait_ms):
            self._note(False)
            self.clock.sleep_ms(RETRY_PAUSE_MS)
            return
        self._note(True)
        self.current_ms = self.clock.now_ms()
        if self.followed.changes != changes:
            self._changed()
        if self.clock.now_ms() - started_ms < BURST_PAUSE_MS:
            self.clock.sleep_ms(BURST_PAUSE_MS)

    def _copy_from(self, watchers: Watchers) -> bool:
        """Take over a watcher's copy; returns whether there was a recent one."""
        copy = watchers.fetch(self.followed.prefix, self.followed.revision)
        if copy is None:
            return False
        self._note(True)
        self.current_ms = self.clock.now_ms() - copy.age_ms
        self.followed.replace(copy.objects, copy.revision)
        if copy.objects is not None:
            self._changed()
        return True

    def _changed(self) -> None:
        self.changed_revision = self.followed.revision
        self.changed(self.followed.objects, self.followed.revision)
        self.news.set()
        self.news = Event()

    def copy(self, since: int, wait_ms: int) -> Copy | None:
        """Return what is newer than a revision, after a wait if there is nothing yet."""
        if self.changed_revision <= since and self.current_ms is not None:
            self.news.wait(wait_ms / MS_PER_SECOND)
        if self.current_ms is None:
            return None
        objects = self.followed.objects if self.changed_revision > since else None
        age_ms = self.clock.now_ms() - self.current_ms
        return Copy(revision=self.followed.revision, age_ms=age_ms, objects=objects)

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
