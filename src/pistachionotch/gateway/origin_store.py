"""Stored history of stream origins, and the streams that each gateway has begun.

One object has the history. Each gateway has one object with its streams, which it writes only while
the history leaves more than one origin possible.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any

import attrs
from gevent.lock import BoundedSemaphore
from returns.result import Failure

from ..clock import Clock
from ..malformed import MALFORMED
from ..objects.api import ObjectStore, StoredObject, VersionConflict
from ..objects.values import ValueLimit
from ..software.history import UNREADABLE, Beginning, OriginHistory
from ..software.memory import StreamMemory
from ..software.origin import BegunStream, Origin
from ..software.records import history_bytes, read_history, read_streams, streams_bytes

ORIGINS_PREFIX = "origins/"
HISTORY_KEY = ORIGINS_PREFIX + "history"
GATEWAY_PREFIX = ORIGINS_PREFIX + "of/"
# Attempts to write an object that other gateways change at the same time.
MAX_CONFLICTS = 5
# Streams in one object, which then has about 600 KB.
MAX_RECORDED_STREAMS = 10_000


@attrs.frozen
class OriginRecords:
    """The history and the streams of all gateways, as of one read."""

    history: OriginHistory
    streams: dict[str, BegunStream]


@attrs.define
class OriginStore:
    """Reads and writes the objects about stream origins."""

    node: str
    store: ObjectStore
    clock: Clock
    unix_ms: Callable[[], int]
    log: Any
    # Version of this gateway's object; None if it does not exist.
    own_version: int | None = None
    # Whether the object of an earlier process of this gateway has been read.
    own_known: bool = False
    # Numbers of the reads that have started and whose result is ``last``.
    started_reads: int = 0
    finished_read: int = 0
    last: OriginRecords | None = None
    limit: ValueLimit = ValueLimit(0)
    read_lock: BoundedSemaphore = attrs.field(factory=BoundedSemaphore)

    def add_to_history(self, needed: Collection[Beginning]) -> OriginHistory | None:
        """Return the stored history once it has some beginnings; None if that is not confirmed."""

        def change(history: OriginHistory) -> bool:
            return history.add(needed)

        return self.change_history(change)

    def change_history(self, change: Callable[[OriginHistory], bool]) -> OriginHistory | None:
        """Apply a change to the stored history; returns None if that is not confirmed."""
        for _ in range(MAX_CONFLICTS):
            read = self.store.get(HISTORY_KEY)
            if isinstance(read, Failure):
                self.log.warning("history of origins not read", reason=str(read.failure()))
                return None
            stored = read.unwrap()
            history = self._parse_history(stored)
            if not change(history):
                return history
            version = None if stored is None else stored.version
            written = self.store.put(HISTORY_KEY, history_bytes(history), version)
            if not isinstance(written, Failure):
                return history
            error = written.failure()
            if not isinstance(error, VersionConflict):
                self.log.warning("history of origins not written", reason=str(error))
                return None
        self.log.warning("history of origins not written", reason="it changes too often")
        return None

    def _parse_history(self, stored: StoredObject | None) -> OriginHistory:
        if stored is None:
            return OriginHistory()
        try:
            return read_history(stored.value)
        except MALFORMED as error:
            self.log.error("malformed history of origins", error=repr(error))
            # What it said is lost, so every origin is possible until that has lapsed.
            return OriginHistory({UNREADABLE: self.unix_ms()})

    def save_streams(self, memory: StreamMemory, origins: frozenset[Origin]) -> bool:
        """Store this gateway's streams of some origins; returns whether that is confirmed."""
        key = GATEWAY_PREFIX + self.node
        for _ in range(MAX_CONFLICTS):
            if not self.own_known and not self._read_own(key, memory):
                return False
            value = self._streams_within_limit(memory, origins)
            written = self.store.put(key, value, self.own_version)
            if not isinstance(written, Failure):
                self.own_version = written.unwrap().version
                return True
            # An earlier process of this gateway, or an answer that was lost.
            self.own_known = False
            if not isinstance(written.failure(), VersionConflict):
                self.log.warning("begun streams not written", reason=str(written.failure()))
                return False
        self.log.warning("begun streams not written", reason="the object changes too often")
        return False

    def _streams_within_limit(self, memory: StreamMemory, origins: frozenset[Origin]) -> bytes:
        """Return the newest streams that fit into one object; their ids come from clients."""
        most = MAX_RECORDED_STREAMS
        while True:
            streams = memory.of_origins(origins, most)
            value = streams_bytes(streams, self._unix_offset_ms())
            if self.limit.allows(value) or not streams:
                return value
            most = len(streams) // 2
            self.log.warning("older begun streams left out", kept=most, size=len(value))

    def _read_own(self, key: str, memory: StreamMemory) -> bool:
        read = self.store.get(key)
        if isinstance(read, Failure):
            self.log.warning("begun streams not read", reason=str(read.failure()))
            return False
        stored = read.unwrap()
        self.own_version = None if stored is None else stored.version
        self.own_known = True
        if stored is not None:
            for stream_id, stream in self._parse_streams(stored).items():
                memory.remember(stream_id, stream)
        return True

    def _parse_streams(self, stored: StoredObject) -> dict[str, BegunStream]:
        try:
            return read_streams(stored.value, self._unix_offset_ms())
        except MALFORMED as error:
            self.log.error("malformed record of streams", key=stored.key, error=repr(error))
            return {}

    def _unix_offset_ms(self) -> int:
        return self.unix_ms() - self.clock.now_ms()

    def read_all(self) -> OriginRecords | None:
        """Return the history and all streams by a read that starts now or later.

        Calls that wait for the same read share it. None if the store can't be read.
        """
        wanted = self.started_reads + 1
        with self.read_lock:
            if self.finished_read >= wanted:
                return self.last
            self.started_reads += 1
            number = self.started_reads
            self.last = self._read_all()
            self.finished_read = number
            return self.last

    def _read_all(self) -> OriginRecords | None:
        read = self.store.list(ORIGINS_PREFIX)
        if isinstance(read, Failure):
            self.log.warning("origins not read", reason=str(read.failure()))
            return None
        history: OriginHistory | None = None
        streams: dict[str, BegunStream] = {}
        contradictory = set()
        for stored in read.unwrap():
            if stored.key == HISTORY_KEY:
                history = self._parse_history(stored)
            elif stored.key.startswith(GATEWAY_PREFIX):
                for stream_id, stream in self._parse_streams(stored).items():
                    if streams.setdefault(stream_id, stream).origin != stream.origin:
                        contradictory.add(stream_id)
        for stream_id in contradictory:
            self.log.error("two origins of one stream", stream=stream_id)
            del streams[stream_id]
        return OriginRecords(history or OriginHistory(), streams)
