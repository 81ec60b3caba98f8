"""State of a batch in the process that runs it."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from ..objects.values import json_size
from .dispatch import WaitingItem, optional_groups
from .listing import ListingState
from .log import BatchLog
from .model import (
    BatchHead,
    BatchState,
    ItemResult,
    LogEntry,
    Owner,
    OwnerTerm,
    PartialResult,
    ResultPage,
)
from .moves import RunningItem
from .pieces import LargeTexts
from .progress import ItemProgress
from .records import result_fields
from .rewards import WaitingReward
from .tenure import Tenure

# Maximum size of the texts of a page with more than one result, as JSON; the platform allows 1 MB.
MAX_PAGE_BYTES = 900_000
# Maximum size of the results or texts of a log entry, as JSON. A larger text is stored in pieces.
MAX_ENTRY_BYTES = 600_000
# Entries are not made smaller than this when the object API rejects them.
MIN_ENTRY_BYTES = 4_096
# Size of an entry without its text.
ENTRY_OVERHEAD_BYTES = 1_024


@attrs.define
class BatchRun:
    """A batch with its listed results and, in its owner, the progress of its items."""

    head: BatchHead
    log: BatchLog
    owner: Owner
    # Times of this process's monotonic clock.
    accepted_ms: int
    due_ms: int
    give_up_ms: int | None
    progress: dict[str, ItemProgress] = attrs.field(init=False)
    listed: list[ItemResult] = attrs.field(factory=list)
    unlisted: list[ItemResult] = attrs.field(factory=list)
    oldest_unlisted_ms: int = 0
    ended: bool = False
    # Number of log entries up to the one that names the owner.
    owner_term: int = 0
    # Set when this process must not run the batch, because of another owner or a drain.
    stopped: bool = False
    # Set during a handoff, while this process still answers requests for listed results.
    handing_off: bool = False
    changed: Event = attrs.field(factory=Event)
    # How long this process may act as the owner.
    tenure: Tenure = attrs.field(factory=Tenure)
    # Whether the log says that the ownership is not confirmed.
    unconfirmed_logged: bool = False
    # Whether items may have failed at former owners that did not hand their progress over.
    failures_unknown: bool = False
    # Whether a silent former owner may still answer reads; the log lists nothing since its loss.
    former_silent: bool = False
    # Earliest time to list results, after a takeover from an owner that may still answer reads.
    list_from_ms: int = 0
    # Maximum size of the results or texts of the next log entries; reduced after a rejection.
    entry_bytes: int = MAX_ENTRY_BYTES
    texts: LargeTexts = attrs.field(factory=LargeTexts)
    # Sizes of the texts of the first listed results, as JSON.
    listed_bytes: list[int] = attrs.field(factory=list)
    # Number of stored texts that were discarded, since it is not known what generated them.
    discarded_texts: int = 0
    # Held from building the next log entry until its outcome is applied.
    write_lock: BoundedSemaphore = attrs.field(factory=BoundedSemaphore)
    optional: frozenset[str] = attrs.field(init=False)
    group_sizes: dict[str, int] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        submission = self.head.submission
        self.progress = {item.id: ItemProgress(item) for item in submission.items}
        expected: dict[str, int] = {}
        self.group_sizes = {}
        for item in submission.items:
            expected[item.group] = max(expected.get(item.group, 0), item.expected_tokens)
            self.group_sizes[item.group] = self.group_sizes.get(item.group, 0) + 1
        self.optional = optional_groups(expected, submission.wanted_groups)

    @property
    def id(self) -> str:
        """Return the batch's identifier."""
        return self.head.submission.id

    @property
    def term(self) -> OwnerTerm:
        """Return the owner according to the log, as far as it was read.

        Nothing replaces a process that answers for an ended batch, so its term is the log's end.
        """
        return OwnerTerm(self.owner, self.log.position if self.ended else self.owner_term)

    @property
    def open(self) -> bool:
        """Whether items may start."""
        return not (self.ended or self.stopped)

    @property
    def final(self) -> bool:
        """Whether the listed results are the same at whichever owner, now and later."""
        return self.ended or len(self.listed) == len(self.progress)

    def waiting(
        self,
        priority: int = 0,
        now_ms: int = 0,
        spills_over: bool = False,
        expected_events: Callable[[int], float] = lambda _tokens: 0.0,
    ) -> list[WaitingItem]:
        """Return the items that may start, with the priority of their route.

        With ``spills_over`` they have what decides whether they leave their zone.
        ``expected_events`` estimates the length of a text from its client's estimate in tokens.
        """
        if not self.open:
            return []
        submission = self.head.submission
        has_due_time = spills_over and self.due_ms > self.accepted_ms
        left_ms = self.due_ms - now_ms if has_due_time else None
        return [
            WaitingItem(
                batch=self.id,
                item=state.item.id,
                group=state.item.group,
                due_ms=self.due_ms,
                model=submission.model,
                min_version=submission.min_version,
                expected_tokens=state.item.expected_tokens,
                started=bool(state.texts),
                optional=state.item.group in self.optional,
                priority=priority,
                account=submission.account,
                avoid=frozenset({*state.avoid, state.moved_from} - {""}),
                origin=state.origin,
                events=len(state.texts),
                waited_ms=now_ms - state.waiting_since_ms,
                moved_bytes=len(state.item.body) + state.characters if spills_over else 0,
                left_ms=left_ms,
                expected_events=expected_events(state.item.expected_tokens),
            )
            for state in self.progress.values()
            if not (state.running or state.finished or state.complete)
        ]

    def waiting_rewards(self) -> list[WaitingReward]:
        """Return the items that wait for their reward call."""
        if not self.open:
            return []
        generating = dict(self.group_sizes)
        for state in self.progress.values():
            if state.finished or state.complete:
                generating[state.item.group] -= 1
        return [
            WaitingReward(
                batch=self.id,
                item=state.item.id,
                due_ms=self.due_ms,
                optional=state.item.group in self.optional,
                generating=generating[state.item.group],
                complete_ms=state.complete_ms,
                retry_at_ms=state.reward_retry_at_ms,
            )
            for state in self.progress.values()
            if state.complete and not (state.reward_call_running or state.finished)
        ]

    def running(
        self, now_ms: int, expected_events: Callable[[int], float] = lambda _tokens: 0.0
    ) -> list[RunningItem]:
        """Return the items that are being generated; ``expected_events`` as for ``waiting``."""
        submission = self.head.submission
        return [
            RunningItem(
                batch=self.id,
                item=state.item.id,
                instance=state.instance,
                model=submission.model,
                min_version=submission.min_version,
                due_ms=self.due_ms,
                started_ms=state.started_ms,
                optional=state.item.group in self.optional,
                group=state.item.group,
                events=len(state.texts),
                silent_ms=now_ms - state.last_event_ms if state.texts else 0,
                origin=state.origin,
                expected_events=expected_events(state.item.expected_tokens),
            )
            for state in self.progress.values()
            if state.running
        ]

    def mark_complete(self, state: ItemProgress, now_ms: int) -> None:
        """Record that an item's text is complete and its reward is missing."""
        state.mark_complete(now_ms)

    def finish(self, state: ItemProgress, done: bool, now_ms: int, reward: str = "") -> None:
        """Record the final state of an item, whose result then waits to be listed."""
        state.finished = True
        result = ItemResult(id=state.item.id, done=False)
        if done:
            result = ItemResult(
                id=state.item.id,
                done=True,
                text="\n".join(state.texts),
                versions=tuple(state.versions),
                reward=reward,
            )
        state.texts.clear()
        if not self.unlisted:
            self.oldest_unlisted_ms = now_ms
        self.unlisted.append(result)

    def snapshot(self) -> BatchState:
        """Return the state of the batch for its next owner."""
        parts = (
            state.partial_result()
            for state in self.progress.values()
            if not state.finished and (state.texts or state.failures)
        )
        return BatchState(
            head=attrs.evolve(self.head, owner=self.owner),
            position=self.log.position,
            listed=tuple(self.listed),
            unlisted=tuple(self.unlisted),
            parts=tuple(parts),
        )

    def restore(self, state: BatchState, now_ms: int) -> None:
        """Restore the state that the former owner handed off; the run must be new."""
        self.log.position = state.position
        self.listed = list(state.listed)
        self.unlisted = list(state.unlisted)
        self.oldest_unlisted_ms = now_ms
        for result in (*state.listed, *state.unlisted):
            self.progress[result.id].finished = True
        for part in state.parts:
            self._restore_part(part, now_ms)

    def _restore_part(self, part: PartialResult, now_ms: int) -> None:
        restored = self.progress[part.id].restore(part, now_ms)
        self.discarded_texts += not restored and bool(part.texts)

    def listing_state(self) -> ListingState:
        """Return the facts that decide whether to write a log entry now."""
        return ListingState(
            unlisted=len(self.unlisted),
            oldest_unlisted_ms=self.oldest_unlisted_ms,
            completes=self._listing_completes(),
            from_ms=self.list_from_ms,
            oldest_unsaved_ms=min(
                (state.complete_ms for state in self._unsaved_texts()), default=None
            ),
        )

    def _unsaved_texts(self) -> list[ItemProgress]:
        return [
            state
            for state in self.progress.values()
            if state.complete and not (state.saved or state.finished)
        ]

    def _listing_completes(self) -> bool:
        if len(self.listed) + len(self.unlisted) == len(self.progress):
            return True
        wanted = self.head.submission.wanted_groups
        if not wanted:
            return False
        listed = self._complete_groups(self.listed)
        return listed < wanted <= self._complete_groups([*self.listed, *self.unlisted])

    def _complete_groups(self, results: list[ItemResult]) -> int:
        missing = dict(self.group_sizes)
        for result in results:
            missing[self.progress[result.id].item.group] -= 1
        return sum(1 for count in missing.values() if count == 0)

    def next_entry(self, token: str) -> LogEntry:
        """Return an entry with as many unlisted results as fit, or else with unsaved texts.

        If the first result is too large for an entry, the entry has the next piece of its text.
        """
        if self.unlisted:
            max_bytes = self.entry_bytes - ENTRY_OVERHEAD_BYTES
            piece = self.texts.next_piece(self.unlisted[0], token, max_bytes)
            if piece is not None:
                return LogEntry(token=token, piece=piece)
        size = 0
        results: list[ItemResult] = []
        for result in self.unlisted:
            stored = self.texts.rest(result)
            size += json_size(result_fields(stored))
            if results and size > self.entry_bytes:
                break
            results.append(stored)
        if results:
            return LogEntry(token=token, results=tuple(results))
        parts: list[PartialResult] = []
        for state in self._unsaved_texts():
            size += json_size(state.texts)
            if parts and size > self.entry_bytes:
                break
            parts.append(state.partial_result())
        return LogEntry(token=token, texts=tuple(parts))

    def skip_large_texts(self) -> list[str]:
        """Keep texts that wait for rewards and exceed an entry in memory only; returns the items.

        After a change of owner they are generated again.
        """
        skipped = []
        for state in self._unsaved_texts():
            if json_size(state.texts) <= self.entry_bytes - ENTRY_OVERHEAD_BYTES:
                continue
            state.saved = True
            skipped.append(state.item.id)
        return skipped

    def fail_unlisted(self, item: str) -> None:
        """Replace the result of a finished item that cannot be stored by a failure."""
        self.texts.forget(item)
        self.unlisted = [
            ItemResult(id=item, done=False) if result.id == item else result
            for result in self.unlisted
        ]

    def apply(self, entry: LogEntry, now_ms: int = 0) -> None:
        """Apply an entry of the log."""
        for part in entry.texts:
            saved = self.progress.get(part.id)
            if saved is None or saved.finished:
                continue
            if not saved.complete:
                self._restore_part(part, now_ms)
            saved.saved = saved.complete
        if entry.piece is not None:
            own = any(result.id == entry.piece.id for result in self.unlisted)
            self.texts.add(entry.piece, own)
        for result in entry.results:
            state = self.progress.get(result.id)
            if state is not None:
                state.finished = True
            self.listed.append(self.texts.join(result))
            self.texts.forget(result.id)
        if entry.results:
            self.former_silent = False
            ids = {result.id for result in entry.results}
            self.unlisted = [result for result in self.unlisted if result.id not in ids]
        if entry.owner is not None:
            self.owner = entry.owner
            self.owner_term = self.log.position
            self.former_silent = entry.former_silent
        if entry.ended:
            self.ended = True
        self.changed.set()
        self.changed = Event()

    def page(self, position: int) -> ResultPage:
        """Return a page of listed results that starts at ``position``."""
        for result in self.listed[len(self.listed_bytes) :]:
            self.listed_bytes.append(json_size(result.text))
        size = 0
        results: list[ItemResult] = []
        for number, result in enumerate(self.listed[position:], start=position):
            size += self.listed_bytes[number]
            if results and size > MAX_PAGE_BYTES:
                break
            results.append(result)
        return ResultPage(
            total=len(self.progress),
            results=tuple(results),
            next_position=position + len(results),
        )
