"""Watch on the object store that keeps the configuration and the directory current."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure

from ..clock import Clock
from ..config.revisions import Revisions
from ..membership.directory import Directory, decode_members
from ..objects.api import ObjectStore, WatchExpired

CONTROL_PREFIX = "control/"
CONFIG_KEY = "control/config"
DIRECTORY_PREFIX = "control/directory/"
WATCH_TIMEOUT_MS = 30_000
RETRY_MIN_MS = 200
RETRY_MAX_MS = 3000


@attrs.define
class ControlWatch:
    """Watches ``control/`` by long polling and applies configuration and directory changes."""

    store: ObjectStore
    clock: Clock
    revisions: Revisions
    directory: Directory
    on_config: Callable[[], None]
    on_directory: Callable[[], None]
    log: Any
    revision: int = -1
    store_reached_ms: int = -1

    def run(self) -> None:
        """Watch the store until the greenlet is killed; retry with backoff during outages."""
        pause_ms = RETRY_MIN_MS
        while True:
            if self._poll():
                pause_ms = RETRY_MIN_MS
                continue
            self.clock.sleep_ms(pause_ms)
            pause_ms = min(2 * pause_ms, RETRY_MAX_MS)

    def _poll(self) -> bool:
        if self.revision < 0:
            return self._load_snapshot()
        batch = self.store.watch(CONTROL_PREFIX, self.revision, WATCH_TIMEOUT_MS)
        if isinstance(batch, Failure):
            if isinstance(batch.failure(), WatchExpired):
                self.revision = -1
                return True
            self.log.info("store not reached", reason=str(batch.failure()))
            return False
        self.store_reached_ms = self.clock.now_ms()
        for change in batch.unwrap().changes:
            if change.value is None:
                continue
            self._apply(change.key, change.version, change.value)
        self.revision = batch.unwrap().revision
        return True

    def _load_snapshot(self) -> bool:
        snapshot = self.store.snapshot(CONTROL_PREFIX)
        if isinstance(snapshot, Failure):
            self.log.info("store not reached", reason=str(snapshot.failure()))
            return False
        self.store_reached_ms = self.clock.now_ms()
        for stored in snapshot.unwrap().objects:
            self._apply(stored.key, stored.version, stored.value)
        self.revision = snapshot.unwrap().revision
        return True

    def _apply(self, key: str, version: int, value: bytes) -> None:
        if key == CONFIG_KEY:
            before = self.revisions.revision
            self.revisions.offer(version, value)
            if self.revisions.revision > before:
                self.on_config()
            return
        if not key.startswith(DIRECTORY_PREFIX):
            return
        try:
            members = decode_members(value)
        except ValueError as error:
            self.log.warning("directory object not read", key=key, reason=str(error))
            return
        self.directory.apply_zone(key.removeprefix(DIRECTORY_PREFIX), version, members)
        self.on_directory()
