"""Cache of the owners of batches, shared between gateways without the object API."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import gevent
from returns.result import Failure

from ..clock import Clock
from ..config.spec import Address
from ..objects.api import ObjectStore
from ..objects.odd_objects import OddObjects
from .log import load_head, odd_batches
from .model import BatchError, BatchErrorKind, Owner, OwnerTerm
from .peers import PeerClient, PeerUnreachable

# Retry-After while the owner of a batch is unknown or an operation on it is uncertain.
UNAVAILABLE_RETRY_MS = 300
# A directory gateway that did not answer is not queried for this time.
AVOID_DIRECTORY_MS = 2_000
# Interval at which missing notifications of the directory gateways are sent again.
ANNOUNCE_INTERVAL_MS = 1_000


@attrs.define
class CachedOwner:
    """Cached owner of a batch that another process runs."""

    found: OwnerTerm
    cached_at_ms: int
    # Hints of terms up to this one are outdated.
    settled_term: int
    unreachable_since_ms: int | None = None

    @property
    def owner(self) -> Owner:
        """Return the owner."""
        return self.found.owner


@attrs.define
class Announcement:
    """An owner that the directory gateways are notified of, and those that have confirmed it."""

    found: OwnerTerm
    made_at_ms: int
    confirmed_by: set[Address] = attrs.field(factory=set)


@attrs.define
class OwnerCache:
    """Cache of the owners of batches, exchanged with the directory gateways.

    The cached owners are hints; only a batch's log is authoritative. Their terms follow from the
    log, so a hint is used only if it is newer than what was read from the log or failed before.
    """

    clock: Clock
    local_owner: Owner
    peers: PeerClient
    # Gateways that are notified of the owners of batches, and queried before the object API.
    directory_gateways: Callable[[], list[Address]]
    entries: dict[str, CachedOwner] = attrs.field(factory=dict)
    # Batches for which this process answers requests, with what others were told of them.
    announcements: dict[str, Announcement] = attrs.field(factory=dict)
    # Directory gateways that did not answer, and until when they are not queried.
    avoided_until_ms: dict[Address, int] = attrs.field(factory=dict)
    odd: OddObjects = attrs.field(factory=odd_batches)

    def learn(self, batch: str, found: OwnerTerm) -> None:
        """Cache the owner that another gateway named if it is newer than the cached one."""
        cached = self.entries.get(batch)
        if cached is None or found.term > cached.settled_term:
            self._replace(batch, found, found.term)

    def record(self, batch: str, found: OwnerTerm) -> CachedOwner:
        """Cache the owner that a batch's log names now; hints up to the cached one are outdated."""
        cached = self.entries.get(batch)
        if cached is not None and cached.found == found:
            return cached
        settled_term = found.term if cached is None else max(found.term, cached.settled_term)
        return self._replace(batch, found, settled_term)

    def _replace(self, batch: str, found: OwnerTerm, settled_term: int) -> CachedOwner:
        cached = CachedOwner(found, self.clock.now_ms(), settled_term)
        self.entries[batch] = cached
        return cached

    def announce(self, batch: str, term: int) -> None:
        """Notify the directory gateways that this process answers requests for a batch."""
        found = OwnerTerm(self.local_owner, term)
        self.announcements[batch] = Announcement(found, self.clock.now_ms())
        self.announce_missing()

    def announce_missing(self) -> None:
        """Notify the directory gateways of what they have not confirmed yet."""
        for gateway in self._other_gateways():
            for batch, announcement in list(self.announcements.items()):
                cached = self.entries.get(batch)
                if cached is not None and cached.found.term > announcement.found.term:
                    # Another process answers for the batch now.
                    self.announcements.pop(batch, None)
                    continue
                if gateway in announcement.confirmed_by:
                    continue
                if not self.peers.announce(gateway, batch, announcement.found):
                    break
                announcement.confirmed_by.add(gateway)

    def correct(self, batch: str, found: OwnerTerm) -> None:
        """Notify the directory gateways of an owner that the log names and they did not know."""
        for gateway in self._other_gateways():
            self.peers.announce(gateway, batch, found)

    def look_up(self, batch: str) -> OwnerTerm | None:
        """Return the latest owner that the directory gateways know, asking all at once."""
        queries = [
            gevent.spawn(self._owner_at, gateway, batch)
            for gateway in self._other_gateways()
            if self.avoided_until_ms.get(gateway, 0) <= self.clock.now_ms()
        ]
        gevent.joinall(queries)
        found = [query.value for query in queries if query.value is not None]
        return max(found, key=lambda each: each.term, default=None)

    def _owner_at(self, gateway: Address, batch: str) -> OwnerTerm | None:
        answer = self.peers.owner_of(gateway, batch)
        if isinstance(answer, PeerUnreachable):
            self.avoided_until_ms[gateway] = self.clock.now_ms() + AVOID_DIRECTORY_MS
        return answer if isinstance(answer, OwnerTerm) else None

    def _other_gateways(self) -> list[Address]:
        return [each for each in self.directory_gateways() if each != self.local_owner.address]

    def find(self, batch: str, store: ObjectStore) -> CachedOwner | BatchError:
        """Return the cached owner of a batch, or the one in a directory gateway or the store."""
        cached = self.entries.get(batch)
        if cached is not None:
            return cached
        found = self.look_up(batch)
        if found is not None:
            self.learn(batch, found)
            return self.entries[batch]
        loaded = load_head(store, batch, self.odd)
        if isinstance(loaded, Failure):
            return BatchError(
                BatchErrorKind.UNAVAILABLE, str(loaded.failure()), UNAVAILABLE_RETRY_MS
            )
        head = loaded.unwrap()
        if head is None:
            return BatchError(BatchErrorKind.NOT_FOUND, "no such batch")
        # A notification may have come while the head was read.
        self.learn(batch, OwnerTerm(head.owner, 0))
        return self.entries[batch]

    def replaced(self, batch: str, lost: CachedOwner) -> bool:
        """Return whether an owner is known that replaced ``lost``, and cache it."""
        found = self.look_up(batch)
        if found is not None:
            self.learn(batch, found)
        return self.entries.get(batch) is not lost

    def evict_expired(self, retention_ms: int) -> list[str]:
        """Remove the entries older than ``retention_ms`` and return their batches."""
        oldest_ms = self.clock.now_ms() - retention_ms
        old = [batch for batch, cached in self.entries.items() if cached.cached_at_ms <= oldest_ms]
        for batch in old:
            del self.entries[batch]
        for batch, announcement in list(self.announcements.items()):
            if announcement.made_at_ms <= oldest_ms:
                self.announcements.pop(batch, None)
        return old
