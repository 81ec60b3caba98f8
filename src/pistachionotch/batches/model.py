"""Submissions, their items and results."""

from __future__ import annotations

import enum

import attrs

from ..config.spec import Address
from ..http_client import Header


@attrs.frozen(kw_only=True)
class RewardCall:
    """Describe the call that scores an item's text; the proof of its response is the reward."""

    id: str
    host: str
    target: str
    body: bytes


@attrs.frozen(kw_only=True)
class BatchItem:
    """Describe one generation of a batch."""

    id: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    # Prompt tokens plus the most output tokens.
    max_tokens: int
    # The client's estimate of the output tokens; 0 if it gave none.
    expected_tokens: int = 0
    # Items of one group share their prompt and are useful to a trainer only together.
    group: str = ""
    # None if the text alone is the result.
    reward: RewardCall | None = None


@attrs.frozen(kw_only=True)
class Submission:
    """Describe a batch as its client handed it in."""

    id: str
    host: str
    # Path of the submission, which selects the batch's route.
    target: str
    items: tuple[BatchItem, ...]
    # Of a trainer's step; empty and 0 otherwise.
    model: str = ""
    step: int = 0
    min_version: int = 0
    wanted_groups: int = 0


@attrs.frozen(kw_only=True)
class Owner:
    """Name the process that runs a batch; a restart makes another ``incarnation``."""

    node: str
    incarnation: str
    address: Address


@attrs.frozen(kw_only=True)
class ItemResult:
    """Hold the final state of an item."""

    id: str
    done: bool
    text: str = ""
    # Weight versions that generated an event of the text, in the order of their first event.
    versions: tuple[int, ...] = ()
    # Proof of the response to the item's reward call; empty for items without one.
    reward: str = ""


@attrs.frozen(kw_only=True)
class PartialResult:
    """Hold what an item that is not finished has generated so far."""

    id: str
    texts: tuple[str, ...]
    last_event: int | None
    versions: tuple[int, ...]
    failures: int = 0
    failed_at: tuple[str, ...] = ()
    # Whether the text is whole, so that only its reward is missing.
    complete: bool = False
    # Responses to the reward call that said it failed.
    reward_failures: int = 0


@attrs.frozen(kw_only=True)
class BatchHead:
    """Hold what is stored when a batch is accepted."""

    submission: Submission
    owner: Owner
    # Unix time of acceptance.
    accepted_ms: int


@attrs.frozen(kw_only=True)
class LogEntry:
    """Hold one entry of a batch's log.

    It lists results at the next positions, saves texts that wait for their rewards, names a new
    owner, or ends the batch.
    """

    token: str
    results: tuple[ItemResult, ...] = ()
    texts: tuple[PartialResult, ...] = ()
    owner: Owner | None = None
    ended: bool = False


class BatchErrorKind(enum.Enum):
    """Say why there is no answer."""

    NOT_FOUND = "no such batch"
    UNAVAILABLE = "not certain now"
    NOT_ACCEPTED = "not accepted"
    UNKNOWN = "may be accepted"
    REJECTED = "never acceptable"


@attrs.frozen
class BatchError:
    """Answer without the wanted result."""

    kind: BatchErrorKind
    reason: str
    retry_after_ms: int | None = None


@attrs.frozen(kw_only=True)
class BatchState:
    """Hold all that an owner knows of its batch, for the process that goes on with it."""

    head: BatchHead
    # Number of the next entry of the log, and the results of the entries before it.
    position: int
    listed: tuple[ItemResult, ...]
    # Finished items that have no position yet, and parts of the others.
    unlisted: tuple[ItemResult, ...]
    parts: tuple[PartialResult, ...]


@attrs.frozen(kw_only=True)
class ResultPage:
    """Hold the results from one position on."""

    total: int
    results: tuple[ItemResult, ...]
    next_position: int
