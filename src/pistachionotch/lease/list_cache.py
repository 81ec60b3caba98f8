"""Cache of the list of all leases, shared by the waiting duties of one process."""

from __future__ import annotations

import attrs
from gevent.lock import BoundedSemaphore
from returns.result import Failure, Result, Success

from ..clock import Clock
from ..objects.api import ObjectStore, StoredObject, StoreUnavailable

LEASES_PREFIX = "leases/"
# All waiting duties share one list call in this time, so that 330 entries make at most 220 calls a
# second. Reading each of 36 leases separately would make 5,900.
MAX_AGE_MS = 1500


@attrs.define
class LeaseListCache:
    """Cache that answers reads of leases from a list that is at most ``max_age_ms`` old.

    An outdated list is safe only for a process that waits for the lease. Such a process counts the
    time to live from when it first saw a version, which an outdated list only delays, and its
    write is conditional on that version.
    """

    store: ObjectStore
    clock: Clock
    max_age_ms: int = MAX_AGE_MS
    objects: dict[str, StoredObject] = attrs.field(factory=dict)
    listed_ms: int | None = None
    # Keys of the leases that this process holds.
    held_keys: set[str] = attrs.field(factory=set)
    list_lock: BoundedSemaphore = attrs.field(factory=BoundedSemaphore)

    def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Return a lease, or None when there was none."""
        # The duties run as separate greenlets; those that call during a list call wait for it.
        with self.list_lock:
            if self._is_fresh():
                return Success(self.objects.get(key))
            started_ms = self.clock.now_ms()
            listed = self.store.list(LEASES_PREFIX)
            if isinstance(listed, Failure):
                return listed
            self.objects = {stored.key: stored for stored in listed.unwrap()}
            self.listed_ms = started_ms
            return Success(self.objects.get(key))

    def _is_fresh(self) -> bool:
        return self.listed_ms is not None and self.clock.now_ms() - self.listed_ms < self.max_age_ms
