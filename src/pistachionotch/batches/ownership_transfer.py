"""How a batch passes from one owner to the next: by a take-over, or handed on by one that stops."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import attrs
import gevent
from gevent.lock import BoundedSemaphore
from returns.result import Failure

from ..clock import Clock
from ..gateway.catalog import Route
from ..measures import Measures
from ..objects.api import ObjectStore
from .log import BatchLog, load_head
from .model import (
    BatchError,
    BatchErrorKind,
    BatchHead,
    BatchState,
    LogEntry,
    Owner,
    Submission,
)
from .owner import BatchOwner
from .owner_cache import OwnerCache
from .ownership import GatewayRecord
from .peers import PeerClient
from .run import BatchRun

# Gateways that are asked to go on with a batch; a drain has little time left.
MAX_SUCCESSORS = 2
# The time of day of a VM may jump by seconds, and no item is given up before its time.
CLOCK_MARGIN_MS = 10_000
# Retry-After while it is not known who owns a batch.
UNAVAILABLE_RETRY_MS = 300


@attrs.frozen
class OwnerChanged:
    """Say that another process has become the owner meanwhile."""


@attrs.define
class OwnershipTransfer:
    """Make this process the owner of batches, or another one.

    Each change of owner is an entry of the batch's log, which only one process can write.
    """

    clock: Clock
    rng: random.Random
    local_owner: Owner
    store: ObjectStore
    owner: BatchOwner
    peers: PeerClient
    owner_cache: OwnerCache
    # Gateways that may run the batches of a key, best first; this one is among them.
    owner_candidates: Callable[[str], list[GatewayRecord]]
    log: Any
    measures: Measures
    locks: dict[str, BoundedSemaphore] = attrs.field(factory=dict)
    draining: bool = False

    def hand_off(self, run: BatchRun) -> None:
        """Stop running a batch, and let another gateway go on with it if one can.

        Otherwise the gateway that is asked for it next takes it over from the object API, without
        the parts of its unfinished items.
        """
        run.handing_off = True
        try:
            self._transfer(run)
        finally:
            run.handing_off = False

    def _transfer(self, run: BatchRun) -> None:
        self.owner.release(run)
        with run.write_lock:
            # An entry of unknown outcome may stand in the log already.
            if run.ended or run.owner != self.local_owner or run.log.pending is not None:
                return
            state = run.snapshot()
        ranked = self.owner_candidates(owner_key(run.head.submission))
        others = [gateway for gateway in ranked if gateway.address != self.local_owner.address]
        for successor in others[:MAX_SUCCESSORS]:
            owner = self.peers.hand_off(successor.address, state)
            self.log.info(
                "batch handed on",
                batch=run.id,
                gateway=str(successor.address),
                owner=owner.node if owner is not None else "",
                listed=len(state.listed),
                parts=len(state.parts),
            )
            if owner is not None:
                self.owner_cache.remember(run.id, owner)
                return

    def accept_handoff(self, state: BatchState) -> Owner | None:
        """Go on with a batch of a gateway that stops; returns its owner, None if that failed."""
        submission = state.head.submission
        catalog = self.owner.catalog()
        route = catalog.match(submission.host, submission.target) if catalog else None
        if route is None or self.draining:
            return None
        with self.locks.setdefault(submission.id, BoundedSemaphore()):
            if self.local(submission.id) is None:
                run = self.new_run(state.head, route)
                run.restore(state, self.clock.now_ms())
                # The next entry of the log decides, so no other owner can have written meanwhile.
                if not isinstance(self._claim(run, state.head.owner), BatchRun):
                    return None
        return self.local_owner

    def new_run(self, head: BatchHead, route: Route | None) -> BatchRun:
        """Return a batch as its head describes it, with nothing listed."""
        # The clocks of two nodes may differ; an age is never negative.
        accepted_ms = self.clock.now_ms() - max(0, unix_ms() - head.accepted_ms)
        give_up_ms = None
        if route and route.give_up_ms:
            give_up_ms = accepted_ms + route.give_up_ms + CLOCK_MARGIN_MS
        due_ms = accepted_ms + (route.due_ms if route else 0)
        log = BatchLog(self.store, head.submission.id)
        return BatchRun(head, log, head.owner, accepted_ms, due_ms, give_up_ms)

    def local(self, batch: str) -> BatchRun | None:
        """Return a batch for which this process answers."""
        run = self.owner.runs.get(batch)
        if run is None or (run.stopped and not (run.ended or run.handing_off)):
            return None
        return run

    def take_over(self, batch: str, lost: Owner) -> Any:
        """Become the owner unless another process already did."""
        with self.locks.setdefault(batch, BoundedSemaphore()):
            run = self.local(batch)
            if run is not None:
                return run
            found = self._replay(batch)
            if isinstance(found, BatchError):
                return found
            if found.ended:
                # Its log does not change any more, so others may read it here.
                self.owner.runs[batch] = found
                gevent.spawn(self.owner_cache.announce, batch)
                return found
            if found.owner != lost and found.owner.node != self.local_owner.node:
                self.owner_cache.remember(batch, found.owner)
                return OwnerChanged()
            if self.draining:
                return BatchError(BatchErrorKind.UNAVAILABLE, "draining", 0)
            return self._claim(found, lost)

    def _replay(self, batch: str) -> BatchRun | BatchError:
        loaded = load_head(self.store, batch)
        if isinstance(loaded, Failure):
            return BatchError(
                BatchErrorKind.UNAVAILABLE, str(loaded.failure()), UNAVAILABLE_RETRY_MS
            )
        head = loaded.unwrap()
        if head is None:
            return BatchError(BatchErrorKind.NOT_FOUND, "no such batch")
        submission = head.submission
        catalog = self.owner.catalog()
        route = catalog.match(submission.host, submission.target) if catalog else None
        run = self.new_run(head, route)
        while True:
            read = run.log.read_next()
            if isinstance(read, Failure):
                return BatchError(
                    BatchErrorKind.UNAVAILABLE, str(read.failure()), UNAVAILABLE_RETRY_MS
                )
            entry = read.unwrap()
            if entry is None:
                return run
            run.apply(entry, self.clock.now_ms())

    def _claim(self, run: BatchRun, lost: Owner) -> Any:
        token = f"{self.rng.getrandbits(64):016x}"
        while not run.ended:
            appended = run.log.append(LogEntry(token=token, owner=self.local_owner))
            if isinstance(appended, Failure):
                return BatchError(
                    BatchErrorKind.UNAVAILABLE, str(appended.failure()), UNAVAILABLE_RETRY_MS
                )
            entry = appended.unwrap()
            run.apply(entry, self.clock.now_ms())
            if entry.token == token:
                break
            if entry.owner is not None:
                self.owner_cache.remember(run.id, entry.owner)
                return OwnerChanged()
        self.owner_cache.entries.pop(run.id, None)
        gevent.spawn(self.owner_cache.announce, run.id)
        self.measures.count("take_overs", "batch")
        self.log.warning(
            "batch taken over",
            batch=run.id,
            former=lost.node,
            listed=len(run.listed),
            total=len(run.progress),
        )
        if run.ended:
            self.owner.runs[run.id] = run
        else:
            self.owner.add(run)
        return run


def owner_key(submission: Submission) -> str:
    """Return what the batches that should have one owner have in common."""
    return submission.model or submission.id


def unix_ms() -> int:
    """Return the time of day, which may jump and differ between nodes."""
    return time.time_ns() // 1_000_000
