"""Bounded in-memory records of the calls that one agent incarnation has handled."""

from __future__ import annotations

import enum

import attrs

from .claim import StoredResult


class RecordPhase(enum.Enum):
    """State of a record.

    CLAIMING and RELEASING mean that a write to the store has an unknown outcome. Neither permits
    the call to run before another conditional write has determined the outcome. REVOKED is for
    issued keys: a refusal said that the call did not run, so it must never run.
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
    """The state of one call.

    ``sequence`` is 0 for a caller key. ``token_prefix`` starts the writer tokens of this record
    only, so that its own writes are recognized. ``busy`` is set while a greenlet waits for the
    store on behalf of this record, and ``settling`` while ``maintain`` or ``release_abandoned``
    does. ``uncertain`` means that the store may hold, or may yet receive, a claim of this record
    that permits no run. ``saved`` means that no final state is left to write to the store.
    ``epoch`` is the epoch of the request for which the claim is made.
    """

    name: str
    sequence: int
    phase: RecordPhase
    token_prefix: str = ""
    token: str = ""
    version: int | None = None
    permission_id: int = 0
    epoch: int = 0
    busy: bool = False
    settling: bool = False
    uncertain: bool = False
    saved: bool = True
    result: StoredResult | None = None
    finished_ms: int = 0


@attrs.define
class Records:
    """At most ``max_records`` records and ``max_result_bytes`` of results.

    Only finished and saved records are evicted. Evicting the record of an issued key raises
    ``max_evicted_sequence`` to its sequence number; the manager never runs a key without a record
    whose sequence number is not greater. For caller keys, the claim object in the store takes the
    place of an evicted record.
    """

    max_records: int
    max_result_bytes: int
    max_evicted_sequence: int = 0
    result_bytes: int = 0
    records: dict[str, Record] = attrs.field(factory=dict)
    finished: dict[str, Record] = attrs.field(factory=dict)

    def get(self, name: str) -> Record | None:
        """Return the record of a call, if there is one."""
        return self.records.get(name)

    def add(self, record: Record) -> bool:
        """Add a record; return False if there is no room and no record can be evicted."""
        if len(self.records) >= self.max_records and not self._evict_oldest():
            return False
        self.records[record.name] = record
        if record.phase in FINAL_PHASES:
            self.finished[record.name] = record
        return True

    def drop(self, record: Record) -> None:
        """Remove the record of a call that was not sent."""
        if self.records.get(record.name) is record:
            del self.records[record.name]

    def finish(
        self, record: Record, phase: RecordPhase, result: StoredResult | None, now_ms: int
    ) -> None:
        """Set the final phase of a record and keep its result if ``max_result_bytes`` allows it."""
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
        """Evict the saved records that were finished before ``limit_ms``."""
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
        self.max_evicted_sequence = max(self.max_evicted_sequence, record.sequence)
        if record.result is not None:
            self.result_bytes -= record.result.size()
        del self.records[record.name]
        del self.finished[record.name]
