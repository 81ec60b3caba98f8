"""Stores the crashes of condemned requests, for gateways that start when no other one is left."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import attrs
from returns.result import Failure

from ..clock import Clock
from ..malformed import MALFORMED, load_utf8_json
from ..objects.api import ObjectStore, StoredObject, StoreRejected, VersionConflict
from ..objects.values import canonical_json
from ..quarantine.board import EVIDENCE_MS, CrashBoard, CrashReport

CRASHES_KEY_PREFIX = "crashes/"
# Interval at which a gateway looks whether its object has to change.
SAVE_INTERVAL_MS = 1_000
# Reports in one object, which then has about 200 KB.
MAX_STORED_REPORTS = 1_000


@attrs.define
class CrashStore:
    """Reads the crashes that gateways have stored and writes those that this one saw."""

    node: str
    store: ObjectStore
    clock: Clock
    unix_ms: Callable[[], int]
    board: CrashBoard
    log: Any
    # Whether only crashes under condemned requests are stored.
    condemned_only: bool = True
    # Crashes under requests of this gateway, by content and upstream.
    seen: dict[tuple[str, str], CrashReport] = attrs.field(factory=dict)
    was_read: bool = False
    own_version: int | None = None
    saved: bytes = b""

    def record(self, report: CrashReport) -> None:
        """Remember what this gateway saw, in case it has to be stored."""
        self.seen[(report.content, report.upstream)] = report
        if len(self.seen) > MAX_STORED_REPORTS:
            del self.seen[next(iter(self.seen))]

    def run(self) -> None:
        """Read once, then write what changes, forever."""
        while True:
            if self.was_read or self.read():
                self.save()
            self.clock.sleep_ms(SAVE_INTERVAL_MS)

    def read(self) -> bool:
        """Add the stored crashes to the board; returns whether they could be read."""
        listed = self.store.list(CRASHES_KEY_PREFIX)
        if isinstance(listed, Failure):
            self.log.warning("crashes not read", reason=str(listed.failure()))
            return False
        self.apply_objects(listed.unwrap())
        self.was_read = True
        return True

    def apply_objects(self, objects: Iterable[StoredObject]) -> None:
        """Add stored crashes to the board."""
        added = 0
        for stored in objects:
            if stored.key == CRASHES_KEY_PREFIX + self.node:
                self.own_version = stored.version
            try:
                added += self._apply(stored)
            except MALFORMED as error:
                self.log.error("malformed record of crashes", key=stored.key, error=repr(error))
        if added:
            self.log.info("crashes read", reports=added)

    def _apply(self, stored: StoredObject) -> int:
        now_ms = self.clock.now_ms()
        offset_ms = self.unix_ms() - now_ms
        added = 0
        for content, service, upstream, unix_ms in load_utf8_json(stored.value)["reports"]:
            at_ms = min(now_ms, int(unix_ms) - offset_ms)
            report = CrashReport(str(content), str(service), str(upstream), at_ms)
            added += self.board.apply(report, now_ms)
            if stored.key == CRASHES_KEY_PREFIX + self.node:
                self.record(report)
        return added

    def save(self) -> bool:
        """Write this gateway's part if it has changed; returns whether it is stored."""
        now_ms = self.clock.now_ms()
        condemned = set(self.board.condemned())
        stored_always = not self.condemned_only
        for seen, report in list(self.seen.items()):
            gone = not self.board.is_suspect(report.content)
            if gone or now_ms - report.at_ms >= EVIDENCE_MS:
                del self.seen[seen]
        offset_ms = self.unix_ms() - now_ms
        fields = [
            [report.content, report.service, report.upstream, report.at_ms + offset_ms]
            for report in self.seen.values()
            if stored_always or report.content in condemned
        ]
        signature = canonical_json([each[:3] for each in fields])
        if signature == (self.saved or canonical_json([])):
            return True
        key = CRASHES_KEY_PREFIX + self.node
        written = self.store.put(key, canonical_json({"reports": fields}), self.own_version)
        if isinstance(written, Failure):
            error = written.failure()
            if isinstance(error, VersionConflict):
                self.own_version = None if error.current is None else error.current.version
            if isinstance(error, StoreRejected):
                # The same reports would be rejected again.
                self.saved = signature
            self.log.warning("crashes not written", reason=str(error))
            return False
        self.own_version = written.unwrap().version
        self.saved = signature
        self.log.info("crashes written", reports=len(fields))
        return True
