"""Which process runs a batch, as far as this process knows without the object API."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ..clock import Clock
from ..config.spec import Address
from .model import Owner
from .peers import PeerClient


@attrs.define
class Place:
    """Remember who owns a batch that runs elsewhere."""

    owner: Owner
    learned_ms: int
    unreachable_since_ms: int | None = None


@attrs.define
class Places:
    """Remember the owners of batches, and exchange them with the guides.

    What is known here are hints; only a batch's log says for certain who owns it.
    """

    clock: Clock
    me: Owner
    peers: PeerClient
    # Gateways that are told and asked who owns a batch, before the object API.
    guides: Callable[[], list[Address]]
    known: dict[str, Place] = attrs.field(factory=dict)

    def note(self, batch: str, owner: Owner) -> Place:
        """Remember the owner of a batch."""
        place = Place(owner, self.clock.now_ms())
        self.known[batch] = place
        return place

    def announce(self, batch: str) -> None:
        """Tell the guides that this process answers for a batch."""
        for guide in self.guides():
            self.peers.announce(guide, batch, self.me)

    def ask_guides(self, batch: str) -> Owner | None:
        """Return the owner of a batch as a guide knows it."""
        for guide in self.guides():
            owner = self.peers.owner_of(guide, batch)
            if owner is not None:
                return owner
        return None

    def replaced(self, batch: str, lost: Owner) -> bool:
        """Return whether a guide knows a new owner in place of a lost one, and remember it."""
        owner = self.ask_guides(batch)
        if owner is None or owner in (lost, self.me):
            return False
        self.note(batch, owner)
        return True

    def forget(self, retention_ms: int) -> list[str]:
        """Drop what was learned longer ago; returns the batches."""
        now_ms = self.clock.now_ms()
        old = [
            batch
            for batch, place in self.known.items()
            if now_ms - place.learned_ms >= retention_ms
        ]
        for batch in old:
            del self.known[batch]
        return old
