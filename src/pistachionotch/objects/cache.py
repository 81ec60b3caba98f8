"""Copies of the objects under a prefix, kept current with little traffic."""

from __future__ import annotations

import attrs
from returns.result import Failure

from ..clock import Clock, SystemClock
from .api import ObjectStore, StoredObject, WatchExpired


@attrs.define
class ObjectCache:
    """Keep a copy that each refresh brings up to date; only changes are transferred."""

    store: ObjectStore
    prefix: str
    objects: dict[str, StoredObject] = attrs.field(factory=dict)
    revision: int = -1
    # Counts the refreshes that changed the copy.
    change_count: int = 0
    # Why the last refresh failed.
    error: str = ""
    # Entries of other writers may lapse while the store is out, and come back soon after it. What
    # is missing then stays for this time after the store's return; 0 drops it at once.
    deletion_grace_ms: int = 0
    clock: Clock = attrs.field(factory=SystemClock)
    store_unreachable: bool = False
    grace_until_ms: int = 0
    retained: dict[str, StoredObject] = attrs.field(factory=dict)
    # When each of them is dropped; a further loss does not put it off.
    drop_at_ms: dict[str, int] = attrs.field(factory=dict)

    def refresh(self, wait_ms: int = 0) -> bool:
        """Bring the copy up to date with one read; False if the store did not answer.

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
            self.objects.pop(key, None)
            self._forget_retained(key)
        return True

    def _forget_retained(self, key: str) -> None:
        self.retained.pop(key, None)
        self.drop_at_ms.pop(key, None)

    def _fetch_changes(self, wait_ms: int) -> bool:
        if self.revision < 0:
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
        self._forget_retained(key)
        self.objects.pop(key, None)

    def replace(self, objects: dict[str, StoredObject] | None, revision: int) -> None:
        """Take over a copy from elsewhere that is at least as recent; None keeps the objects."""
        if objects is not None:
            self.change_count += 1
            self.objects = objects
        self.revision = revision
        # The writer of the copy has held back what lapsed, if anything did.
        self.retained = {}
        self.drop_at_ms = {}
        self.store_unreachable = False

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
        self.revision = snapshot.unwrap().revision
        return True
