"""Conditional writes of claim objects for the records of a claim manager.

A write with an unknown outcome leaves its record in a phase that does not permit the call to run.
The next write of the same record has a condition that only one of the two writes can meet, so it
determines the outcome.
"""

from __future__ import annotations

import enum

from returns.result import Failure, Result, Success

from ..objects.api import (
    ObjectStore,
    StoredObject,
    StoreError,
    StoreRejected,
    StoreUnavailable,
    VersionConflict,
)
from ..objects.read_back import put_with_read_back
from .claim import ClaimPhase, StoredClaim, parse_claim
from .records import Record, RecordPhase

# A claim object changes only a few times in a row: created, released, deleted by the clean-up.
MAX_WRITES = 3
UNCLAIMED_PHASES = frozenset({ClaimPhase.RELEASED, ClaimPhase.REVOKED})
RELEASABLE_PHASES = frozenset({RecordPhase.CLAIMING, RecordPhase.ABANDONED, RecordPhase.RELEASING})


class ClaimOutcome(enum.Enum):
    """Result of an attempt to claim that did not find another claim."""

    CLAIMED = enum.auto()
    UNAVAILABLE = enum.auto()
    REVOKED = enum.auto()
    MALFORMED = enum.auto()


class ClaimWriter:
    """Writes the claim objects of one agent incarnation."""

    def __init__(self, store: ObjectStore, agent: str, incarnation: str) -> None:
        self.store = store
        self.agent = agent
        self.incarnation = incarnation

    def claim(self, record: Record) -> ClaimOutcome | StoredClaim:
        """Create the claim, or replace an unclaimed one of the record's epoch.

        Return the claim that prevents this, if there is one.
        """
        expected = record.version
        if record.epoch and expected is None:
            # Without an expected version the write would create the claim object, which is valid
            # in epoch 0 only.
            read = self.store.get(record.name)
            if isinstance(read, Failure):
                return ClaimOutcome.UNAVAILABLE
            blocking = self._blocking_claim(record, read.unwrap())
            if blocking is not None:
                return blocking
            expected = _version(read.unwrap())
        for _attempt in range(MAX_WRITES):
            answer = self._write(record, ClaimPhase.CLAIMED, expected)
            if isinstance(answer, Success):
                record.version = answer.unwrap().version
                record.uncertain = False
                return ClaimOutcome.CLAIMED
            error = answer.failure()
            if not isinstance(error, VersionConflict):
                record.uncertain = record.uncertain or not isinstance(error, StoreUnavailable)
                return ClaimOutcome.UNAVAILABLE
            blocking = self._blocking_claim(record, error.current)
            if blocking is not None:
                return blocking
            expected = _version(error.current)
        return ClaimOutcome.UNAVAILABLE

    def release(self, record: Record) -> bool:
        """Release the claim; return whether no claim of this record can exist any more.

        An uncertain claim is replaced by a released one, which a delayed write of that claim cannot
        overwrite.
        """
        expected = record.version
        for _attempt in range(MAX_WRITES):
            answer = self._write(record, ClaimPhase.RELEASED, expected)
            if isinstance(answer, Success):
                return True
            error = answer.failure()
            if isinstance(error, StoreRejected):
                return True
            if isinstance(error, StoreUnavailable):
                return False
            if not isinstance(error, VersionConflict):
                record.phase = RecordPhase.RELEASING
                record.uncertain = True
                return False
            if error.current is None:
                expected = None
                continue
            found = parse_claim(error.current.value)
            if found is None or not self._may_replace(record, found):
                return True
            expected = error.current.version
        return False

    def save(self, record: Record) -> bool:
        """Write the record's final state; return whether nothing remains to be written.

        If the store rejects the write, or holds the claim of another record, the final state is not
        stored. The call is then reported as in progress or unknown, and does not run again.
        """
        phase = record.phase
        final = ClaimPhase.DONE if phase is RecordPhase.DONE else ClaimPhase.UNKNOWN
        expected = record.version
        for _attempt in range(MAX_WRITES):
            answer = self._write(record, final, expected)
            if isinstance(answer, Success):
                record.version = answer.unwrap().version
                # A late response may have changed the phase during the write.
                record.saved = record.phase is phase
                return True
            error = answer.failure()
            if isinstance(error, StoreRejected):
                record.saved = True
                return True
            if not isinstance(error, VersionConflict):
                return False
            if error.current is not None and not self._is_own_object(record, error.current):
                record.saved = True
                return True
            expected = _version(error.current)
        return False

    def _write(
        self, record: Record, phase: ClaimPhase, expected: int | None
    ) -> Result[StoredObject, StoreError]:
        result = record.result if phase is ClaimPhase.DONE else None
        claim = StoredClaim(record.token, self.agent, self.incarnation, phase, result, record.epoch)
        return put_with_read_back(self.store, record.name, claim.to_bytes(), expected, record.token)

    def _blocking_claim(
        self, record: Record, current: StoredObject | None
    ) -> ClaimOutcome | StoredClaim | None:
        """Return what prevents replacing the object by a claim, or None."""
        if current is None:
            return ClaimOutcome.REVOKED if record.epoch else None
        found = parse_claim(current.value)
        if found is None:
            return ClaimOutcome.MALFORMED
        if self._may_replace(record, found):
            return None
        return ClaimOutcome.REVOKED if found.phase in UNCLAIMED_PHASES else found

    def _may_replace(self, record: Record, found: StoredClaim) -> bool:
        if found.epoch != record.epoch:
            return False
        if found.phase in UNCLAIMED_PHASES:
            return True
        return found.phase is ClaimPhase.CLAIMED and self._is_own(record, found)

    def _is_own_object(self, record: Record, current: StoredObject) -> bool:
        found = parse_claim(current.value)
        return found is not None and self._is_own(record, found)

    def _is_own(self, record: Record, found: StoredClaim) -> bool:
        same_book = found.agent == self.agent and found.incarnation == self.incarnation
        return same_book and found.token.startswith(record.token_prefix)


def _version(current: StoredObject | None) -> int | None:
    return None if current is None else current.version
