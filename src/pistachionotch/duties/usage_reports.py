"""Decides which windows to fix and which reports to send; performs no I/O.

Load pattern: one report per window of 5 s, due 10 s after its end, while holders are killed, paused
and replaced, and the store and the platform are slow, down or lose answers. No two reports of one
window may differ, so the counts are fixed by a conditional write before the first one is sent.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

import attrs

from ..clock import MS_PER_SECOND, Clock
from .client import DutyAnswer, UsageReport
from .true_time import TrueTime
from .usage_counts import CLOSE_AFTER_MS, Counts, PublishedCounts
from .usage_record import RECORDED_WINDOWS, UsageRecord

# A gateway's counts of a window are complete if published this long after its end; few answers take
# longer.
COMPLETE_AFTER_MS = 500
# Time before a report is due at which its window is closed although counts are missing: for the
# write and a few attempts.
SEND_RESERVE_MS = 4_000
# A window is sent for this long after its end.
SEND_MS = 60_000
FIRST_RETRY_MS = 500
MAX_RETRY_MS = 4_000
# The first window is fixed within this many windows; if counts are older, there was a record.
FIRST_RECORD_WINDOWS = 2
# Share of the platform's rate limit for duties that reports may use.
RATE_SHARE = 0.5
# Rate limit if the settings name none, in calls per second.
DEFAULT_CALLS_PER_S = 2.0


@attrs.define
class Sending:
    """The attempts to report one window."""

    attempts: int = 0
    next_ms: int = 0


@attrs.define
class UsageReports:
    """The reports of one holder."""

    clock: Clock
    time: TrueTime
    window_ms: int
    # Time after the end of a window at which its report is due.
    due_ms: int
    calls_per_s: float = 0.0
    # The stored record with its version, as last read or written; only valid if ``loaded``.
    loaded: bool = False
    record: UsageRecord | None = None
    version: int | None = None
    # The newest record that was ever read or written here, for when the object was deleted.
    former: UsageRecord | None = None
    settled: set[int] = attrs.field(factory=set)
    sendings: dict[int, Sending] = attrs.field(factory=dict)
    next_send_ms: int = 0

    def forget(self) -> None:
        """Forget the stored record, which has to be read before anything else is done."""
        self.loaded = False
        self.record = None
        self.version = None

    def last_fixed(self) -> int:
        """Return the newest window known to be fixed; -1 if none is."""
        return self.former.last_window if self.former is not None else -1

    def adopt(self, record: UsageRecord | None, version: int | None) -> None:
        """Use a record as read or written; None if the object does not exist.

        Fixed windows never become fewer: if the record was deleted, or replaced after that, the
        newest one known here is used.
        """
        self.loaded = True
        if self.former is not None and (
            record is None or record.last_window < self.former.last_window
        ):
            replaced, record = record, self.former
            if replaced is not None and replaced.fence > record.fence:
                record = attrs.evolve(record, fence=replaced.fence, holder=replaced.holder)
        self.former = record
        self.record = record
        self.version = version
        known = record.windows if record is not None else {}
        self.settled = {window for window in self.settled if window in known}
        if record is not None:
            self.settled |= record.settled
        self.sendings = {window: each for window, each in self.sendings.items() if window in known}

    def continue_without_record(self, published: Collection[PublishedCounts]) -> bool:
        """Continue after the windows that others have fixed, if the record was deleted.

        Returns whether earlier windows are skipped because it is unknown which were reported.
        """
        last_fixed = max((each.fixed_window for each in published), default=-1)
        if self.record is not None:
            if last_fixed > self.record.last_window:
                self.adopt(attrs.evolve(self.record, last_window=last_fixed), None)
            return False
        if last_fixed >= 0:
            self.adopt(UsageRecord(last_window=last_fixed), None)
            return False
        oldest = self.time.unix_ms() // self.window_ms - FIRST_RECORD_WINDOWS
        if all(each.first_window >= oldest for each in published):
            return False
        self.adopt_malformed(None)
        return True

    def adopt_malformed(self, version: int | None) -> None:
        """Replace a record that can't be read, without windows that it may have contained."""
        current = self.time.unix_ms() // self.window_ms
        known = self.former or UsageRecord(last_window=current)
        self.adopt(attrs.evolve(known, last_window=max(known.last_window, current)), version)

    def next_window(self, published: Collection[PublishedCounts]) -> int | None:
        """Return the next window to fix, or None if nothing was counted yet."""
        current = self.time.unix_ms() // self.window_ms
        if self.record is not None:
            following = self.record.last_window + 1
        elif published:
            following = min(each.first_window for each in published)
        else:
            return None
        # Older ones are no longer accepted, and their counts no longer published.
        return max(following, current - RECORDED_WINDOWS)

    def is_due(self) -> bool:
        """Return whether a window may have to be closed now, without looking at the counts."""
        if not self.loaded:
            return False
        return self.record is None or self._ended_ago_ms(self.record.last_window + 1) >= (
            CLOSE_AFTER_MS
        )

    def closable_windows(
        self, published: Collection[PublishedCounts], patience_ms: int, missing: bool = False
    ) -> list[int]:
        """Return the windows to fix now.

        A window waits for gateways whose counts are incomplete, unless they have published nothing
        for ``patience_ms``, and at most until the report would be late. ``missing`` tells that
        there are gateways of which nothing is known, as with new watchers.
        """
        window = self.next_window(published)
        found: list[int] = []
        while window is not None and self._may_close(window, published, patience_ms, missing):
            found.append(window)
            window += 1
        return found

    def is_urgent(self, published: Collection[PublishedCounts]) -> bool:
        """Return whether the report of the next window would be late if it isn't fixed now."""
        window = self.next_window(published)
        return window is not None and self._is_urgent(window)

    def _is_urgent(self, window: int) -> bool:
        return self._ended_ago_ms(window) >= self.due_ms - SEND_RESERVE_MS

    def _may_close(
        self,
        window: int,
        published: Collection[PublishedCounts],
        patience_ms: int,
        missing: bool,
    ) -> bool:
        ago_ms = self._ended_ago_ms(window)
        if ago_ms < CLOSE_AFTER_MS:
            return False
        if self._is_urgent(window):
            return True
        if missing:
            return False
        now_ms = self.time.unix_ms()
        complete_ms = now_ms - ago_ms + COMPLETE_AFTER_MS
        return all(
            each.until_ms >= complete_ms or each.until_ms < now_ms - patience_ms
            for each in published
        )

    def _ended_ago_ms(self, window: int) -> int:
        return self.time.unix_ms() - (window + 1) * self.window_ms

    def extended(self, windows: dict[int, Counts], fence: int, holder: str) -> UsageRecord:
        """Return the record that a holder stores, with further windows."""
        record = self.record or UsageRecord(last_window=min(windows) - 1)
        record = record.extended(windows, frozenset(self.settled))
        return attrs.evolve(record, fence=fence, holder=holder)

    def is_claimed(self, fence: int, holder: str) -> bool:
        """Return whether the record states that this holder may act under this fence."""
        record = self.record
        return record is not None and (record.fence, record.holder) == (fence, holder)

    def used_fence(self, fence: int, holder: str) -> int | None:
        """Return the fence that another holder may have used, if this one is not above it."""
        record = self.record
        if record is None or self.is_claimed(fence, holder) or record.fence < fence:
            return None
        return record.fence

    def next_report(self) -> UsageReport | None:
        """Return the report to send now: of windows not overdue first, each in their order."""
        now_ms = self.clock.now_ms()
        if not self.loaded or self.record is None or now_ms < self.next_send_ms:
            return None
        ready = [window for window in self.unsettled() if self._sending(window).next_ms <= now_ms]
        if not ready:
            return None
        window = min(ready, key=lambda each: (self._ended_ago_ms(each) > self.due_ms, each))
        return UsageReport(window, self.record.windows[window])

    def unsettled(self) -> list[int]:
        """Return the fixed windows that are still to be sent, in their order."""
        if self.record is None:
            return []
        return [
            window
            for window in sorted(self.record.windows)
            if window not in self.settled and self._ended_ago_ms(window) < SEND_MS
        ]

    def expire(self) -> list[int]:
        """Give up the windows that were sent for too long; returns them."""
        if self.record is None:
            return []
        given_up = [
            window
            for window in sorted(self.record.windows)
            if window not in self.settled and self._ended_ago_ms(window) >= SEND_MS
        ]
        self.settled.update(given_up)
        return given_up

    def begin(self, window: int) -> int:
        """Record that a report is being sent; returns the number of attempts including this one."""
        calls_per_s = self.calls_per_s or DEFAULT_CALLS_PER_S
        self.next_send_ms = self.clock.now_ms() + round(MS_PER_SECOND / (calls_per_s * RATE_SHARE))
        sending = self._sending(window)
        sending.attempts += 1
        return sending.attempts

    def answered(self, window: int, answer: DutyAnswer) -> None:
        """Record the answer to a report."""
        if answer in (DutyAnswer.DONE, DutyAnswer.REFUSED):
            self.settled.add(window)
            return
        sending = self._sending(window)
        pause_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS << min(sending.attempts - 1, 8))
        sending.next_ms = self.clock.now_ms() + pause_ms

    def _sending(self, window: int) -> Sending:
        return self.sendings.setdefault(window, Sending())


def add_counts(totals: dict[int, Counts], published: PublishedCounts) -> None:
    """Add the counts of one process to those of some windows.

    Raises one of ``MALFORMED`` if any of them is malformed; then nothing was added.
    """
    added = {window: published.counts(window) for window in totals}
    for window, counts in added.items():
        total = totals[window]
        for account, number in counts.items():
            total[account] = total.get(account, 0) + number


def lagging(published: Mapping[str, PublishedCounts], window: int, window_ms: int) -> list[str]:
    """Return the gateways whose published counts of a window are incomplete."""
    complete_ms = (window + 1) * window_ms + COMPLETE_AFTER_MS
    return sorted(node for node, each in published.items() if each.until_ms < complete_ms)
