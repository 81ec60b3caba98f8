"""Types of the object API that the decision packages use.

They have the signatures of ``objects.api``. Once that package is merged, this module re-exports it.
"""

from __future__ import annotations

from typing import Protocol

import attrs
from returns.result import Result


@attrs.frozen
class StoredObject:
    """Hold one object as read; ``version`` is the condition of the next write."""

    key: str
    version: int
    value: bytes


@attrs.frozen
class StoreUnavailable:
    """Report a call that had no effect."""

    reason: str


@attrs.frozen
class WriteAmbiguous:
    """Report a write that may have taken effect."""

    reason: str


@attrs.frozen
class VersionConflict:
    """Report a write whose condition did not hold."""

    current: StoredObject | None


StoreError = StoreUnavailable | WriteAmbiguous | VersionConflict


class ObjectStore(Protocol):
    """Read and write single objects, with conditional writes."""

    def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Return the object, or None if there is none."""

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[StoredObject, StoreError]:
        """Write if the version still is ``expected_version``; None creates only."""
