"""Removal of batches whose retention time is over."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure

from ..clock import Clock
from ..objects.api import ObjectStore, StoredObject
from ..objects.odd_objects import OddObjects
from .log import HEADS_PREFIX, LOGS_PREFIX, PARTS_PREFIX, odd_batches, read_object
from .records import read_entry, read_head

# Interval between two cleanups. Expired batches accumulate over minutes.
CLEANUP_PERIOD_MS = 60_000
# Ended batches are kept longer than their retention time by this, because clocks differ.
CLOCK_MARGIN_MS = 30_000
# A batch that its client never ended is kept for this many times the retention time.
OPEN_RETENTION_FACTOR = 30


@attrs.define
class BatchCleaner:
    """Deletes expired batches from the object API while this process is responsible for that."""

    store: ObjectStore
    clock: Clock
    unix_ms: Callable[[], int]
    retention_ms: int
    log: Any
    odd: OddObjects = attrs.field(factory=odd_batches)

    def run(self, active: Callable[[], bool]) -> None:
        """Clean up periodically while ``active`` returns true; never returns."""
        while True:
            self.clock.sleep_ms(CLEANUP_PERIOD_MS)
            if active():
                self.clean()

    def clean(self) -> int:
        """Remove the expired batches and return their number."""
        listed = self.store.list(HEADS_PREFIX)
        if isinstance(listed, Failure):
            self.log.warning("batches not listed", reason=str(listed.failure()))
            return 0
        removed = 0
        self.odd.keep(HEADS_PREFIX, {stored.key for stored in listed.unwrap()})
        for stored in listed.unwrap():
            decoded = read_object(stored, read_head, self.odd)
            if isinstance(decoded, Failure):
                # Its age is not known, so it is kept.
                continue
            head, parts = decoded.unwrap()
            age_ms = self.unix_ms() - head.accepted_ms
            if age_ms < self.retention_ms + CLOCK_MARGIN_MS:
                continue
            if self._remove(stored, head.submission.id, parts, age_ms):
                removed += 1
        return removed

    def _remove(self, stored: StoredObject, batch: str, parts: int, age_ms: int) -> bool:
        entries: list[StoredObject] = []
        ended = age_ms >= self.retention_ms * OPEN_RETENTION_FACTOR
        while True:
            read = self.store.get(f"{LOGS_PREFIX}{batch}.{len(entries):05d}")
            if isinstance(read, Failure):
                return False
            entry = read.unwrap()
            if entry is None:
                break
            entries.append(entry)
            decoded = read_object(entry, read_entry, self.odd)
            ended = ended or bool(decoded.map(lambda found: found.ended).value_or(False))
        if not ended:
            return False
        for number in range(1, parts + 1):
            part = self.store.get(f"{PARTS_PREFIX}{batch}.{number}").value_or(None)
            if part is not None:
                entries.append(part)
        # The head is deleted last: as long as it exists, the next cleanup resumes an interrupted
        # removal. Log entries are deleted from the last to the first, because the remaining ones
        # are found by counting up from the first.
        for entry in [*reversed(entries), stored]:
            deleted = self.store.delete(entry.key, entry.version)
            if isinstance(deleted, Failure):
                self.log.warning("batch not removed", batch=batch, reason=str(deleted.failure()))
                return False
        self.log.info("batch removed", batch=batch, age_ms=age_ms, entries=len(entries))
        return True
