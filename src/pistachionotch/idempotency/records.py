"""Bounded memory of the calls that one agent incarnation has handled."""

from __future__ import annotations

import enum

import attrs

from .claim import StoredResult


class RecordPhase(enum.Enum):
    """Name the states of a record.

    CLAIMING and RELEASING mean that a write to the store has an unknown outcome. Neither permits a
    run before another conditional write has settled it. REVOKED is for issued keys: a refusal said
    that the call was not run, so it never may.
    """

    CLAIMING = enum.auto()
    READY = enum.auto()
    SENT = enum.auto()
    DONE = enum.auto()
    UNKNOWN = enum.auto()
    ABANDONED = enum.auto()
    RELEASING = enum.auto()
    REVOKED = enum.auto()


UNSETTLED_PHASES = frozenset({RecordPhase.CLAIMING, RecordPhase.RELEASING})
FINAL_PHASES = frozenset({RecordPhase.DONE, RecordPhase.UNKNOWN, RecordPhase.REVOKED})


@attrs.define
class Record:
    """Remember one call; ``sequence`` is 0 for a caller's key.

    ``busy`` is set while a greenlet waits for the store on behalf of this record. ``uncertain``
    says that the store may hold, or may yet receive, a claim of this record that permits no run;
    ``saved`` says that the store needs no final state. ``settling`` is set while ``maintain`` or
    ``give_back`` writes; ``epoch`` is that of the request for which the claim is made.
    """

    name: str
    sequence: int
    phase: RecordPhase
    identity: str = ""
    token: str = ""
    version: int | None = None
    run: int = 0
    epoch: int = 0
    busy: bool = False
    settling: bool = False
    uncertain: bool = False
    saved: bool = True
    result: StoredResult | None = None
    finished_ms: int = 0


@attrs.define
class Records:
    """Keep at most ``max_records`` records and ``max_result_bytes`` of results.

    Only finished and saved records are evicted. Evicting the record of an issued key first raises
    ``floor`` to its sequence number; the book never runs a key at or below the floor that has no
    record. The claim object in the store does the same for caller's keys.
    """

    max_records: int
    max_result_bytes: int
    floor: int = 0
    result_bytes: int = 0
    records: dict[str, Record] = attrs.field(factory=dict)
    finished: dict[str, Record] = attrs.field(factory=dict)

    def get(self, name: str) -> Record | None:
        """Return the record of a call, if there is one."""
        return self.records.get(name)

    def add(self, record: Record) -> bool:
        """Add a record; return False if no record can be evicted for it."""
        if len(self.records) >= self.max_records and not self._evict_oldest():
            return False
        self.records[record.name] = record
        if record.phase in FINAL_PHASES:
            self.finished[record.name] = record
        return True

    def drop(self, record: Record) -> None:
        """Forget a call that was not sent."""
        if self.records.get(record.name) is record:
            del self.records[record.name]

    def finish(
        self, record: Record, phase: RecordPhase, result: StoredResult | None, now_ms: int
    ) -> None:
        """Make a record final and keep its result if the limit allows it."""
        record.phase = phase
        record.finished_ms = now_ms
        self.finished.pop(record.name, None)
        size = 0 if result is None else result.size()
        while self.result_bytes + size > self.max_result_bytes and self._evict_oldest():
            continue
        if result is not None and self.result_bytes + size <= self.max_result_bytes:
            record.result = result
            self.result_bytes += size
        self.finished[record.name] = record

    def evict_older_than(self, limit_ms: int) -> None:
        """Evict the records that were finished before ``limit_ms``."""
        for record in list(self.finished.values()):
            if record.finished_ms >= limit_ms:
                return
            if record.saved and not record.busy:
                self._evict(record)

    def _evict_oldest(self) -> bool:
        for record in self.finished.values():
            if record.saved and not record.busy:
                self._evict(record)
                return True
        return False

    def _evict(self, record: Record) -> None:
        self.floor = max(self.floor, record.sequence)
        if record.result is not None:
            self.result_bytes -= record.result.size()
        del self.records[record.name]
        del self.finished[record.name]
