"""Copies of the objects under a prefix, kept current with little traffic."""

from __future__ import annotations

import attrs
from returns.result import Failure

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

    def refresh(self, wait_ms: int = 0) -> bool:
        """Bring the copy up to date with one read; False if the store did not answer.

        The read waits up to ``wait_ms`` for a change if there is none yet.
        """
        if self.revision < 0:
            return self._list()
        batch = self.store.watch(self.prefix, self.revision, wait_ms)
        if isinstance(batch, Failure):
            if isinstance(batch.failure(), WatchExpired):
                return self._list()
            self.error = str(batch.failure())
            return False
        if batch.unwrap().changes:
            self.changes += 1
        for change in batch.unwrap().changes:
            if change.value is None:
                self.objects.pop(change.key, None)
                continue
            self.objects[change.key] = StoredObject(change.key, change.version, change.value)
        self.revision = batch.unwrap().revision
        return True

    def replace(self, objects: dict[str, StoredObject] | None, revision: int) -> None:
        """Take over a copy from elsewhere that is at least as recent; None keeps the objects."""
        if objects is not None:
            self.changes += 1
            self.objects = objects
        self.revision = revision

    def _list(self) -> bool:
        snapshot = self.store.snapshot(self.prefix)
        if isinstance(snapshot, Failure):
            self.error = str(snapshot.failure())
            return False
        self.changes += 1
        self.objects = {stored.key: stored for stored in snapshot.unwrap().objects}
        self.revision = snapshot.unwrap().revision
        return True
