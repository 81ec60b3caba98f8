"""Values, errors and the protocol of the object API.

Versions are store revisions: they grow over the whole store and never repeat, also not when a key
is deleted and created again. Every conditional write is therefore free of the ABA problem.
"""

from __future__ import annotations

from typing import Protocol

import attrs
from returns.result import Result

MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class StoredObject:
    """Hold one object as it was at ``version``."""

    key: str
    version: int
    value: bytes


@attrs.frozen
class Snapshot:
    """Hold all objects under a prefix and the revision from which to watch for later changes."""

    revision: int
    objects: tuple[StoredObject, ...]


@attrs.frozen
class Change:
    """Describe the latest state of a changed key; ``value`` is None after a delete."""

    key: str
    version: int
    value: bytes | None


@attrs.frozen
class WatchBatch:
    """Carry the changes under a prefix up to ``revision``; empty after a time-out."""

    revision: int
    changes: tuple[Change, ...]


@attrs.frozen
class StoreUnavailable:
    """Report that the store could not be used; the call had no effect."""

    reason: str


@attrs.frozen
class WriteAmbiguous:
    """Report a write without a usable answer; it may have taken effect, or may still do so."""

    reason: str


@attrs.frozen
class VersionConflict:
    """Report a condition that did not hold, with the object as it is now (None when absent).

    ``own_write_ambiguous`` is set only by ``put_with_read_back``: the response to an earlier
    attempt was lost and the object has changed since, so that attempt may have been applied.
    """

    current: StoredObject | None
    own_write_ambiguous: bool = False


@attrs.frozen
class WatchExpired:
    """Report that the store no longer has all changes since the given revision; list again."""

    since: int


@attrs.frozen
class StoreRejected:
    """Report a request that the store will never accept, such as a value that is too large."""

    status: int
    reason: str


StoreError = StoreUnavailable | WriteAmbiguous | VersionConflict | WatchExpired | StoreRejected


class ObjectStore(Protocol):
    """Access versioned objects with conditional updates and prefix watches."""

    def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Return the object, or None when there is none."""

    def list(self, prefix: str) -> Result[tuple[StoredObject, ...], StoreUnavailable]:
        """Return all objects whose keys start with ``prefix``, by key."""

    def snapshot(self, prefix: str) -> Result[Snapshot, StoreUnavailable]:
        """Return what ``list`` returns, with the revision to pass to ``watch``."""

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[StoredObject, StoreError]:
        """Write if the object has ``expected_version``; None means create only."""

    def delete(self, key: str, expected_version: int) -> Result[None, StoreError]:
        """Delete the object if it has ``expected_version``."""

    def watch(self, prefix: str, since: int, timeout_ms: int) -> Result[WatchBatch, StoreError]:
        """Wait until something under ``prefix`` is newer than the revision ``since``."""
