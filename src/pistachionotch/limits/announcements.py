"""Rate limits that upstreams announce, merged from what all gateways heard; performs no I/O."""

from __future__ import annotations

from collections.abc import Collection

import attrs

# Ages of statements that pass through other gateways are inaccurate by the time of the transfer.
# Of two statements that are closer together, the stricter one counts.
SIMULTANEOUS_MS = 100
# Time to keep a statement about an upstream that is no longer listed; a stale listing may contain
# it again.
UNLISTED_MEMORY_MS = 120_000


@attrs.frozen
class Announcement:
    """What an upstream stated about its rate limit."""

    # Requests per second from all gateways together; None if it stated no limit.
    per_second: float | None
    # Time of this process's clock.
    stated_ms: int


@attrs.define
class AnnouncementBoard:
    """The newest statement of each upstream, by the incarnation of the upstream.

    ``version`` increases with each change of a limit, so that a gateway can be sent the changes
    since an earlier version.
    """

    announcements: dict[str, Announcement] = attrs.field(factory=dict)
    version: int = 0
    changed_at: dict[str, int] = attrs.field(factory=dict)
    # Time of this process's clock since which an upstream has had a limit.
    limited_since_ms: dict[str, int] = attrs.field(factory=dict)

    def limit(self, upstream: str) -> float | None:
        """Return the limit of an upstream in requests per second, None if there is none."""
        announcement = self.announcements.get(upstream)
        return None if announcement is None else announcement.per_second

    def limited(self) -> dict[str, float]:
        """Return the limits in force by upstream."""
        return {
            upstream: announcement.per_second
            for upstream, announcement in self.announcements.items()
            if announcement.per_second is not None
        }

    def record_response(
        self, upstream: str, per_second: float | None, sent_ms: int, received_ms: int
    ) -> bool:
        """Record what a response stated; returns whether the limit changed.

        A response without a limit is dated at the request: the upstream may have created it
        before it announced a limit in another response that arrived sooner.
        """
        if per_second is None:
            if upstream not in self.announcements:
                return False
            return self.merge(upstream, Announcement(None, sent_ms))
        return self.merge(upstream, Announcement(per_second, received_ms))

    def merge(self, upstream: str, stated: Announcement) -> bool:
        """Apply a statement unless a newer one is known; returns whether the limit changed."""
        known = self.announcements.get(upstream)
        if known is not None and not _supersedes(stated, known):
            return False
        self.announcements[upstream] = stated
        if stated.per_second is None:
            self.limited_since_ms.pop(upstream, None)
        else:
            self.limited_since_ms.setdefault(upstream, stated.stated_ms)
        if (None if known is None else known.per_second) == stated.per_second:
            return False
        self.version += 1
        self.changed_at[upstream] = self.version
        return True

    def since(self, version: int) -> dict[str, Announcement]:
        """Return the statements whose limits changed after ``version``."""
        return {
            upstream: self.announcements[upstream]
            for upstream, changed_at in self.changed_at.items()
            if changed_at > version
        }

    def evict(self, listed: Collection[str], now_ms: int) -> None:
        """Remove old statements about upstreams that are no longer listed."""
        for upstream, announcement in list(self.announcements.items()):
            if upstream in listed or now_ms - announcement.stated_ms < UNLISTED_MEMORY_MS:
                continue
            del self.announcements[upstream]
            self.changed_at.pop(upstream, None)
            self.limited_since_ms.pop(upstream, None)


def _supersedes(stated: Announcement, known: Announcement) -> bool:
    if abs(stated.stated_ms - known.stated_ms) > SIMULTANEOUS_MS:
        return stated.stated_ms > known.stated_ms
    if stated.per_second is None or known.per_second is None:
        return known.per_second is None
    return stated.per_second <= known.per_second
