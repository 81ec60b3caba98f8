"""Deletion of final claims that are older than the retention period.

Ages are measured with store revisions and monotonic clocks only. The age ledger, an object in the
store, counts the milliseconds during which some cleaner was active, and records which revision was
the newest at which count. Each version of the ledger adds at most the time between the write of the
previous version and its own, and conditional updates let only one cleaner at a time add to it. So
the measured age never exceeds the true age, with any number of cleaners, after restarts, and with
wrong wall clocks.

Claims in the phase ``claimed`` are never deleted, because their agent may be paused before sending.
They are left behind by agents that died with calls in flight, so there are few of them. A caller
key is thus remembered for at least the retention period after its call ended or was revoked. If the
caller uses the key again after that, it starts a new call, in epoch 0.
"""

from __future__ import annotations

import json
import random

import attrs
from returns.result import Failure, Success

from ..clock import Clock
from ..malformed import load_json
from ..objects.api import ObjectStore, StoredObject, VersionConflict
from ..objects.read_back import put_with_read_back
from .claim import ClaimPhase, parse_claim

LEDGER_KEY = "claims-age"
# With 16 marks per retention period the ledger stays small, and claims are deleted at most a
# sixteenth of the period late.
MARKS_PER_RETENTION = 16
# Claims are listed by the first three hex digits of their hash, which limits the size of a listing.
SHARDS = 4096
MAX_DELETES_PER_STEP = 50
DELETABLE = frozenset(
    {ClaimPhase.DONE, ClaimPhase.UNKNOWN, ClaimPhase.RELEASED, ClaimPhase.REVOKED}
)


@attrs.frozen
class AgeLedger:
    """The total active time, and pairs of (revision, active time when it was the newest)."""

    active_ms: int = 0
    marks: tuple[tuple[int, int], ...] = ()

    def newest_expired_revision(self, retention_ms: int) -> int:
        """Return the newest revision known to be older than the retention period, or 0."""
        limit_ms = self.active_ms - retention_ms
        return max((revision for revision, at_ms in self.marks if at_ms <= limit_ms), default=0)

    def advanced(self, revision: int, elapsed_ms: int, retention_ms: int) -> AgeLedger:
        """Return the ledger after ``elapsed_ms``, with ``revision`` marked at the previous time."""
        marks = (*self.marks, (revision, self.active_ms))
        later = AgeLedger(self.active_ms + elapsed_ms, marks)
        newest_expired_revision = later.newest_expired_revision(retention_ms)
        return AgeLedger(
            later.active_ms, tuple(mark for mark in marks if mark[0] >= newest_expired_revision)
        )

    def to_bytes(self, token: str) -> bytes:
        """Return the JSON form with the token of this write."""
        return json.dumps(
            {"token": token, "active_ms": self.active_ms, "marks": self.marks}
        ).encode()


def parse_ledger(value: bytes) -> AgeLedger:
    """Parse the value of the ledger object; a malformed one starts again from zero."""
    try:
        fields = load_json(value)
        marks = tuple((int(revision), int(at_ms)) for revision, at_ms in fields["marks"])
        return AgeLedger(int(fields["active_ms"]), marks)
    except (ValueError, KeyError, TypeError):
        return AgeLedger()


class ClaimCleaner:
    """Deletes old claims in small steps; run it under a lease so that only one entry does."""

    def __init__(
        self, store: ObjectStore, clock: Clock, retention_ms: int, rng: random.Random
    ) -> None:
        self.store = store
        self.clock = clock
        self.retention_ms = retention_ms
        self.rng = rng
        self.shard = rng.randrange(SHARDS)
        self.ledger_object: StoredObject | None = None
        self.observed_ms = 0

    def step(self) -> int:
        """Update the ledger if due, clean one shard, and return the number of deleted claims."""
        if not self._advance() or self.ledger_object is None:
            return 0
        newest_expired_revision = parse_ledger(self.ledger_object.value).newest_expired_revision(
            self.retention_ms
        )
        if newest_expired_revision == 0:
            return 0
        prefix = f"claims/{self.shard:03x}"
        self.shard = (self.shard + 1) % SHARDS
        listed = self.store.list(prefix)
        if isinstance(listed, Failure):
            return 0
        deleted = 0
        for claim in listed.unwrap():
            if deleted == MAX_DELETES_PER_STEP:
                break
            if not _is_deletable(claim, newest_expired_revision):
                continue
            # A delete with an unknown outcome needs no retry here: a claim that still exists is
            # listed again by a later step.
            if isinstance(self.store.delete(claim.key, claim.version), Success):
                deleted += 1
        return deleted

    def _advance(self) -> bool:
        if self.ledger_object is None:
            return self._read()
        elapsed_ms = self.clock.now_ms() - self.observed_ms
        if elapsed_ms * MARKS_PER_RETENTION < self.retention_ms:
            return True
        ledger = parse_ledger(self.ledger_object.value)
        later = ledger.advanced(self.ledger_object.version, elapsed_ms, self.retention_ms)
        return self._write(later, self.ledger_object.version)

    def _read(self) -> bool:
        read = self.store.get(LEDGER_KEY)
        if isinstance(read, Failure):
            return False
        current = read.unwrap()
        if current is None:
            return self._write(AgeLedger(), None)
        self._observe_ledger(current)
        return True

    def _write(self, ledger: AgeLedger, expected: int | None) -> bool:
        token = f"{self.rng.getrandbits(64):016x}"
        answer = put_with_read_back(self.store, LEDGER_KEY, ledger.to_bytes(token), expected, token)
        if isinstance(answer, Success):
            self._observe_ledger(answer.unwrap())
            return True
        error = answer.failure()
        if isinstance(error, VersionConflict) and error.current is not None:
            self._observe_ledger(error.current)
        else:
            # After any other error the ledger is read again, and time counts from that read.
            self.ledger_object = None
        return False

    def _observe_ledger(self, current: StoredObject) -> None:
        self.ledger_object = current
        # Read after the store answered, so that time before the write is never counted.
        self.observed_ms = self.clock.now_ms()


def _is_deletable(stored: StoredObject, newest_expired_revision: int) -> bool:
    if stored.version > newest_expired_revision:
        return False
    claim = parse_claim(stored.value)
    return claim is not None and claim.phase in DELETABLE
