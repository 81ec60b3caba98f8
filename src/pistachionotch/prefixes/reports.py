"""Rate-limited reports of an agent's cache view to its entries."""

from __future__ import annotations

from collections.abc import Hashable

import attrs

from ..clock import MS_PER_SECOND
from .cache_estimate import CacheChange, CacheReport
from .view import CacheView

# Limit of one agent for all entries together. With 80 agents per entry and 24 entries per agent, an
# entry receives 0.4 KB/s, which fits in its budget of 14 KB/s for control messages.
BYTES_PER_SECOND = 120
BURST_BYTES = 1000
# Limits a single report, so that one entry does not use up the budget that all entries share.
MAX_REPORT_BYTES = 256
# Upper bounds of the CBOR size: a key of 8 bytes and two integers of up to 32 bits, with heads.
REPORT_HEAD_BYTES = 8
CHANGE_BYTES = 20


@attrs.define
class _SentState:
    """The view epoch and the number of the last change that were reported to an entry."""

    epoch: int = -1
    change_number: int = 0


@attrs.define
class CacheReporter:
    """Reports to each entry what has changed since its last report.

    If the limit does not allow all changes, only the latest are sent and the others are dropped: an
    entry that does not know of a cached prefix only loses time.
    """

    view: CacheView = attrs.field(factory=CacheView)
    sent: dict[Hashable, _SentState] = attrs.field(factory=dict)
    budget_bytes: float = BURST_BYTES
    refilled_ms: int | None = None

    def next_report(self, entry: Hashable, now_ms: int) -> CacheReport | None:
        """Return the report that is due to ``entry``; None if it has no changes or no budget."""
        self._refill(now_ms)
        sent = self.sent.setdefault(entry, _SentState())
        reset = sent.epoch != self.view.epoch
        since = 0 if reset else sent.change_number
        if not reset and self.view.change_number == since:
            return None
        available_bytes = min(MAX_REPORT_BYTES, self.budget_bytes) - REPORT_HEAD_BYTES
        count = int(available_bytes // CHANGE_BYTES)
        if count < 1:
            return None
        changes = self._changes(since, count, now_ms)
        self.budget_bytes -= REPORT_HEAD_BYTES + CHANGE_BYTES * len(changes)
        sent.epoch, sent.change_number = self.view.epoch, self.view.change_number
        return CacheReport(reset, changes)

    def forget(self, entry: Hashable) -> None:
        """Remove an entry that has disconnected."""
        self.sent.pop(entry, None)

    def _changes(self, since: int, count: int, now_ms: int) -> tuple[CacheChange, ...]:
        latest: list[CacheChange] = []
        for prefix, change in reversed(self.view.changes.items()):
            if change.change_number <= since or len(latest) == count:
                break
            latest.append(CacheChange(prefix, change.tokens, now_ms - change.observed_ms))
        return tuple(reversed(latest))

    def _refill(self, now_ms: int) -> None:
        if self.refilled_ms is not None:
            gained = (now_ms - self.refilled_ms) * BYTES_PER_SECOND / MS_PER_SECOND
            self.budget_bytes = min(BURST_BYTES, self.budget_bytes + gained)
        self.refilled_ms = now_ms
