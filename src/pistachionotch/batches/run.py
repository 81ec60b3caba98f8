"""State of one batch at its owner."""

from __future__ import annotations

import attrs
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from ..clock import MS_PER_SECOND
from .dispatch import RunningItem, WaitingItem, optional_groups
from .listing import ListingState
from .log import BatchLog
from .model import (
    BatchError,
    BatchErrorKind,
    BatchHead,
    BatchItem,
    BatchState,
    ItemResult,
    LogEntry,
    Owner,
    PartialResult,
    ResultPage,
)
from .rewards import WaitingReward

# A page of results ends before it exceeds this many bytes of text.
MAX_PAGE_BYTES = 900_000
# An entry of the log stays well under the object API's value limit of 1 MB.
MAX_ENTRY_BYTES = 600_000


@attrs.define
class ItemProgress:
    """Track one item until it is finished."""

    item: BatchItem
    running: bool = False
    # Where and since when it runs.
    instance: str = ""
    started_ms: int = 0
    finished: bool = False
    # Data of the events received so far, and the number of the last one.
    texts: list[str] = attrs.field(factory=list)
    last_event: int | None = None
    last_event_ms: int = 0
    versions: list[int] = attrs.field(factory=list)
    # Responses that said the generation failed; these count towards the route's limit.
    failures: int = 0
    # Attempts since the last one whose response began.
    unanswered_attempts: int = 0
    # Engines whose response said so.
    failed_at: set[str] = attrs.field(factory=set)
    # Engines where an attempt failed or broke.
    avoid: set[str] = attrs.field(factory=set)
    # Engine that the item has just been moved away from.
    moved_from: str = ""
    # Whether the text is whole, so that only its reward is missing, and since when.
    complete: bool = False
    complete_ms: int = 0
    # Whether the log holds the text already.
    saved: bool = False
    # Whether the reward call runs, and when it may be made again.
    reward_call_running: bool = False
    reward_retry_at_ms: int = 0
    # Responses to the reward call that said it failed; these count towards its route's limit.
    reward_failures: int = 0

    def add_event(self, number: int, data: str, version: int) -> None:
        """Add an event; raises ``ValueError`` if one is missing or came twice."""
        if self.last_event is not None and number != self.last_event + 1:
            raise ValueError(f"event {number} after {self.last_event}")
        self.last_event = number
        self.texts.append(data)
        if version not in self.versions:
            self.versions.append(version)

    def restart(self) -> None:
        """Forget the text so far."""
        self.texts.clear()
        self.versions.clear()
        self.last_event = None


