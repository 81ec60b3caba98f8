"""In-memory object store with fault injection, for tests and the object API stand-in."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from http import HTTPStatus

import attrs
from gevent.event import Event
from returns.result import Failure, Result, Success

from ..clock import MS_PER_SECOND, Clock, SystemClock
from .api import (
    MAX_VALUE_BYTES,
    Change,
    Snapshot,
    StoredObject,
    StoreError,
    StoreRejected,
    StoreUnavailable,
    VersionConflict,
    WatchBatch,
    WatchExpired,
    WriteAmbiguous,
)

DEFAULT_HISTORY_LIMIT = 10_000

_Write = Callable[[], Result[StoredObject, StoreError]]


@attrs.define
class Faults:
    """Faults to inject; each count is the number of writes left to fail, used in field order."""

    outage: bool = False
    lose_answers: int = 0
    lose_writes: int = 0
    delay_writes: int = 0


@attrs.define
class MemoryStore:
    """In-memory store with the semantics of the object API.

    A write that consumes ``faults.lose_answers`` is applied, one that consumes ``lose_writes`` is
    never applied, and one that consumes ``delay_writes`` is applied by the next call of
    ``deliver_delayed``. All three return ``WriteAmbiguous``.
    """

    clock: Clock = attrs.field(factory=SystemClock)
    history_limit: int = DEFAULT_HISTORY_LIMIT
    faults: Faults = attrs.field(factory=Faults)
    revision: int = 0
    objects: dict[str, StoredObject] = attrs.field(factory=dict)
    history: deque[Change] = attrs.field(factory=deque)
    discarded_revision: int = 0
    calls: Counter[str] = attrs.field(factory=Counter)
    delayed_writes: list[_Write] = attrs.field(factory=list)
    changed: Event = attrs.field(factory=Event)

    def get(self, key: str) -> Result[StoredObject | None, StoreUnavailable]:
        """Return the object, or None if it does not exist."""
        self.calls["get"] += 1
        if self.faults.outage:
            return Failure(_outage())
        return Success(self.objects.get(key))

    def list(self, prefix: str) -> Result[tuple[StoredObject, ...], StoreUnavailable]:
        """Return all objects under ``prefix``, sorted by key."""
        return self.snapshot(prefix).map(lambda snapshot: snapshot.objects)

    def snapshot(self, prefix: str) -> Result[Snapshot, StoreUnavailable]:
        """Return all objects under ``prefix`` and the revision of the store."""
        self.calls["list"] += 1
        if self.faults.outage:
            return Failure(_outage())
        keys = sorted(key for key in self.objects if key.startswith(prefix))
        return Success(Snapshot(self.revision, tuple(self.objects[key] for key in keys)))

    def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[StoredObject, StoreError]:
        """Write the object if it has ``expected_version``; None requires that it does not exist."""
        self.calls["put"] += 1
        if len(value) > MAX_VALUE_BYTES:
            return Failure(
                StoreRejected(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"{len(value)} bytes for {key}")
            )
        return self._write(lambda: self._apply_put(key, value, expected_version))

    def delete(self, key: str, expected_version: int) -> Result[None, StoreError]:
        """Delete the object if it has ``expected_version``."""
        self.calls["delete"] += 1
        return self._write(lambda: self._apply_delete(key, expected_version)).map(
            lambda _deleted: None
        )

    def watch(self, prefix: str, since: int, timeout_ms: int) -> Result[WatchBatch, StoreError]:
        """Wait for changes under ``prefix`` that are newer than the revision ``since``."""
        self.calls["watch"] += 1
        end_ms = self.clock.now_ms() + timeout_ms
        while True:
            if self.faults.outage:
                return Failure(_outage())
            if since < self.discarded_revision or since > self.revision:
                return Failure(WatchExpired(since))
            changes = self._changes_since(prefix, since)
            remaining_ms = end_ms - self.clock.now_ms()
            if changes or remaining_ms <= 0:
                return Success(WatchBatch(self.revision, changes))
            self.changed.wait(remaining_ms / MS_PER_SECOND)

    def set_outage(self, outage: bool) -> None:
        """Start or end an outage; starting one makes waiting watches fail."""
        self.faults.outage = outage
        self._wake_watches()

    def deliver_delayed(self) -> None:
        """Apply all delayed writes; each is still subject to its condition."""
        delayed, self.delayed_writes = self.delayed_writes, []
        for apply_write in delayed:
            apply_write()

    def _write(self, apply_write: _Write) -> Result[StoredObject, StoreError]:
        faults = self.faults
        if faults.outage:
            return Failure(_outage())
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            apply_write()
            return Failure(WriteAmbiguous("answer lost"))
        if faults.lose_writes > 0:
            faults.lose_writes -= 1
            return Failure(WriteAmbiguous("request lost"))
        if faults.delay_writes > 0:
            faults.delay_writes -= 1
            self.delayed_writes.append(apply_write)
            return Failure(WriteAmbiguous("request delayed"))
        return apply_write()

    def _apply_put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> Result[StoredObject, StoreError]:
        current = self.objects.get(key)
        version = None if current is None else current.version
        if version != expected_version:
            return Failure(VersionConflict(current))
        stored = StoredObject(key, self._next_revision(), value)
        self.objects[key] = stored
        self._record(Change(key, stored.version, value))
        return Success(stored)

    def _apply_delete(self, key: str, expected_version: int) -> Result[StoredObject, StoreError]:
        current = self.objects.get(key)
        if current is None or current.version != expected_version:
            return Failure(VersionConflict(current))
        del self.objects[key]
        self._record(Change(key, self._next_revision(), None))
        return Success(current)

    def _next_revision(self) -> int:
        self.revision += 1
        return self.revision

    def _record(self, change: Change) -> None:
        self.history.append(change)
        while len(self.history) > self.history_limit:
            self.discarded_revision = self.history.popleft().version
        self._wake_watches()

    def _wake_watches(self) -> None:
        waiting, self.changed = self.changed, Event()
        waiting.set()

    def _changes_since(self, prefix: str, since: int) -> tuple[Change, ...]:
        latest: dict[str, Change] = {}
        for change in reversed(self.history):
            if change.version <= since:
                break
            if not change.key.startswith(prefix):
                continue
            latest.setdefault(change.key, change)
        return tuple(sorted(latest.values(), key=lambda change: change.version))


def _outage() -> StoreUnavailable:
    return StoreUnavailable("the store has an outage")
