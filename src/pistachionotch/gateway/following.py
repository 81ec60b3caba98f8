"""Local copies of object API listings, kept current by long polling."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import Any

import attrs
from gevent.event import Event

from ..clock import MS_PER_SECOND, Clock
from ..objects.api import StoredObject
from ..objects.cache import ObjectCache
from .listing_age import ListingAge
from .sharing import ChangeLog, ListingCopy, Watchers, apply_delta

# Long-poll time for shared listings. It limits the delay by a dead connection to what the platform
# allows until a change takes effect, and keeps the copies for other gateways recent enough.
WATCH_WAIT_MS = 1_000
# Long-poll time for listings that only this gateway needs.
LONG_WAIT_MS = 3_000
# Pause between two copies from a watcher, to coalesce bursts of changes.
COPY_PAUSE_MS = 100
# Pause between two reads, to coalesce bursts of changes.
BURST_PAUSE_MS = 400
# Pause between two reads of the object API by a gateway that is not a watcher. Together with a long
# poll it stays below the 2.5 s that the platform allows until a change takes effect.
DIRECT_PAUSE_MS = 1_000
# Pause after a rejected or failed call; it doubles with each further failure up to the maximum. In
# an outage all gateways retry, and each call has a cost. The platform expects a node to act on
# changes within 4 s of an outage's end.
RETRY_PAUSE_MS = 500
MAX_RETRY_PAUSE_MS = 2_000


@attrs.define
class Follower:
    """Task that keeps a copy of one prefix current and calls ``changed`` after each change."""

    object_cache: ObjectCache
    clock: Clock
    changed: Callable[[dict[str, StoredObject], int], None]
    log: Any
    connected: bool = False
    # Time at which the copy was last known to be current.
    current_ms: int | None = None
    active: Callable[[], bool] = lambda: True
    wait_ms: int = WATCH_WAIT_MS
    # Minimum time between two reads, to coalesce bursts of changes.
    pause_ms: int = BURST_PAUSE_MS
    # Consecutive failed reads.
    failures: int = 0
    # Source of copies from other gateways; None if this prefix is not shared.
    watchers: Watchers | None = None
    # Last published state, its changes for gateways that copy from this one, and the event that
    # wakes up their requests.
    shared: dict[str, StoredObject] = attrs.field(factory=dict)
    change_log: ChangeLog = attrs.field(factory=lambda: ChangeLog(secrets.token_hex(4)))
    change_event: Event = attrs.field(factory=Event)
    # Told of each read; after a pause, the next read does not wait for a change.
    age: ListingAge | None = None
    # Like ``age``, but only for the date of the copy: reads wait for a change as always.
    pauses: ListingAge | None = None

    def run(self) -> None:
        """Keep the copy current forever."""
        while True:
            if not self.active():
                self.clock.sleep_ms(RETRY_PAUSE_MS)
                continue
            self.step()

    def step(self) -> None:
        """Run one long poll, or fetch one copy from a watcher."""
        started_ms = self.clock.now_ms()
        # After a failure a read asks for an answer at once, which shortens its time-out too.
        waits = not self.failures and (self.age is None or self.age.current())
        if self.watchers is not None and self._copy_from(self.watchers, waits, started_ms):
            self._record_read(started_ms)
            self.clock.sleep_ms(COPY_PAUSE_MS)
            return
        changes = self.object_cache.change_count
        started_ms = self.clock.now_ms()
        refreshed = self.object_cache.refresh(self.wait_ms if waits else 0)
        self._record_read(started_ms)
        if not refreshed:
            self._set_connected(False)
            pause_ms = min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS << min(self.failures, 8))
            took_ms = self.clock.now_ms() - started_ms
            self.clock.sleep_ms(max(RETRY_PAUSE_MS, pause_ms - took_ms))
            self.failures += 1
            return
        self.failures = 0
        self._set_connected(True)
        self.current_ms = self._date_of(started_ms)
        if self.object_cache.change_count != changes:
            self._changed()
        pause_ms = self.pause_ms
        if self.watchers is not None and not self.watchers.watching():
            # The watchers are unreachable or late. Until they are replaced, many gateways read the
            # object API directly, so they do so less often.
            pause_ms = max(pause_ms, DIRECT_PAUSE_MS)
        if self.clock.now_ms() - started_ms < pause_ms:
            self.clock.sleep_ms(pause_ms)

    def _record_read(self, started_ms: int) -> None:
        if self.age is not None:
            self.age.record_read(started_ms)

    def _date_of(self, started_ms: int) -> int:
        """Return as of when an answer is current whose request was sent at ``started_ms``."""
        # The answer may have waited here while this process was paused.
        age = self.age or self.pauses
        if age is not None and age.paused_since(started_ms):
            return started_ms
        return self.clock.now_ms()

    def _copy_from(self, watchers: Watchers, waits: bool, started_ms: int) -> bool:
        """Apply a watcher's copy; returns whether a recent one was available."""
        copy = watchers.fetch(self.object_cache.prefix, self.object_cache.revision, waits)
        if copy is None:
            return False
        self.failures = 0
        self._set_connected(True)
        self.current_ms = self._date_of(started_ms) - copy.age_ms
        if not (copy.is_snapshot or copy.objects):
            self.object_cache.replace(None, copy.revision)
            return True
        base = {} if copy.is_snapshot else self.object_cache.objects
        self.object_cache.replace(apply_delta(base, copy.objects), copy.revision)
        self._changed()
        return True

    def _changed(self) -> None:
        # The watch changes its objects in place, so the last published state is a separate copy.
        self.change_log.add(self.shared, self.object_cache.objects)
        self.shared = dict(self.object_cache.objects)
        self.changed(self.object_cache.objects, self.object_cache.revision)
        self.wake()

    def wake(self) -> None:
        """Answer the waiting requests for copies now, although nothing has changed."""
        self.change_event.set()
        self.change_event = Event()

    def copy(self, token: str, wait_ms: int) -> ListingCopy | None:
        """Return the changes since a state; waits if there are none yet."""
        if token == self.change_log.token and self.current_ms is not None:
            self.change_event.wait(wait_ms / MS_PER_SECOND)
        if self.current_ms is None:
            return None
        delta = self.change_log.since(token)
        is_snapshot = delta is None
        return ListingCopy(
            revision=self.object_cache.revision,
            age_ms=self.clock.now_ms() - self.current_ms,
            token=self.change_log.token,
            is_snapshot=is_snapshot,
            objects=dict(self.shared) if delta is None else delta,
        )

    def _set_connected(self, connected: bool) -> None:
        if connected == self.connected:
            return
        self.connected = connected
        name = "regained" if connected else "lost"
        self.log.warning(
            f"object API {name}",
            prefix=self.object_cache.prefix,
            revision=self.object_cache.revision,
            reason="" if connected else self.object_cache.error,
        )
