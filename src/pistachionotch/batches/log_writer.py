"""Writes the log of the batches that this process owns, and learns from it who the owner is."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs
import gevent
from returns.result import Failure

from ..clock import MS_PER_SECOND, Clock
from ..measures import Measures
from ..objects.api import StoreRejected
from ..objects.values import json_size
from .listing import should_list
from .model import LogEntry, Owner
from .records import entry_bytes
from .run import MIN_ENTRY_BYTES, BatchRun
from .tenure import HANDOFF_TENURE_MS, TENURE_MS

# Interval at which the task that lists results looks whether an entry is due.
POLL_INTERVAL_MS = 50
# Delay before a log entry is written again after the object API failed.
LISTING_RETRY_MS = 250
# Maximum time that a read waits for the confirmation that this process still owns the batch.
CONFIRM_WAIT_MS = 300


@attrs.define
class LogWriter:
    """Lists results, ends batches and confirms the ownership of batches in their logs."""

    clock: Clock
    rng: random.Random
    local_owner: Owner
    log: Any
    measures: Measures
    # Stops the items of a batch that is not open any more.
    stop_items: Callable[[BatchRun], None]

    def may_answer(self, run: BatchRun) -> bool:
        """Return whether this process may answer reads with its state of a batch.

        Confirms the ownership first if necessary, which takes up to ``CONFIRM_WAIT_MS``.
        """
        if run.final or self._holds(run):
            return True
        gevent.spawn(self.confirm, run).join(CONFIRM_WAIT_MS / MS_PER_SECOND)
        return run.final or self._holds(run)

    def _holds(self, run: BatchRun) -> bool:
        if run.owner != self.local_owner:
            return False
        max_age_ms = HANDOFF_TENURE_MS if run.handing_off else TENURE_MS
        return run.tenure.holds(self.clock.now_ms(), max_age_ms)

    def confirm(self, run: BatchRun) -> None:
        """Check in its log whether a batch still belongs to this process."""
        with run.write_lock:
            if run.ended or run.owner != self.local_owner:
                return
            started_ms = self.clock.now_ms()
            if run.tenure.confirmed_ms == started_ms or not run.tenure.begin_attempt(started_ms):
                return
            if run.log.pending is not None:
                self._append_entry(run, run.log.pending)
                return
            while run.owner == self.local_owner:
                started_ms = self.clock.now_ms()
                read = run.log.read_next()
                if isinstance(read, Failure):
                    self._log_unconfirmed(run, str(read.failure()))
                    return
                entry = read.unwrap()
                if entry is None:
                    self._record_confirmation(run, started_ms)
                    break
                run.apply(entry, self.clock.now_ms())
        self.stop_if_closed(run)

    def _record_confirmation(self, run: BatchRun, started_ms: int) -> None:
        run.tenure.confirm(started_ms, self.clock.now_ms())
        if run.unconfirmed_logged:
            run.unconfirmed_logged = False
            self.log.info("ownership confirmed", batch=run.id, entry=run.log.position)

    def _log_unconfirmed(self, run: BatchRun, reason: str) -> None:
        """Log that an ownership cannot be confirmed; repeated only after it was confirmed again."""
        self.measures.count("ownership", "not confirmed")
        confirmed_ms = run.tenure.confirmed_ms
        if run.tenure.holds(self.clock.now_ms()) or run.unconfirmed_logged:
            return
        run.unconfirmed_logged = True
        self.log.warning(
            "ownership not confirmed",
            batch=run.id,
            entry=run.log.position,
            age_ms=None if confirmed_ms is None else self.clock.now_ms() - confirmed_ms,
            # A pause of this process that began after the last confirmation.
            paused_ms=run.tenure.pauses.paused_ms if confirmed_ms is None else 0,
            reason=reason,
        )

    def list_results(self, run: BatchRun) -> None:
        """Write results to the log until the batch is complete, ended, stopped or lost."""
        while run.open:
            if run.tenure.renewal_due(self.clock.now_ms()):
                self.confirm(run)
            if not should_list(run.listing_state(), self.clock.now_ms()):
                if len(run.listed) == len(run.progress):
                    return
                self.clock.sleep_ms(POLL_INTERVAL_MS)
                continue
            if not self.list_once(run):
                self.clock.sleep_ms(LISTING_RETRY_MS)

    def may_list(self, run: BatchRun) -> bool:
        """Return whether results of a batch may be listed, as far as former owners matter."""
        return run.open and self.clock.now_ms() >= run.list_from_ms

    def list_once(self, run: BatchRun) -> bool:
        """Write one log entry if there is anything to list; returns False if the write failed."""
        with run.write_lock:
            # Another task may have written the results while this one waited for the lock.
            if not run.open:
                return True
            for item in run.skip_large_texts():
                self.log.warning("text not saved, it is too large", batch=run.id, item=item)
            entry = run.next_entry(f"{self.rng.getrandbits(64):016x}")
            if not (entry.results or entry.texts or entry.piece):
                return True
            return self._append_entry(run, entry)

    def _append_entry(self, run: BatchRun, entry: LogEntry) -> bool:
        started_ms = self.clock.now_ms()
        token = (run.log.pending or entry).token
        appended = run.log.append(entry)
        if isinstance(appended, Failure) and isinstance(appended.failure(), StoreRejected):
            return self._handle_rejection(run, entry, str(appended.failure()))
        if isinstance(appended, Failure):
            self.measures.count("listings", "failed")
            self.log.warning("results not listed", batch=run.id, reason=str(appended.failure()))
            return False
        found = appended.unwrap()
        run.apply(found, self.clock.now_ms())
        if found.token == token:
            self._record_confirmation(run, started_ms)
        self.log.info(
            "results listed",
            batch=run.id,
            entry=run.log.position - 1,
            results=len(found.results),
            texts=len(found.texts),
            listed=len(run.listed),
            total=len(run.progress),
        )
        self.stop_if_closed(run)
        return True

    def _handle_rejection(self, run: BatchRun, entry: LogEntry, reason: str) -> bool:
        """Make smaller entries after one that the object API never accepts.

        An item whose smallest entry is rejected ends as a failure. Returns whether the next entry
        will be another one.
        """
        size = len(entry_bytes(entry))
        self.measures.count("listings", "rejected")
        if size > MIN_ENTRY_BYTES:
            run.entry_bytes = max(MIN_ENTRY_BYTES, min(run.entry_bytes, size) // 2)
            self.log.warning(
                "entry rejected, smaller ones follow",
                batch=run.id,
                size=size,
                entry_bytes=run.entry_bytes,
                reason=reason,
            )
            return True
        failed = "" if entry.piece is None else entry.piece.id
        done = [result for result in entry.results if result.done]
        if done:
            failed = max(done, key=lambda result: json_size(result.text)).id
        if failed:
            run.fail_unlisted(failed)
            self.log.error("result not storable, the item fails", batch=run.id, item=failed)
        for part in entry.texts:
            run.progress[part.id].saved = True
            self.log.error("text not storable", batch=run.id, item=part.id)
        return bool(failed or entry.texts)

    def stop_if_closed(self, run: BatchRun) -> None:
        """Stop the items of a batch that has ended, was stopped or has another owner."""
        if run.owner != self.local_owner and not run.stopped:
            run.stopped = True
            self.log.warning(
                "batch taken over by another owner",
                batch=run.id,
                owner=run.owner.node,
                entry=run.log.position - 1,
                last_pause_ms=run.tenure.pauses.paused_ms,
                unlisted=len(run.unlisted),
            )
        if not run.open:
            self.stop_items(run)

    def end(self, run: BatchRun) -> bool:
        """End a batch permanently; returns False if the end may not be stored."""
        with run.write_lock:
            while not run.ended and run.owner == self.local_owner:
                token = f"{self.rng.getrandbits(64):016x}"
                end = LogEntry(token=token, ended=True)
                # The log may write a pending results entry first; the end is then appended next.
                appended = run.log.append(end)
                if isinstance(appended, Failure) and run.log.pending is not end:
                    run.log.supersede(end)
                    appended = run.log.append(end)
                if isinstance(appended, Failure):
                    self.log.warning(
                        "end of batch not stored", batch=run.id, reason=str(appended.failure())
                    )
                    return False
                run.apply(appended.unwrap(), self.clock.now_ms())
        self.stop_if_closed(run)
        return run.ended
