"""Reports of an agent's cache view to its entries, within a limit of bytes."""

from __future__ import annotations

from collections.abc import Hashable

import attrs

from ..clock import MS_PER_SECOND
from .cache_estimate import CacheChange, CacheReport
from .view import CacheView

# For one agent, over all entries together. With 80 agents for an entry and 24 entries for an agent
# that is 0.4 KB/s at an entry, which its control budget of 14 KB/s leaves room for.
BYTES_PER_SECOND = 120
BURST_BYTES = 1000
# A single report stays small, so that one entry does not use up what all entries share.
MAX_REPORT_BYTES = 256
# Upper bounds in CBOR: a key of 8 bytes and two integers of up to 32 bits, with their heads.
REPORT_HEAD_BYTES = 8
CHANGE_BYTES = 20


@attrs.define
class _Told:
    """Remember up to where an entry has been told."""

    epoch: int = -1
    number: int = 0


@attrs.define
class CacheReporter:
    """Tell each entry what has changed since its last report.

    Where the limit does not hold all changes, the latest go out and the others are left out: an
    entry that does not know of a cached prefix only loses time.
    """

    view: CacheView = attrs.field(factory=CacheView)
    told: dict[Hashable, _Told] = attrs.field(factory=dict)
    allowed_bytes: float = BURST_BYTES
    refilled_ms: int | None = None

    def next_report(self, entry: Hashable, now_ms: int) -> CacheReport | None:
        """Return the report that is due to ``entry``, none if there is nothing to tell."""
        self._refill(now_ms)
        told = self.told.setdefault(entry, _Told())
        reset = told.epoch != self.view.epoch
        since = 0 if reset else told.number
        if not reset and self.view.number == since:
            return None
        room = min(MAX_REPORT_BYTES, self.allowed_bytes) - REPORT_HEAD_BYTES
        count = int(room // CHANGE_BYTES)
        if count < 1:
            return None
        changes = self._changes(since, count, now_ms)
        self.allowed_bytes -= REPORT_HEAD_BYTES + CHANGE_BYTES * len(changes)
        told.epoch, told.number = self.view.epoch, self.view.number
        return CacheReport(reset, changes)

    def forget(self, entry: Hashable) -> None:
        """Forget an entry that has disconnected."""
        self.told.pop(entry, None)

    def _changes(self, since: int, count: int, now_ms: int) -> tuple[CacheChange, ...]:
        latest: list[CacheChange] = []
        for prefix, change in reversed(self.view.changes.items()):
            if change.number <= since or len(latest) == count:
                break
            latest.append(CacheChange(prefix, change.tokens, now_ms - change.seen_ms))
        return tuple(reversed(latest))

    def _refill(self, now_ms: int) -> None:
        if self.refilled_ms is not None:
            gained = (now_ms - self.refilled_ms) * BYTES_PER_SECOND / MS_PER_SECOND
            self.allowed_bytes = min(BURST_BYTES, self.allowed_bytes + gained)
        self.refilled_ms = now_ms
