"""Transfer of batches between owners: by a takeover, or by a handoff from an owner that stops."""

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
from ..malformed import MALFORMED
from ..measures import Measures
from ..objects.api import ObjectStore
from ..objects.odd_objects import OddObjects
from .log import LOGS_PREFIX, BatchLog, load_head, odd_batches
from .model import (
    BatchError,
    BatchErrorKind,
    BatchHead,
    BatchState,
    LogEntry,
    Owner,
    OwnerTerm,
    Submission,
)
from .owner import BatchOwner
from .owner_cache import UNAVAILABLE_RETRY_MS, OwnerCache
from .ownership import GatewayRecord
from .peers import PeerClient
from .run import BatchRun
from .tenure import first_listing_ms

# Maximum number of gateways that are asked to take a handoff, because the time of a drain is short.
MAX_SUCCESSORS = 2
# Added to the time limit of batches: a VM's clock may jump by seconds, and no item may be given up
# early.
CLOCK_MARGIN_MS = 10_000


@attrs.frozen
class OwnerChanged:
    """Result of a request for a batch that has got another owner in the meantime."""


# Batches of which a partly read log is kept. Each may hold the texts that it has read.
MAX_UNFINISHED_REPLAYS = 4


@attrs.define
class OwnershipTransfer:
    """Transfers batches between this process and other owners.

    Each change of owner is an entry of the batch's log, which only one process can write.
    """

    clock: Clock
    rng: random.Random
    local_owner: Owner
    store: ObjectStore
    owner: BatchOwner
    peers: PeerClient
    owner_cache: OwnerCache
    # Gateways that may run the batches of a key, best first, including this one.
    owner_candidates: Callable[[str], list[GatewayRecord]]
    log: Any
    measures: Measures
    locks: dict[str, BoundedSemaphore] = attrs.field(factory=dict)
    draining: bool = False
    # Batches whose log was read in part only, by their id, the oldest first.
    unfinished_replays: dict[str, BatchRun] = attrs.field(factory=dict)
    odd: OddObjects = attrs.field(factory=odd_batches)

    def hand_off(self, run: BatchRun) -> None:
        """Stop running a batch and hand it off to another gateway if one accepts it.

        Otherwise the next gateway that gets a request for it takes it over from the object API, and
        the text of its unfinished items is lost unless it was saved in the log.
        """
        if run.handing_off:
            return
        run.handing_off = True
        try:
            self._transfer(run)
        finally:
            run.handing_off = False

    def _transfer(self, run: BatchRun) -> None:
        # The next owner does not know that an earlier one may still answer reads.
        self.clock.sleep_ms(max(0, run.list_from_ms - self.clock.now_ms()))
        self.owner.release(run)
        with run.write_lock:
            # A pending entry may be in the log already, which this state does not include.
            if run.ended or run.owner != self.local_owner or run.log.pending is not None:
                return
            state = run.snapshot()
        ranked = self.owner_candidates(owner_key(run.head.submission))
        others = [gateway for gateway in ranked if gateway.address != self.local_owner.address]
        for successor in others[:MAX_SUCCESSORS]:
            accepted = self.peers.hand_off(successor.address, state)
            self.log.info(
                "batch handed on",
                batch=run.id,
                gateway=str(successor.address),
                owner=accepted.owner.node if accepted is not None else "",
                listed=len(state.listed),
                parts=len(state.parts),
            )
            if accepted is not None:
                self.owner_cache.learn(run.id, accepted)
                return

    def accept_handoff(self, state: BatchState) -> OwnerTerm | None:
        """Continue a batch of a gateway that stops; returns the new owner, None if that failed."""
        submission = state.head.submission
        catalog = self.owner.catalog()
        route = catalog.match(submission.host, submission.target) if catalog else None
        if route is None or self.draining:
            return None
        with self.locks.setdefault(submission.id, BoundedSemaphore()):
            run = self.local_run(submission.id)
            if run is None:
                run = self.new_run(state.head, route)
                run.restore(state, self.clock.now_ms())
                # The claim fails if another owner has written the next log entry in the meantime.
                if not isinstance(self._claim(run, state.head.owner, False), BatchRun):
                    return None
        return OwnerTerm(self.local_owner, run.term.term)

    def new_run(self, head: BatchHead, route: Route | None) -> BatchRun:
        """Return a new run of a stored batch, without listed results."""
        # The clocks of two nodes may differ; do not let the age become negative.
        accepted_ms = self.clock.now_ms() - max(0, unix_ms() - head.accepted_ms)
        give_up_ms = None
        if route and route.give_up_ms:
            give_up_ms = accepted_ms + route.give_up_ms + CLOCK_MARGIN_MS
        due_ms = accepted_ms + (route.due_ms if route else 0)
        log = BatchLog(self.store, head.submission.id, odd=self.odd)
        return BatchRun(head, log, head.owner, accepted_ms, due_ms, give_up_ms)

    def local_run(self, batch: str) -> BatchRun | None:
        """Return a batch if this process answers requests for it, otherwise None."""
        run = self.owner.runs.get(batch)
        if run is None or run.ended:
            return run
        if run.owner != self.local_owner or (run.stopped and not run.handing_off):
            return None
        return run

    def take_over(self, batch: str, lost: OwnerTerm, silent: bool = False) -> Any:
        """Become the owner of a batch unless its log names another one than the lost owner.

        ``silent`` says that the former owner did not answer and may still run.
        """
        with self.locks.setdefault(batch, BoundedSemaphore()):
            run = self.local_run(batch)
            if run is not None:
                return run
            found = self._replay_log(batch)
            if isinstance(found, BatchError):
                return found
            if found.ended:
                # The log of an ended batch does not change, so this process can serve reads of it.
                self.owner.runs[batch] = found
                gevent.spawn(self.owner_cache.announce, batch, found.term.term)
                return found
            found.failures_unknown = True
            self.owner_cache.record(batch, found.term)
            if found.term != lost and found.owner.node != self.local_owner.node:
                self.log.info(
                    "owner read from the log",
                    batch=batch,
                    owner=found.owner.node,
                    term=found.owner_term,
                    believed=lost.owner.node,
                    believed_term=lost.term,
                )
                gevent.spawn(self.owner_cache.correct, batch, found.term)
                return OwnerChanged()
            if self.draining:
                return BatchError(BatchErrorKind.UNAVAILABLE, "draining", 0)
            return self._claim(found, found.owner, silent)

    def _replay_log(self, batch: str) -> BatchRun | BatchError:
        """Read a batch and its log; a failed read is continued by the next call.

        Large texts take tens of entries, so reading them all again after each failure may take
        longer than the object API answers without one.
        """
        run = self.unfinished_replays.pop(batch, None) or self._load_run(batch)
        if isinstance(run, BatchError):
            return run
        while True:
            read = run.log.read_next()
            if isinstance(read, Failure):
                self.unfinished_replays[batch] = run
                if len(self.unfinished_replays) > MAX_UNFINISHED_REPLAYS:
                    del self.unfinished_replays[next(iter(self.unfinished_replays))]
                return BatchError(
                    BatchErrorKind.UNAVAILABLE, str(read.failure()), UNAVAILABLE_RETRY_MS
                )
            entry = read.unwrap()
            if entry is None:
                return run
            try:
                run.apply(entry, self.clock.now_ms())
            except MALFORMED as error:
                # For example a result whose pieces are missing.
                self.odd.report(f"{LOGS_PREFIX}{batch}", run.log.position - 1, error)
                return BatchError(
                    BatchErrorKind.UNAVAILABLE, "its log can't be read", UNAVAILABLE_RETRY_MS
                )

    def _load_run(self, batch: str) -> BatchRun | BatchError:
        loaded = load_head(self.store, batch, self.odd)
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
        return self.new_run(head, route)

    def _claim(self, run: BatchRun, lost: Owner, silent: bool) -> Any:
        token = f"{self.rng.getrandbits(64):016x}"
        # The lost owner may itself have waited for a silent one before it.
        silent = silent or run.former_silent
        claim = LogEntry(token=token, owner=self.local_owner, former_silent=silent)
        while not run.ended:
            started_ms = self.clock.now_ms()
            appended = run.log.append(claim)
            if isinstance(appended, Failure):
                return BatchError(
                    BatchErrorKind.UNAVAILABLE, str(appended.failure()), UNAVAILABLE_RETRY_MS
                )
            entry = appended.unwrap()
            run.apply(entry, self.clock.now_ms())
            if entry.token == token:
                now_ms = self.clock.now_ms()
                run.tenure.confirm(started_ms, now_ms)
                run.list_from_ms = first_listing_ms(now_ms, silent)
                break
            if entry.owner is not None:
                self.owner_cache.record(run.id, run.term)
                return OwnerChanged()
        self.owner_cache.record(run.id, run.term)
        gevent.spawn(self.owner_cache.announce, run.id, run.term.term)
        self.measures.count("take_overs", "batch")
        self.log.warning(
            "batch taken over",
            batch=run.id,
            former=lost.node,
            former_silent=silent,
            listed=len(run.listed),
            total=len(run.progress),
            # Texts of gateways that did not record their software version.
            discarded_texts=run.discarded_texts,
        )
        if run.ended:
            self.owner.runs[run.id] = run
        else:
            self.owner.add(run)
        return run


def owner_key(submission: Submission) -> str:
    """Return the key that batches with the same owner share: the model, if there is one."""
    return submission.model or submission.id


def unix_ms() -> int:
    """Return the wall-clock time, which may jump and differ between nodes."""
    return time.time_ns() // 1_000_000
