"""Transactional updates of a step ledger in the object API, with optimistic concurrency control."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TypeVar

import attrs
from returns.result import Failure, Result, Success

from ..objects.api import (
    ObjectStore,
    StoredObject,
    VersionConflict,
    WatchExpired,
    WriteAmbiguous,
)
from .ledger import StepLedger, StepPlan
from .ledger_format import MAX_LEDGER_BYTES, CorruptLedger, from_bytes, to_bytes
from .parts import same_step

T = TypeVar("T")

WRITER_TOKEN_BYTES = 8
# Two entries write the same ledger only around a takeover, so few retries resolve any conflict.
MAX_WRITE_ATTEMPTS = 8


@attrs.frozen
class StepUnknown:
    """The step has no ledger."""


@attrs.frozen
class PartUnknown:
    """The step has no part with this number."""

    parts: int


@attrs.frozen
class NotCommitted:
    """The change may not have taken effect, so the caller must not rely on it."""

    reason: str


@attrs.frozen
class PlanMismatch:
    """The step exists with a different plan."""

    existing: StepPlan


UpdateError = StepUnknown | NotCommitted | CorruptLedger


@attrs.frozen
class CachedLedger:
    """A ledger as it was stored; never modified in place."""

    version: int
    # Revision of the store up to which changes have been observed.
    revision: int
    ledger: StepLedger


@attrs.define
class LedgerStore:
    """Applies changes to one ledger; a change takes effect only once its write is confirmed.

    The ledger is cached between updates. A change is applied to a copy of it, which is written on
    the condition that the stored version has not changed; after a conflict, the change is applied
    to the stored ledger instead. A change that modifies nothing needs no write that would reveal a
    conflict, so the cached ledger is checked against the store instead.

    A change may be applied several times, also to a ledger that already contains it. Changes must
    therefore be idempotent.
    """

    store: ObjectStore
    key: str
    rng: random.Random
    cached: CachedLedger | None = None

    def create(self, plan: StepPlan) -> Result[StepLedger, PlanMismatch | UpdateError]:
        """Create the ledger, or return the existing one if its plan is the same."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            read = self.store.get(self.key)
            if isinstance(read, Failure):
                return Failure(NotCommitted(read.failure().reason))
            stored = read.unwrap()
            if stored is not None:
                return self._check_plan(stored, plan)
            ledger = StepLedger.create(plan)
            written = self.write(ledger, None)
            if isinstance(written, Failure):
                return written
            if written.unwrap():
                return Success(ledger)
        return Failure(NotCommitted("too many writers"))

    def update(self, change: Callable[[StepLedger], T]) -> Result[T, UpdateError]:
        """Apply ``change``, and return its outcome once the change is stored."""
        for number in range(MAX_WRITE_ATTEMPTS):
            reused = self.cached if number == 0 else None
            base = Success(reused) if reused is not None else self.refresh()
            if isinstance(base, Failure):
                return base
            cached = base.unwrap()
            ledger = cached.ledger.copy()
            outcome = change(ledger)
            if ledger == cached.ledger:
                if reused is None or self.is_current(cached):
                    return Success(outcome)
                continue
            written = self.write(ledger, cached.version)
            if isinstance(written, Failure):
                return written
            if written.unwrap():
                return Success(outcome)
        return Failure(NotCommitted("too many writers"))

    def is_current(self, cached: CachedLedger) -> bool:
        """Return whether the cached ledger is known to equal the stored one."""
        refreshed = self.refresh()
        return isinstance(refreshed, Success) and refreshed.unwrap().version == cached.version

    def refresh(self) -> Result[CachedLedger, UpdateError]:
        """Bring the cached ledger up to date, reading it only if it has changed."""
        if self.cached is None:
            return self._read()
        batch = self.store.watch(self.key, self.cached.revision, 0)
        if isinstance(batch, Failure):
            if isinstance(batch.failure(), WatchExpired):
                return self._read_with_revision()
            return Failure(NotCommitted(str(batch.failure())))
        revision = batch.unwrap().revision
        for change in batch.unwrap().changes:
            if change.key != self.key:
                continue
            if change.value is None:
                return self._update_cache(None)
            return self._update_cache(
                StoredObject(self.key, change.version, change.value), revision
            )
        if self.cached is None:
            return self._read()
        self.cached = attrs.evolve(self.cached, revision=max(revision, self.cached.revision))
        return Success(self.cached)

    def _read(self) -> Result[CachedLedger, UpdateError]:
        read = self.store.get(self.key)
        if isinstance(read, Failure):
            return Failure(NotCommitted(read.failure().reason))
        return self._update_cache(read.unwrap())

    def _read_with_revision(self) -> Result[CachedLedger, UpdateError]:
        """Read the ledger with a revision from which the store can still watch."""
        snapshot = self.store.snapshot(self.key)
        if isinstance(snapshot, Failure):
            return Failure(NotCommitted(snapshot.failure().reason))
        found = {stored.key: stored for stored in snapshot.unwrap().objects}
        return self._update_cache(found.get(self.key), snapshot.unwrap().revision)

    def _update_cache(
        self, stored: StoredObject | None, revision: int = 0
    ) -> Result[CachedLedger, UpdateError]:
        """Cache a stored ledger, unless another task has cached the same or a later version."""
        cached = self.cached
        if stored is None:
            self.cached = None
            return Failure(StepUnknown())
        if cached is not None and cached.version >= stored.version:
            self.cached = attrs.evolve(cached, revision=max(revision, cached.revision))
            return Success(self.cached)
        decoded = from_bytes(stored.value)
        if isinstance(decoded, Failure):
            self.cached = None
            return decoded
        revision = max(revision, stored.version)
        self.cached = CachedLedger(stored.version, revision, decoded.unwrap())
        return Success(self.cached)

    def write(
        self, ledger: StepLedger, expected_version: int | None
    ) -> Result[bool, NotCommitted | CorruptLedger]:
        """Write the ledger once; return False if the change must be applied to a newer ledger."""
        ledger.writer_token = self.rng.randbytes(WRITER_TOKEN_BYTES)
        value = to_bytes(ledger)
        if len(value) > MAX_LEDGER_BYTES:
            return Failure(CorruptLedger(f"the ledger would have {len(value)} bytes"))
        put = self.store.put(self.key, value, expected_version)
        if isinstance(put, Success):
            version = put.unwrap().version
            if self.cached is None or self.cached.version < version:
                self.cached = CachedLedger(version, version, ledger)
            return Success(True)
        error = put.failure()
        if isinstance(error, VersionConflict):
            # The next attempt reports a deleted or corrupt ledger.
            self._update_cache(error.current)
            return Success(False)
        if isinstance(error, WriteAmbiguous):
            return self.resolve_ambiguous_write(value)
        return Failure(NotCommitted(str(error)))

    def resolve_ambiguous_write(self, value: bytes) -> Result[bool, NotCommitted]:
        """Read back after an ambiguous write; the writer token makes each written value unique.

        Returns whether the written value is stored. A different value does not prove that the write
        had no effect: a later write may have replaced it, or it may still be in flight. The caller
        then applies its change again, with another conditional write.
        """
        read = self.store.get(self.key)
        if isinstance(read, Failure):
            return Failure(NotCommitted(read.failure().reason))
        stored = read.unwrap()
        self._update_cache(stored)
        return Success(stored is not None and stored.value == value)

    def _check_plan(
        self, stored: StoredObject, plan: StepPlan
    ) -> Result[StepLedger, PlanMismatch | UpdateError]:
        decoded = from_bytes(stored.value)
        if isinstance(decoded, Failure):
            return decoded
        ledger = decoded.unwrap()
        if not same_step(plan, ledger.plan):
            return Failure(PlanMismatch(ledger.plan))
        return Success(ledger)
