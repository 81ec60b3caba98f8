"""Cache of the owners of batches, shared between gateways without the object API."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from returns.result import Failure

from ..clock import Clock
from ..config.spec import Address
from ..objects.api import ObjectStore
from ..objects.odd_objects import OddObjects
from .log import load_head, odd_batches
from .model import BatchError, BatchErrorKind, Owner
from .peers import PeerClient

# Retry-After while the owner of a batch is unknown or an operation on it is uncertain.
UNAVAILABLE_RETRY_MS = 300


@attrs.define
class CachedOwner:
    """Cached owner of a batch that another process runs."""

    owner: Owner
    cached_at_ms: int
    unreachable_since_ms: int | None = None


@attrs.define
class OwnerCache:
    """Cache of the owners of batches, exchanged with the directory gateways.

    The cached owners are hints; only a batch's log is authoritative.
    """

    clock: Clock
    local_owner: Owner
    peers: PeerClient
    # Gateways that are notified of the owners of batches, and queried before the object API.
    directory_gateways: Callable[[], list[Address]]
    entries: dict[str, CachedOwner] = attrs.field(factory=dict)
    odd: OddObjects = attrs.field(factory=odd_batches)

    def remember(self, batch: str, owner: Owner) -> CachedOwner:
        """Cache the owner of a batch."""
        cached = CachedOwner(owner, self.clock.now_ms())
        self.entries[batch] = cached
        return cached

    def announce(self, batch: str) -> None:
        """Notify the directory gateways that this process answers requests for a batch."""
        for gateway in self.directory_gateways():
            self.peers.announce(gateway, batch, self.local_owner)

    def look_up(self, batch: str) -> Owner | None:
        """Return the owner of a batch from the first directory gateway that knows it."""
        for gateway in self.directory_gateways():
            owner = self.peers.owner_of(gateway, batch)
            if owner is not None:
                return owner
        return None

    def find(self, batch: str, store: ObjectStore) -> CachedOwner | BatchError:
        """Return the cached owner of a batch, or the one in a directory gateway or the store."""
        cached = self.entries.get(batch)
        if cached is not None:
            return cached
        owner = self.look_up(batch)
        if owner is not None:
            return self.remember(batch, owner)
        loaded = load_head(store, batch, self.odd)
        if isinstance(loaded, Failure):
            return BatchError(
                BatchErrorKind.UNAVAILABLE, str(loaded.failure()), UNAVAILABLE_RETRY_MS
            )
        head = loaded.unwrap()
        if head is None:
            return BatchError(BatchErrorKind.NOT_FOUND, "no such batch")
        return self.remember(batch, head.owner)

    def replaced(self, batch: str, lost: Owner) -> bool:
        """Return whether a directory gateway knows an owner other than ``lost``, and cache it."""
        owner = self.look_up(batch)
        if owner is None or owner in (lost, self.local_owner):
            return False
        self.remember(batch, owner)
        return True

    def evict_expired(self, retention_ms: int) -> list[str]:
        """Remove the entries older than ``retention_ms`` and return their batches."""
        now_ms = self.clock.now_ms()
        old = [
            batch
            for batch, cached in self.entries.items()
            if now_ms - cached.cached_at_ms >= retention_ms
        ]
        for batch in old:
            del self.entries[batch]
        return old
