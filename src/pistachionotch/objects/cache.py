"""Local cache of the objects under a prefix, updated incrementally through watches."""

from __future__ import annotations

import attrs
from returns.result import Failure

from ..clock import Clock, SystemClock
from .api import ObjectStore, StoredObject, WatchExpired

# Dropped objects that are remembered; more are dropped in no time for which copies retain them.
MAX_DROPPED = 4_096


@attrs.define
class ObjectCache:
    """Cache of the objects under a prefix; a refresh usually transfers only the changes."""

    store: ObjectStore
    prefix: str
    objects: dict[str, StoredObject] = attrs.field(factory=dict)
    revision: int = -1
    # Counter that a refresh increments when it changes the cache.
    change_count: int = 0
    # Reason of the most recent failed refresh.
    error: str = ""
    # Objects of other writers may expire during a store outage and be written again soon after it.
    # An object found deleted is kept for this time after the store is reachable again; 0 removes
    # it immediately.
    deletion_grace_ms: int = 0
    clock: Clock = attrs.field(factory=SystemClock)
    store_unreachable: bool = False
    grace_until_ms: int = 0
    retained: dict[str, StoredObject] = attrs.field(factory=dict)
    # When each retained object is dropped; a further outage does not extend the time.
    drop_at_ms: dict[str, int] = attrs.field(factory=dict)
    # Versions of the objects that were dropped last. A copy may contain them, as another process
    # that reached the store later retains them for longer.
    dropped: dict[str, int] = attrs.field(factory=dict)
    # Whether the objects come from another process's copy. It may contain objects that were deleted
    # before its revision and that the other process retains, so changes since then are not enough.
    is_copied: bool = False

    def refresh(self, wait_ms: int = 0) -> bool:
        """Update the cache and return whether the store could be read.

        The read waits up to ``wait_ms`` for a change if there is none yet.
        """
        if self.retained:
            next_drop_ms = min(self.drop_at_ms.values()) - self.clock.now_ms()
            wait_ms = max(0, min(wait_ms, next_drop_ms))
        refreshed = self._fetch_changes(wait_ms)
        if not refreshed:
            self.store_unreachable = True
            return False
        expired = [
            key for key, drop_at_ms in self.drop_at_ms.items() if self.clock.now_ms() >= drop_at_ms
        ]
        if expired:
            self.change_count += 1
        for key in expired:
            self._drop(key)
        return True

    def _drop(self, key: str) -> None:
        self._forget_retained(key)
        stored = self.objects.pop(key, None)
        if stored is None:
            return
        self.dropped.pop(key, None)
        self.dropped[key] = stored.version
        if len(self.dropped) > MAX_DROPPED:
            del self.dropped[next(iter(self.dropped))]

    def _forget_retained(self, key: str) -> None:
        self.retained.pop(key, None)
        self.drop_at_ms.pop(key, None)

    def _fetch_changes(self, wait_ms: int) -> bool:
        if self.revision < 0 or self.is_copied:
            return self._list()
        batch = self.store.watch(self.prefix, self.revision, wait_ms)
        if isinstance(batch, Failure):
            if isinstance(batch.failure(), WatchExpired):
                return self._list()
            self.error = str(batch.failure())
            return False
        self._start_grace_period()
        if batch.unwrap().changes:
            self.change_count += 1
        for change in batch.unwrap().changes:
            if change.value is None:
                self._remove(change.key)
                continue
            self._forget_retained(change.key)
            self.objects[change.key] = StoredObject(change.key, change.version, change.value)
        self.revision = batch.unwrap().revision
        return True

    def _start_grace_period(self) -> None:
        if self.store_unreachable:
            self.store_unreachable = False
            self.grace_until_ms = self.clock.now_ms() + self.deletion_grace_ms

    def _remove(self, key: str) -> None:
        if key in self.objects and self.clock.now_ms() < self.grace_until_ms:
            self.drop_at_ms.setdefault(key, self.grace_until_ms)
            self.retained[key] = self.objects[key]
            return
        self._drop(key)

    def replace(self, objects: dict[str, StoredObject] | None, revision: int) -> None:
        """Replace the contents with an at least equally recent copy; None keeps the objects."""
        if objects is not None:
            self.change_count += 1
            self.objects = {
                key: stored
                for key, stored in objects.items()
                if stored.version > self.dropped.get(key, -1)
            }
            # The process that supplied the copy applied the grace period for deleted objects.
            self.retained = {}
            self.drop_at_ms = {}
            self.is_copied = True
        self.revision = revision
        self._start_grace_period()

    def _list(self) -> bool:
        snapshot = self.store.snapshot(self.prefix)
        if isinstance(snapshot, Failure):
            self.error = str(snapshot.failure())
            return False
        self._start_grace_period()
        self.change_count += 1
        listed = {stored.key: stored for stored in snapshot.unwrap().objects}
        for key in list(self.objects.keys() - listed.keys()):
            self._remove(key)
        for key in listed:
            self._forget_retained(key)
        self.objects = {**self.retained, **listed}
        self.is_copied = False
        self.revision = snapshot.unwrap().revision
        return True
