"""Counts of the requests that upstreams began to run, by account and window; performs no I/O.

Load pattern: thousands of accounts with a skewed load, upstreams that queue requests, lose
answers, close connections and are silent, and callers that leave. What counts is when an upstream
began to run a request, which can only be inferred: from the time of its answer and the shortest
answers of the same service.
"""

from __future__ import annotations

import zlib
from collections import Counter, deque
from typing import Any

import attrs
import cbor2

from ..clock import Clock
from ..malformed import load_cbor
from .true_time import TrueTime

# Windows that are published; older counts are dropped.
KEPT_WINDOWS = 24
# Time after the end of a window before which it is not closed: gateways publish within this time.
CLOSE_AFTER_MS = 2_500
# The shortest answer of a service is that of the last this many ms, in parts of equal length.
RECENT_MS = 30_000
RECENT_PARTS = 6
# An answer that took more than this many times the shortest one, and this much longer, waited in
# the upstream's queue.
WAITED_FACTOR = 3.0
WAITED_MIN_MS = 200
# If a kept connection is closed sooner than this, or than half of the shortest answer, the upstream
# had closed it before it read the request.
MIN_RUN_MS = 30
COMPRESSION_LEVEL = 1
# Counts of one window with 10,000 accounts take 0.2 MB.
MAX_UNPACKED_BYTES = 1024 * 1024
# Limits of a published value. A correction of the time may leave windows ahead of the present one.
MAX_PACKED_BYTES = 8 * 1024 * 1024
MAX_PUBLISHED_WINDOWS = 2 * KEPT_WINDOWS

# Starts that are kept until the time was compared, to count them again if it was wrong.
MAX_EARLY_STARTS = 20_000

Counts = dict[str, int]


@attrs.frozen
class AnswerKind:
    """Answers whose times can be compared: a stream's head comes long before a whole answer."""

    stream: bool = False
    resumed: bool = False


@attrs.define
class RecentAnswers:
    """The shortest and longest recent response time of each service and kind of answer, in ms."""

    # Part of the recent time, shortest and longest, by service and kind, the newest last.
    parts: dict[str, dict[AnswerKind, deque[tuple[int, int, int]]]] = attrs.field(factory=dict)

    def record(self, service: str, kind: AnswerKind, took_ms: int, now_ms: int) -> None:
        """Record the time of an answer."""
        part = now_ms // (RECENT_MS // RECENT_PARTS)
        kinds = self.parts.setdefault(service, {})
        found = kinds.setdefault(kind, deque(maxlen=RECENT_PARTS))
        if found and found[-1][0] == part:
            _part, shortest, longest = found[-1]
            found[-1] = (part, min(took_ms, shortest), max(took_ms, longest))
        else:
            found.append((part, took_ms, took_ms))

    def shortest(self, service: str, now_ms: int, kind: AnswerKind | None = None) -> int | None:
        """Return the shortest recent answer, of any kind if None is given; None without any."""
        found = self._recent(service, now_ms, kind)
        return min((shortest for shortest, _longest in found), default=None)

    def longest(self, service: str, now_ms: int) -> int | None:
        """Return the longest recent answer of any kind, or None without any."""
        return max((longest for _, longest in self._recent(service, now_ms, None)), default=None)

    def _recent(self, service: str, now_ms: int, kind: AnswerKind | None) -> list[tuple[int, int]]:
        oldest = now_ms // (RECENT_MS // RECENT_PARTS) - RECENT_PARTS
        return [
            (shortest, longest)
            for each, parts in self.parts.get(service, {}).items()
            for part, shortest, longest in parts
            if part > oldest and kind in (None, each)
        ]