@attrs.define
class BatchRun:
    """Hold a batch, its listed results and, at its owner, its work in progress."""

    head: BatchHead
    log: BatchLog
    owner: Owner
    # Times of this process's clock.
    accepted_ms: int
    due_ms: int
    give_up_ms: int | None
    progress: dict[str, ItemProgress] = attrs.field(init=False)
    listed: list[ItemResult] = attrs.field(factory=list)
    unlisted: list[ItemResult] = attrs.field(factory=list)
    oldest_unlisted_ms: int = 0
    ended: bool = False
    # Set while this process must not run the batch: another owner, or a drain.
    stopped: bool = False
    # Set while a successor takes over; until it has, this process answers for what is listed.
    handing_off: bool = False
    changed: Event = attrs.field(factory=Event)
    # Held from the choice of the next log entry until its outcome is applied.
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
    def open(self) -> bool:
        """Return whether items may start."""
        return not (self.ended or self.stopped)

    def waiting(self) -> list[WaitingItem]:
        """Return the items that may start."""
        if not self.open:
            return []
        submission = self.head.submission
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
                avoid=frozenset({*state.avoid, state.moved_from} - {""}),
            )
            for state in self.progress.values()
            if not (state.running or state.finished or state.complete)
        ]

    def waiting_rewards(self) -> list[WaitingReward]:
        """Return the items whose text waits for its reward."""
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

    def running(self, now_ms: int) -> list[RunningItem]:
        """Return the items that run."""
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
                events=len(state.texts),
                silent_ms=now_ms - state.last_event_ms if state.texts else 0,
            )
            for state in self.progress.values()
            if state.running
        ]

    def note_complete(self, state: ItemProgress, now_ms: int) -> None:
        """Note that an item's text is whole and waits for its reward."""
        state.complete = True
        state.complete_ms = now_ms

    def finish(self, state: ItemProgress, done: bool, now_ms: int, reward: str = "") -> None:
        """Note the final state of an item; it has no position yet."""
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
        """Return all that is known, for the process that goes on with this batch."""
        parts = (
            _partial_result(state)
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
        """Take over what the former owner knew; the batch itself must be new here."""
        self.log.position = state.position
        self.listed = list(state.listed)
        self.unlisted = list(state.unlisted)
        self.oldest_unlisted_ms = now_ms
        for result in (*state.listed, *state.unlisted):
            self.progress[result.id].finished = True
        for part in state.parts:
            self._restore_part(part, now_ms)

    def _restore_part(self, part: PartialResult, now_ms: int) -> None:
        progress = self.progress[part.id]
        progress.texts = list(part.texts)
        progress.last_event = part.last_event
        progress.versions = list(part.versions)
        progress.failures = part.failures
        progress.failed_at = set(part.failed_at)
        progress.reward_failures = part.reward_failures
        if part.complete:
            self.note_complete(progress, now_ms)

    def listing_state(self) -> ListingState:
        """Return what decides whether to list now."""
        return ListingState(
            unlisted=len(self.unlisted),
            oldest_unlisted_ms=self.oldest_unlisted_ms,
            completes=self._listing_completes(),
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
        """Return an entry with as many unlisted results as fit, or else unsaved texts."""
        size = 0
        count = 0
        for result in self.unlisted:
            size += len(result.text)
            if count and size > MAX_ENTRY_BYTES:
                break
            count += 1
        if count:
            return LogEntry(token=token, results=tuple(self.unlisted[:count]))
        parts: list[PartialResult] = []
        for state in self._unsaved_texts():
            size += sum(len(text) for text in state.texts)
            if parts and size > MAX_ENTRY_BYTES:
                break
            parts.append(_partial_result(state))
        return LogEntry(token=token, texts=tuple(parts))

    def apply(self, entry: LogEntry, now_ms: int = 0) -> None:
        """Take over an entry that stands in the log."""
        for part in entry.texts:
            saved = self.progress.get(part.id)
            if saved is None or saved.finished:
                continue
            if not saved.complete:
                self._restore_part(part, now_ms)
            saved.saved = True
        for result in entry.results:
            state = self.progress.get(result.id)
            if state is not None:
                state.finished = True
            self.listed.append(result)
        if entry.results:
            ids = {result.id for result in entry.results}
            self.unlisted = [result for result in self.unlisted if result.id not in ids]
        if entry.owner is not None:
            self.owner = entry.owner
        if entry.ended:
            self.ended = True
        self.changed.set()
        self.changed = Event()

    def page(self, position: int) -> ResultPage:
        """Return the listed results from a position on."""
        size = 0
        results: list[ItemResult] = []
        for result in self.listed[position:]:
            size += len(result.text)
            if results and size > MAX_PAGE_BYTES:
                break
            results.append(result)
        return ResultPage(
            total=len(self.progress),
            results=tuple(results),
            next_position=position + len(results),
        )


def _partial_result(state: ItemProgress) -> PartialResult:
    return PartialResult(
        id=state.item.id,
        texts=tuple(state.texts),
        last_event=state.last_event,
        versions=tuple(state.versions),
        failures=state.failures,
        failed_at=tuple(state.failed_at),
        complete=state.complete,
        reward_failures=state.reward_failures,
    )


def wait_for_page(run: BatchRun, position: int, wait_ms: int) -> ResultPage:
    """Return listed results, waiting for the first if there is none yet."""
    if len(run.listed) <= position and not run.ended and wait_ms > 0:
        run.changed.wait(wait_ms / MS_PER_SECOND)
    return run.page(position)


def find_item_body(run: BatchRun, item: str) -> bytes | BatchError:
    """Return the body of an item of a batch that has not ended."""
    state = run.progress.get(item)
    if state is None:
        return BatchError(BatchErrorKind.NOT_FOUND, "no such item")
    return state.item.body
