"""Deletes final claims whose age exceeds the retention.

The age is measured with store revisions and monotonic clocks only. An age ledger in the store
counts the milliseconds during which some cleaner was active, and marks which revision was the
newest at which count. Each version of the ledger adds at most the time between its predecessor's
write and its own, and conditional updates let one cleaner at a time add to it; so the measured age
is never more than the true one, with any number of cleaners, after restarts, and with wrong wall
clocks.

Claims in the state ``claimed`` are never deleted, because their agent may be paused before sending.
They are left by agents that died with calls in flight, so they are few. A caller's key is thus
remembered for at least the retention after its call ended or was revoked; a caller that uses a key
again after that starts a new call, in epoch 0.
"""

from __future__ import annotations

import json
import random

import attrs
from returns.result import Failure, Success

from ..clock import Clock
from ..objects.api import ObjectStore, StoredObject, VersionConflict
from ..objects.settle import put_settled
from .claim import ClaimPhase, parse_claim

LEDGER_KEY = "claims-age"
# One mark per sixteenth keeps the ledger small and deletes claims at most that share late.
MARKS_PER_RETENTION = 16
# Claims are listed by the first three digits of their hash, which bounds the size of one answer.
SHARDS = 4096
MAX_DELETES_PER_STEP = 50
DELETABLE = frozenset(
    {ClaimPhase.DONE, ClaimPhase.UNKNOWN, ClaimPhase.RELEASED, ClaimPhase.REVOKED}
)


@attrs.frozen
class AgeLedger:
    """Hold the active time so far and pairs of (revision, active time when it was the newest)."""

    active_ms: int = 0
    marks: tuple[tuple[int, int], ...] = ()

    def horizon(self, retention_ms: int) -> int:
        """Return the newest revision that is known to be older than the retention, or 0."""
        limit_ms = self.active_ms - retention_ms
        return max((revision for revision, at_ms in self.marks if at_ms <= limit_ms), default=0)

    def advanced(self, revision: int, elapsed_ms: int, retention_ms: int) -> AgeLedger:
        """Return the ledger ``elapsed_ms`` later, with a mark for ``revision`` as of before."""
        marks = (*self.marks, (revision, self.active_ms))
        later = AgeLedger(self.active_ms + elapsed_ms, marks)
        horizon = later.horizon(retention_ms)
        return AgeLedger(later.active_ms, tuple(mark for mark in marks if mark[0] >= horizon))

    def to_bytes(self, token: str) -> bytes:
        """Return the JSON form with its writer token."""
        return json.dumps(
            {"token": token, "active_ms": self.active_ms, "marks": self.marks}
        ).encode()


def parse_ledger(value: bytes) -> AgeLedger:
    """Return the ledger of an object's value; a malformed one counts from zero again."""
    try:
        fields = json.loads(value)
        marks = tuple((int(revision), int(at_ms)) for revision, at_ms in fields["marks"])
        return AgeLedger(int(fields["active_ms"]), marks)
    except (ValueError, KeyError, TypeError):
        return AgeLedger()


class ClaimCleaner:
    """Delete old claims step by step; run it under a lease so that only one entry does the work."""

    def __init__(
        self, store: ObjectStore, clock: Clock, retention_ms: int, rng: random.Random
    ) -> None:
        self.store = store
        self.clock = clock
        self.retention_ms = retention_ms
        self.rng = rng
        self.shard = rng.randrange(SHARDS)
        self.seen: StoredObject | None = None
        self.seen_ms = 0

    def step(self) -> int:
        """Advance the ledger if due, clean one shard, and return the number of claims deleted."""
        if not self._advance() or self.seen is None:
            return 0
        horizon = parse_ledger(self.seen.value).horizon(self.retention_ms)
        if horizon == 0:
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
            if not _is_deletable(claim, horizon):
                continue
            # A lost answer needs no settling: the claim is found again if it is still there.
            if isinstance(self.store.delete(claim.key, claim.version), Success):
                deleted += 1
        return deleted

    def _advance(self) -> bool:
        if self.seen is None:
            return self._read()
        elapsed_ms = self.clock.now_ms() - self.seen_ms
        if elapsed_ms * MARKS_PER_RETENTION < self.retention_ms:
            return True
        ledger = parse_ledger(self.seen.value)
        later = ledger.advanced(self.seen.version, elapsed_ms, self.retention_ms)
        return self._write(later, self.seen.version)

    def _read(self) -> bool:
        read = self.store.get(LEDGER_KEY)
        if isinstance(read, Failure):
            return False
        current = read.unwrap()
        if current is None:
            return self._write(AgeLedger(), None)
        self._see(current)
        return True

    def _write(self, ledger: AgeLedger, expected: int | None) -> bool:
        token = f"{self.rng.getrandbits(64):016x}"
        answer = put_settled(self.store, LEDGER_KEY, ledger.to_bytes(token), expected, token)
        if isinstance(answer, Success):
            self._see(answer.unwrap())
            return True
        error = answer.failure()
        if isinstance(error, VersionConflict) and error.current is not None:
            self._see(error.current)
        else:
            # After an unknown outcome the ledger is read again, and time counts from then.
            self.seen = None
        return False

    def _see(self, current: StoredObject) -> None:
        self.seen = current
        # Taken after the answer, so that time before the write is never counted.
        self.seen_ms = self.clock.now_ms()


def _is_deletable(stored: StoredObject, horizon: int) -> bool:
    if stored.version > horizon:
        return False
    claim = parse_claim(stored.value)
    return claim is not None and claim.phase in DELETABLE
