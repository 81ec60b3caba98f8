"""Which process runs a batch, as far as this process knows without the object API."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ..clock import Clock
from ..config.spec import Address
from .model import Owner
from .peers import PeerClient


@attrs.define
class CachedOwner:
    """Remember who owns a batch that runs elsewhere."""

    owner: Owner
    learned_ms: int
    unreachable_since_ms: int | None = None


@attrs.define
class OwnerCache:
    """Remember the owners of batches, and exchange them with the guides.

    What is known here are hints; only a batch's log says for certain who owns it.
    """

    clock: Clock
    local_owner: Owner
    peers: PeerClient
    # Gateways that are told and asked who owns a batch, before the object API.
    directory_gateways: Callable[[], list[Address]]
    entries: dict[str, CachedOwner] = attrs.field(factory=dict)

    def remember(self, batch: str, owner: Owner) -> CachedOwner:
        """Remember the owner of a batch."""
        cached = CachedOwner(owner, self.clock.now_ms())
        self.entries[batch] = cached
        return cached

    def announce(self, batch: str) -> None:
        """Tell the guides that this process answers for a batch."""
        for gateway in self.directory_gateways():
            self.peers.announce(gateway, batch, self.local_owner)

    def look_up(self, batch: str) -> Owner | None:
        """Return the owner of a batch as a guide knows it."""
        for gateway in self.directory_gateways():
            owner = self.peers.owner_of(gateway, batch)
            if owner is not None:
                return owner
        return None

    def replaced(self, batch: str, lost: Owner) -> bool:
        """Return whether a guide knows a new owner in place of a lost one, and remember it."""
        owner = self.look_up(batch)
        if owner is None or owner in (lost, self.local_owner):
            return False
        self.remember(batch, owner)
        return True

    def evict_expired(self, retention_ms: int) -> list[str]:
        """Drop what was learned longer ago; returns the batches."""
        now_ms = self.clock.now_ms()
        old = [
            batch
            for batch, cached in self.entries.items()
            if now_ms - cached.learned_ms >= retention_ms
        ]
        for batch in old:
            del self.entries[batch]
        return old
