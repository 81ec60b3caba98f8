"""Calls under which upstreams crashed, as far as an entry knows them.

Entries learn from agents whether an upstream crashed, and from each other through the object API.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import attrs
import gevent

from ..clock import MS_PER_SECOND, Clock
from ..gateway.crash_store import CRASHES_KEY_PREFIX, CrashStore
from ..objects.api import ObjectStore
from ..objects.cache import ObjectCache
from ..outcomes import Execution
from ..quarantine.board import CrashBoard, CrashReport, Ruling, Stakes, Verdict
from ..quarantine.fingerprint import fingerprint
from .calls import Call
from .links import AgentLink
from .table import LinkTable

# Headers that may differ between the attempts of one caller.
ATTEMPT_HEADERS = frozenset(
    {"x-request-timeout-ms", "idempotency-key", "host", "content-length", "connection"}
)
# Long-poll time for what other entries have stored, and pause after a failed read.
WATCH_MS = 3_000
RETRY_PAUSE_MS = 1_000
# Longest wait of a failed call for the object API.
SAVE_WAIT_MS = 300
UNPROCESSABLE = 422
UNAVAILABLE = 503


def identify(call: Call) -> str:
    """Return the identity of a call across the attempts of its caller."""
    headers = [header for header in call.headers if header[0].lower() not in ATTEMPT_HEADERS]
    return fingerprint(call.method, call.target, call.path, headers, call.body)


def is_owed(call: Call) -> bool:
    """Return whether a call generates a sample of a step, which is owed whatever crashes."""
    return bool(call.retain)


@attrs.define
class EntrySuspects:
    """Rules on calls by the crashes that this entry and others have seen."""

    clock: Clock
    table: LinkTable
    log: Any
    board: CrashBoard = attrs.field(factory=CrashBoard)
    # None if nothing is shared.
    store: CrashStore | None = None

    def rule(self, call: Call) -> Ruling:
        """Return what may be done with a call."""
        if not self.board.by_content or is_owed(call):
            return Ruling(Verdict.ORDINARY)
        content = identify(call)
        now_ms = self.clock.now_ms()
        listed = self.table.serving(call.target)
        up = [link for link in listed if not self.board.is_down(link.member.node, now_ms)]
        stakes = Stakes(len(listed), len(up))
        ruling = self.board.rule(content, call.target, stakes, now_ms)
        if ruling.verdict is not Verdict.ORDINARY:
            self.log.info(
                "suspect ruled",
                request=call.request_id,
                content=content,
                target=call.target,
                verdict=ruling.verdict.value,
                reason=ruling.reason,
                crashes=ruling.crashes,
                up=stakes.up,
                listed=stakes.listed,
                retry_after_ms=ruling.retry_after_ms,
            )
        return ruling

    def down_agents(self) -> frozenset[str]:
        """Return the agents whose upstreams crashed lately."""
        now_ms = self.clock.now_ms()
        crashed = list(self.board.crashes)
        return frozenset(agent for agent in crashed if self.board.is_down(agent, now_ms))

    def record_crash(self, call: Call, link: AgentLink) -> None:
        """Note that an upstream crashed while it ran a call."""
        now_ms = self.clock.now_ms()
        content = "" if is_owed(call) else identify(call)
        report = CrashReport(content, call.target, link.member.node, now_ms)
        self.board.apply(report, now_ms)
        self.log.warning(
            "upstream crashed",
            request=call.request_id,
            content=report.content,
            agent=report.upstream,
            target=call.target,
        )
        if self.store is not None and content:
            self.store.record(report)
            # Other entries should know before the caller gets its answer and tries again.
            gevent.spawn(self.store.save).join(SAVE_WAIT_MS / MS_PER_SECOND)

    def record_success(self, call: Call, agent: str) -> None:
        """Note that a call was served whole."""
        self.board.record_alive(agent)
        if not self.board.by_content or is_owed(call):
            return
        content = identify(call)
        if self.board.is_suspect(content):
            now_ms = self.clock.now_ms()
            self.board.apply(CrashReport(content, "", "", now_ms), now_ms)
            self.log.info("suspect exonerated", request=call.request_id, content=content)


@attrs.define
class SharedCrashes:
    """Task that keeps an entry's board and its object in the object API current."""

    store: CrashStore
    cache: ObjectCache
    clock: Clock

    def run(self) -> None:
        """Follow the objects of all entries, and write this entry's object, forever."""
        while True:
            changes = self.cache.change_count
            if not self.cache.refresh(WATCH_MS):
                self.clock.sleep_ms(RETRY_PAUSE_MS)
                continue
            if self.cache.change_count != changes:
                self.store.apply_objects(self.cache.objects.values())
            self.store.board.evict(self.clock.now_ms())
            self.store.save()


def share_crashes(
    node: str, object_store: ObjectStore, suspects: EntrySuspects, unix_ms: Callable[[], int]
) -> SharedCrashes:
    """Return the task that shares what an entry observes."""
    clock = suspects.clock
    store = CrashStore(
        node, object_store, clock, unix_ms, suspects.board, suspects.log, condemned_only=False
    )
    suspects.store = store
    return SharedCrashes(store, ObjectCache(object_store, CRASHES_KEY_PREFIX, clock=clock), clock)


def unix_ms() -> int:
    """Return Unix time in ms."""
    return int(time.time() * MS_PER_SECOND)


def refusal_status(ruling: Ruling, execution: Execution) -> int:
    """Return the HTTP status of a call that must not be tried."""
    final = ruling.verdict is Verdict.CONDEMNED and execution is Execution.NOT_RUN
    return UNPROCESSABLE if final else UNAVAILABLE
