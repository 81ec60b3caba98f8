"""Conditional writes of claim objects on behalf of a claim book's records.

A write with an unknown outcome leaves its record in a phase that permits no run. The next write of
the same record has a condition that only one of the two can meet, which settles the outcome.
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
from ..objects.settle import put_settled
from .claim import ClaimPhase, StoredClaim, parse_claim
from .records import Record, RecordPhase

# An object can change at most a few times in a row: created, released, deleted by the clean-up.
MAX_WRITES = 3
UNCLAIMED_PHASES = frozenset({ClaimPhase.RELEASED, ClaimPhase.REVOKED})
RELEASABLE_PHASES = frozenset({RecordPhase.CLAIMING, RecordPhase.ABANDONED, RecordPhase.RELEASING})


class ClaimOutcome(enum.Enum):
    """Say how an attempt to claim ended, unless another claim was found."""

    CLAIMED = enum.auto()
    UNAVAILABLE = enum.auto()
    REVOKED = enum.auto()
    MALFORMED = enum.auto()


class ClaimWriter:
    """Write the claim objects of one agent incarnation."""

    def __init__(self, store: ObjectStore, agent: str, incarnation: str) -> None:
        self.store = store
        self.agent = agent
        self.incarnation = incarnation

    def claim(self, record: Record) -> ClaimOutcome | StoredClaim:
        """Create the claim or take a free one of the record's epoch over.

        Return the claim that stands in the way if there is one.
        """
        expected = record.version
        if record.epoch and expected is None:
            # The first write would create the claim, which is right in epoch 0 only.
            read = self.store.get(record.name)
            if isinstance(read, Failure):
                return ClaimOutcome.UNAVAILABLE
            obstacle = self._obstacle(record, read.unwrap())
            if obstacle is not None:
                return obstacle
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
            obstacle = self._obstacle(record, error.current)
            if obstacle is not None:
                return obstacle
            expected = _version(error.current)
        return ClaimOutcome.UNAVAILABLE

    def release(self, record: Record) -> bool:
        """Give the claim back; return whether no claim of this record can exist any more.

        An uncertain claim is replaced by a released one, which its late write then cannot replace.
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

        A rejected write, or a claim of another record, leaves the store without the final state;
        the call is then reported as in progress or unknown, and is not run.
        """
        phase = record.phase
        final = ClaimPhase.DONE if phase is RecordPhase.DONE else ClaimPhase.UNKNOWN
        expected = record.version
        for _attempt in range(MAX_WRITES):
            answer = self._write(record, final, expected)
            if isinstance(answer, Success):
                record.version = answer.unwrap().version
                # A late response may have changed the record while the write was under way.
                record.saved = record.phase is phase
                return True
            error = answer.failure()
            if isinstance(error, StoreRejected):
                record.saved = True
                return True
            if not isinstance(error, VersionConflict):
                return False
            if error.current is not None and not self._holds_own(record, error.current):
                record.saved = True
                return True
            expected = _version(error.current)
        return False

    def _write(
        self, record: Record, phase: ClaimPhase, expected: int | None
    ) -> Result[StoredObject, StoreError]:
        result = record.result if phase is ClaimPhase.DONE else None
        claim = StoredClaim(record.token, self.agent, self.incarnation, phase, result, record.epoch)
        return put_settled(self.store, record.name, claim.to_bytes(), expected, record.token)

    def _obstacle(
        self, record: Record, current: StoredObject | None
    ) -> ClaimOutcome | StoredClaim | None:
        """Return what forbids to claim in place of the object, or None."""
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

    def _holds_own(self, record: Record, current: StoredObject) -> bool:
        found = parse_claim(current.value)
        return found is not None and self._is_own(record, found)

    def _is_own(self, record: Record, found: StoredClaim) -> bool:
        same_book = found.agent == self.agent and found.incarnation == self.incarnation
        return same_book and found.token.startswith(record.identity)


def _version(current: StoredObject | None) -> int | None:
    return None if current is None else current.version
