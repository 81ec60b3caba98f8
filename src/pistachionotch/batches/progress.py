"""Progress of one item of a batch in the process that runs it."""

from __future__ import annotations

import attrs

from ..gateway.upstream_protocol import FIRST_EVENT
from ..software.origin import Origin
from .model import BatchItem, PartialResult


@attrs.define
class ItemProgress:
    """Progress of one item until it is finished."""

    item: BatchItem
    running: bool = False
    # Engine of the current attempt, and its start time.
    instance: str = ""
    started_ms: int = 0
    finished: bool = False
    # Data of the events received so far, and the number of the last one.
    texts: list[str] = attrs.field(factory=list)
    characters: int = 0
    last_event: int | None = None
    last_event_ms: int = 0
    # Service and software version that generated the text; None if there is no text.
    origin: Origin | None = None
    # Since when it has been waiting for an engine.
    waiting_since_ms: int = 0
    versions: list[int] = attrs.field(factory=list)
    # Number of responses that reported a failed generation; counts towards the route's limit.
    failures: int = 0
    # Attempts since the last one that got the start of a response.
    unanswered_attempts: int = 0
    # Engines that reported a failed generation.
    failed_at: set[str] = attrs.field(factory=set)
    # Engines on which an attempt failed or broke off.
    avoid: set[str] = attrs.field(factory=set)
    # Engine from which the item was moved away last, until it starts again.
    moved_from: str = ""
    # Whether the text is complete, so that only its reward is missing, and since when.
    complete: bool = False
    complete_ms: int = 0
    # Whether the text is stored in the log.
    saved: bool = False
    # Whether the reward call is running, and the earliest time of the next attempt.
    reward_call_running: bool = False
    reward_retry_at_ms: int = 0
    # Number of responses that reported a failure of the reward call; counts towards its route's
    # limit.
    reward_failures: int = 0

    def add_event(self, number: int, data: str, version: int, origin: Origin | None = None) -> None:
        """Add an event; raises ``ValueError`` if it does not follow the last one."""
        if self.texts and origin != self.origin:
            raise ValueError(f"text of {self.origin} goes on at {origin}")
        expected = FIRST_EVENT if self.last_event is None else self.last_event + 1
        if number != expected:
            raise ValueError(f"event {number} instead of {expected}")
        self.last_event = number
        self.origin = origin
        self.texts.append(data)
        self.characters += len(data)
        if version not in self.versions:
            self.versions.append(version)

    def restart(self) -> None:
        """Discard the text so far."""
        self.texts.clear()
        self.characters = 0
        self.versions.clear()
        self.last_event = None
        self.origin = None

    def partial_result(self) -> PartialResult:
        """Return the text so far and the failures, for the log or the next owner."""
        return PartialResult(
            id=self.item.id,
            texts=tuple(self.texts),
            last_event=self.last_event,
            versions=tuple(self.versions),
            failures=self.failures,
            failed_at=tuple(self.failed_at),
            complete=self.complete,
            origin=self.origin,
            reward_failures=self.reward_failures,
        )

    def restore(self, part: PartialResult, now_ms: int) -> bool:
        """Go on from a partial result; returns False if only its failures were restored.

        A text without an origin was joined from different software versions by an earlier release.
        """
        self.failures = part.failures
        self.failed_at = set(part.failed_at)
        self.reward_failures = part.reward_failures
        self.waiting_since_ms = now_ms
        if part.origin is None:
            return False
        self.texts = list(part.texts)
        self.characters = sum(len(text) for text in part.texts)
        self.last_event = part.last_event
        self.versions = list(part.versions)
        self.origin = part.origin
        if part.complete:
            self.mark_complete(now_ms)
        return True

    def mark_complete(self, now_ms: int) -> None:
        """Record that the text is complete and only its reward is missing."""
        self.complete = True
        self.complete_ms = now_ms