@attrs.define
class UsageCounts:
    """The counts of one gateway process."""

    clock: Clock
    time: TrueTime
    window_ms: int
    windows: dict[int, Counts] = attrs.field(factory=dict)
    # Packed counts by window, until they change.
    packed: dict[int, bytes] = attrs.field(factory=dict)
    # Window in which this process began to count, and that time of the clock.
    first_window: int = attrs.field(init=False)
    first_ms: int = attrs.field(init=False)
    # Account, time and window of what was counted before the time was compared.
    early: list[tuple[str, int, int]] = attrs.field(factory=list)
    # Counts by window that were added when it may have been closed already.
    late: Counter[int] = attrs.field(factory=Counter)
    answers: RecentAnswers = attrs.field(factory=RecentAnswers)

    def __attrs_post_init__(self) -> None:
        self.first_ms = self.clock.now_ms()
        self.first_window = self._window(self.first_ms)

    def answered(
        self, account: str, service: str, sent_ms: int, kind: AnswerKind, success: bool
    ) -> None:
        """Count a request whose answer has begun now; it was sent at ``sent_ms``.

        Errors don't tell how long a run takes: many are answered at once.
        """
        now_ms = self.clock.now_ms()
        took_ms = now_ms - sent_ms
        if success:
            self.answers.record(service, kind, took_ms, now_ms)
        shortest_ms = self.answers.shortest(service, now_ms, kind)
        started_ms = sent_ms
        if shortest_ms is not None and took_ms > _longest_without_wait(shortest_ms):
            started_ms = now_ms - shortest_ms
        self._count(account, started_ms)

    def closed(self, account: str, service: str, sent_ms: int, kept: bool) -> None:
        """Count a request whose connection the upstream closed without an answer.

        ``kept`` tells that the connection had carried other requests: the upstream may have closed
        it as idle just before.
        """
        now_ms = self.clock.now_ms()
        shortest_ms = self.answers.shortest(service, now_ms) or 0
        if kept and now_ms - sent_ms < max(MIN_RUN_MS, shortest_ms // 2):
            return
        self._count(account, sent_ms)

    def abandoned(self, account: str, service: str, sent_ms: int) -> None:
        """Count a request whose caller left before its answer.

        An upstream that should have answered already counts as silent, as at a time-out. It should
        have after the longest recent answer; of a few short ones, that would be too soon.
        """
        now_ms = self.clock.now_ms()
        shortest_ms = self.answers.shortest(service, now_ms)
        longest_ms = self.answers.longest(service, now_ms)
        if shortest_ms is None or longest_ms is None:
            self._count(account, sent_ms)
            return
        if now_ms - sent_ms <= max(longest_ms, _longest_without_wait(shortest_ms)):
            self._count(account, sent_ms)

    def observer(self, account: str, service: str) -> AccountRuns:
        """Return what is told of the runs of one call."""
        return AccountRuns(self, account, service)

    def _count(self, account: str, started_ms: int) -> None:
        window = self._window(started_ms)
        self._add(account, window, 1)
        if self.time.unix_ms() >= (window + 1) * self.window_ms + CLOSE_AFTER_MS:
            self.late[window] += 1
        if self.time.compared:
            self.early.clear()
        elif len(self.early) < MAX_EARLY_STARTS:
            self.early.append((account, started_ms, window))

    def take_late(self) -> dict[int, int]:
        """Return the counts since the last call that their window's report may lack, by window."""
        late, self.late = self.late, Counter()
        return dict(late)

    def _window(self, at_ms: int) -> int:
        return self.time.at_ms(at_ms) // self.window_ms

    def _add(self, account: str, window: int, number: int) -> None:
        self.packed.pop(window, None)
        counts = self.windows.setdefault(window, {})
        counts[account] = counts.get(account, 0) + number
        if not counts[account]:
            del counts[account]

    def correct(self) -> None:
        """Count again by the corrected time what was counted before the first comparison."""
        self.first_window = self._window(self.first_ms)
        for account, started_ms, window in self.early:
            # After a long time without a comparison, the window may be gone already.
            if account not in self.windows.get(window, {}):
                continue
            self._add(account, window, -1)
            self._add(account, self._window(started_ms), 1)
        self.early.clear()

    def published(self, fixed_window: int = -1) -> list[Any]:
        """Return the counts of the last windows: first window, time, packed counts, last fixed one.

        ``fixed_window`` is the newest window that is known here to be fixed; -1 if none is.
        """
        now_ms = self.time.unix_ms()
        oldest = now_ms // self.window_ms - KEPT_WINDOWS
        self.windows = {
            window: each for window, each in self.windows.items() if each and window > oldest
        }
        # A correction of the time may put earlier counts before the first window.
        first = min(self.first_window, *self.windows) if self.windows else self.first_window
        self.packed = {
            window: self.packed.get(window) or pack_counts(counts)
            for window, counts in self.windows.items()
        }
        return [first, now_ms, dict(self.packed), fixed_window]


@attrs.frozen
class AccountRuns:
    """Counts the runs of one call of an account."""

    counts: UsageCounts
    account: str
    service: str

    def answered(
        self, sent_ms: int, *, success: bool = True, stream: bool = False, resumed: bool = False
    ) -> None:
        """Count a run whose answer has begun now."""
        kind = AnswerKind(stream, resumed)
        self.counts.answered(self.account, self.service, sent_ms, kind, success)

    def closed(self, sent_ms: int, kept: bool) -> None:
        """Count a run whose connection was closed without an answer."""
        self.counts.closed(self.account, self.service, sent_ms, kept)

    def abandoned(self, sent_ms: int) -> None:
        """Count a run whose caller left before its answer."""
        self.counts.abandoned(self.account, self.service, sent_ms)


def _longest_without_wait(shortest_ms: int) -> float:
    return shortest_ms * WAITED_FACTOR + WAITED_MIN_MS


@attrs.define
class PublishedCounts:
    """The counts that one process has published; they are unpacked when they are needed."""

    first_window: int
    # Time since the start of 1970 up to which they are complete.
    until_ms: int
    # Packed counts by window.
    packed: dict[int, bytes] = attrs.field(factory=dict)
    # The newest window that this process knows to be fixed; -1 if it knows none.
    fixed_window: int = -1

    def counts(self, window: int) -> Counts:
        """Return the counts of one window; raises one of ``MALFORMED``."""
        packed = self.packed.get(window)
        return unpack_counts(packed) if packed is not None else {}


def pack_counts(counts: Counts) -> bytes:
    """Return the counts of one window in compressed form.

    At 330 gateways, the unpacked values of a watcher would take more memory than some VMs have.
    """
    return zlib.compress(cbor2.dumps(counts), COMPRESSION_LEVEL)


def unpack_counts(packed: bytes) -> Counts:
    """Decode the counts of one window; raises one of ``MALFORMED``."""
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"malformed counts: {error}") from error
    if not inflater.eof:
        raise ValueError("the counts are incomplete or too large")
    counts: Counts = load_cbor(text)
    for account, number in counts.items():
        if not isinstance(account, str) or not isinstance(number, int) or number < 0:
            raise TypeError("a count that is none")
    return counts


def check_published(value: Any) -> None:
    """Raise one of ``MALFORMED`` if a published value is malformed, except for packed counts.

    Those of 10,000 accounts take 69 ms to decode, and a message may have 330 such values.
    """
    first, until_ms, packed, fixed = value
    if not all(isinstance(number, int) for number in (first, until_ms, fixed, *packed)):
        raise TypeError("a window or time that is no number")
    if not all(isinstance(each, bytes) for each in packed.values()):
        raise TypeError("counts that are not packed")
    if len(packed) > MAX_PUBLISHED_WINDOWS or sum(map(len, packed.values())) > MAX_PACKED_BYTES:
        raise ValueError("too many counts")
