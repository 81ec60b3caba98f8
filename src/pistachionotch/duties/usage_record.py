"""The stored object that fixes the counts of each window before they are reported."""

from __future__ import annotations

from typing import Any

import attrs

from ..malformed import load_utf8_json
from ..objects.values import canonical_json
from .usage_counts import Counts

# Windows whose counts are kept; a window is sent for at most 60 s.
RECORDED_WINDOWS = 12


@attrs.frozen(kw_only=True)
class UsageRecord:
    """The windows whose counts are fixed."""

    # The newest fixed window, also if its counts are no longer kept.
    last_window: int
    # Fencing token under which the record was written last, and the gateway that did.
    fence: int = 0
    holder: str = ""
    windows: dict[int, Counts] = attrs.field(factory=dict)
    # Windows that needn't be sent again, as far as the writer knew.
    settled: frozenset[int] = frozenset()

    def to_bytes(self, token: str) -> bytes:
        """Return the stored form; ``token`` identifies the write.

        Names are stored once, with a column of counts for each window: 10,000 accounts with a name
        of 10 characters then take 0.6 MB, below the limit of an object.
        """
        names = sorted({name for counts in self.windows.values() for name in counts})
        fields: dict[str, Any] = {
            "last": self.last_window,
            "fence": self.fence,
            "holder": self.holder,
            "accounts": names,
            "windows": {
                str(window): [counts.get(name, 0) for name in names]
                for window, counts in self.windows.items()
            },
            "settled": sorted(self.settled),
            "token": token,
        }
        return canonical_json(fields)

    @classmethod
    def from_bytes(cls, value: bytes) -> UsageRecord:
        """Decode a stored record; raises one of ``MALFORMED``."""
        fields = load_utf8_json(value)
        names = [str(name) for name in fields["accounts"]]
        windows = {}
        for window, numbers in fields["windows"].items():
            counts = {
                name: int(number) for name, number in zip(names, numbers, strict=True) if number
            }
            windows[int(window)] = counts
            if min(counts.values(), default=0) < 0:
                raise ValueError("a negative count")
        last_window, fence = int(fields["last"]), int(fields["fence"])
        if last_window < max(windows, default=last_window) or fence < 0:
            raise ValueError("a window after the last one, or a negative fence")
        return cls(
            last_window=last_window,
            fence=fence,
            holder=str(fields["holder"]),
            windows=windows,
            settled=frozenset(int(window) for window in fields["settled"]),
        )

    def extended(self, windows: dict[int, Counts], settled: frozenset[int]) -> UsageRecord:
        """Return the record with further windows, of which the newest are kept."""
        merged = {**self.windows, **windows}
        kept = sorted(merged)[-RECORDED_WINDOWS:]
        return attrs.evolve(
            self,
            last_window=max((self.last_window, *windows)),
            windows={window: merged[window] for window in kept},
            settled=(self.settled | settled) & frozenset(kept),
        )

    def without_oldest(self) -> UsageRecord:
        """Return the record without the counts of its oldest window."""
        oldest = min(self.windows)
        windows = {window: each for window, each in self.windows.items() if window != oldest}
        return attrs.evolve(self, windows=windows, settled=self.settled - {oldest})
