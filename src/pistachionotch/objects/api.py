"""Value types, error types and the store interface of the object API.

A version is a revision of the whole store. Revisions only increase and are never reused, not even
when a key is deleted and created again, so conditional writes are not subject to the ABA problem.
"""

from __future__ import annotations

from typing import Protocol

import attrs
from returns.result import Result

MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class StoredObject:
    """One object as of ``version``."""

    key: str
    version: int
    value: bytes


@attrs.frozen
class Snapshot:
    """All objects under a prefix, with the revision to watch from for later changes."""

    revision: int
    objects: tuple[StoredObject, ...]


@attrs.frozen
class Change:
    """The latest state of a changed key; ``value`` is None if the object was deleted."""

    key: str
    version: int
    value: bytes | None


@attrs.frozen
class WatchBatch:
    """The changes under a prefix up to ``revision``; empty if the watch timed out."""

    revision: int
    changes: tuple[Change, ...]


@attrs.frozen
class StoreUnavailable:
    """The store could not serve the call; the call had no effect."""

    reason: str


@attrs.frozen
class WriteAmbiguous:
    """A write got no usable response; it may have been applied, or may still be applied."""

    reason: str


@attrs.frozen
class VersionConflict:
    """The condition of a write did not hold; ``current`` is the object now, None if absent.

    ``own_write_ambiguous`` is set only by ``put_with_read_back``: the response to an earlier
    attempt was lost and another writer has changed the object since, so that attempt may have been
    applied in between.
    """

    current: StoredObject | None
    own_write_ambiguous: bool = False


@attrs.frozen
class WatchExpired:
    """The store no longer has all changes since the given revision; the caller must list again."""

    since: int


@attrs.frozen
class StoreRejected:
    """The store will never accept the request, for example because the value is too large."""

    status: int
    reason: str


StoreError = StoreUnavailable | WriteAmbiguous | VersionConflict | WatchExpired | StoreRejected


class ObjectStore(Protocol):
    """Interface of a versioned object store with conditional writes and prefix watches."""

    def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Return the object, or None if it does not exist."""

    def list(self, prefix: str) -> Result[tuple[StoredObject, ...], StoreUnavailable]:
        """Return all objects whose keys start with ``prefix``, sorted by key."""

    def snapshot(self, prefix: str) -> Result[Snapshot, StoreUnavailable]:
        """Return the objects that ``list`` returns and the revision to pass to ``watch``."""

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[StoredObject, StoreError]:
        """Write the object if it has ``expected_version``; None requires that it does not exist."""

    def delete(self, key: str, expected_version: int) -> Result[None, StoreError]:
        """Delete the object if it has ``expected_version``."""

    def watch(self, prefix: str, since: int, timeout_ms: int) -> Result[WatchBatch, StoreError]:
        """Wait for changes under ``prefix`` that are newer than the revision ``since``."""
