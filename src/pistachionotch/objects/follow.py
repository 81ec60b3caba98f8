"""Copies of the objects under a prefix, kept current with little traffic."""

from __future__ import annotations

import attrs
from returns.result import Failure

from ..clock import Clock, SystemClock
from .api import ObjectStore, StoredObject, WatchExpired


@attrs.define
class FollowedPrefix:
    """Keep a copy that each refresh brings up to date; only changes are transferred."""

    store: ObjectStore
    prefix: str
    objects: dict[str, StoredObject] = attrs.field(factory=dict)
    revision: int = -1
    # Counts the refreshes that changed the copy.
    changes: int = 0
    # Why the last refresh failed.
    error: str = ""
    # Entries of other writers may lapse while the store is out, and come back soon after it. What
    # is missing then stays for this time after the store's return; 0 drops it at once.
    lapse_ms: int = 0
    clock: Clock = attrs.field(factory=SystemClock)
    lost: bool = False
    hold_until_ms: int = 0
    held: dict[str, StoredObject] = attrs.field(factory=dict)

    def refresh(self, wait_ms: int = 0) -> bool:
        """Bring the copy up to date with one read; False if the store did not answer.

        The read waits up to ``wait_ms`` for a change if there is none yet.
        """
        done = self._refresh(wait_ms)
        if not done:
            self.lost = True
            return False
        if self.held and self.clock.now_ms() >= self.hold_until_ms:
            self.changes += 1
            for key in self.held:
                self.objects.pop(key, None)
            self.held = {}
        return True

    def _refresh(self, wait_ms: int) -> bool:
        if self.revision < 0:
            return self._list()
        batch = self.store.watch(self.prefix, self.revision, wait_ms)
        if isinstance(batch, Failure):
            if isinstance(batch.failure(), WatchExpired):
                return self._list()
            self.error = str(batch.failure())
            return False
        self._note_return()
        if batch.unwrap().changes:
            self.changes += 1
        for change in batch.unwrap().changes:
            if change.value is None:
                self._remove(change.key)
                continue
            self.held.pop(change.key, None)
            self.objects[change.key] = StoredObject(change.key, change.version, change.value)
        self.revision = batch.unwrap().revision
        return True

    def _note_return(self) -> None:
        if self.lost:
            self.lost = False
            self.hold_until_ms = self.clock.now_ms() + self.lapse_ms

    def _remove(self, key: str) -> None:
        if key in self.objects and self.clock.now_ms() < self.hold_until_ms:
            self.held[key] = self.objects[key]
            return
        self.held.pop(key, None)
        self.objects.pop(key, None)

    def replace(self, objects: dict[str, StoredObject] | None, revision: int) -> None:
        """Take over a copy from elsewhere that is at least as recent; None keeps the objects."""
        if objects is not None:
            self.changes += 1
            self.objects = objects
        self.revision = revision
        # The writer of the copy has held back what lapsed, if anything did.
        self.held = {}
        self.lost = False

    def _list(self) -> bool:
        snapshot = self.store.snapshot(self.prefix)
        if isinstance(snapshot, Failure):
            self.error = str(snapshot.failure())
            return False
        self._note_return()
        self.changes += 1
        listed = {stored.key: stored for stored in snapshot.unwrap().objects}
        for key in list(self.objects.keys() - listed.keys()):
            self._remove(key)
        for key in listed:
            self.held.pop(key, None)
        self.objects = {**self.held, **listed}
        self.revision = snapshot.unwrap().revision
        return True
