"""Data types of batches: submissions, items, results, log entries and errors."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs

from ..config.spec import Address
from ..http_client import Header
from ..software.origin import Origin


@attrs.frozen(kw_only=True)
class RewardCall:
    """A call that scores an item's text; the proof in its response is the reward."""

    id: str
    host: str
    target: str
    body: bytes


@attrs.frozen(kw_only=True)
class BatchItem:
    """One generation request of a batch."""

    id: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    # Prompt tokens plus the maximum number of output tokens.
    max_tokens: int
    # The client's estimate of the output tokens; 0 if it gave none.
    expected_tokens: int = 0
    # Items of one group share their prompt; a trainer can use them only together.
    group: str = ""
    # None if the result is the text without a reward.
    reward: RewardCall | None = None


# Memory of an item beside its body: its fields and its progress.
ITEM_BYTES = 1_024


def items_bytes(items: Iterable[BatchItem]) -> int:
    """Return about how much memory items take."""
    found = 0
    for item in items:
        found += ITEM_BYTES + len(item.body) + (len(item.reward.body) if item.reward else 0)
    return found


@attrs.frozen(kw_only=True)
class Submission:
    """A batch as its client submitted it."""

    id: str
    host: str
    # Path of the submission request; with ``host`` it selects the batch's route.
    target: str
    items: tuple[BatchItem, ...]
    # Set for a trainer's step only; otherwise empty and 0.
    model: str = ""
    step: int = 0
    min_version: int = 0
    wanted_groups: int = 0
    # Name of the account that it belongs to; empty if it has none.
    account: str = ""


@attrs.frozen(kw_only=True)
class Owner:
    """The process that runs a batch; every restart gets a new ``incarnation``."""

    node: str
    incarnation: str
    address: Address


@attrs.frozen
class OwnerTerm:
    """An owner of a batch, with the term in which it owns the batch.

    The term is the number of log entries up to the one that names the owner, 0 for the owner in the
    head. Of two owners, the one of the higher term replaced the other.
    """

    owner: Owner
    term: int


@attrs.frozen(kw_only=True)
class ItemResult:
    """Final state of an item."""

    id: str
    done: bool
    text: str = ""
    # Weight versions that generated the text, in the order of their first events.
    versions: tuple[int, ...] = ()
    # Proof in the response to the item's reward call; empty for items without a reward call.
    reward: str = ""
    # In the log only: identifies the pieces that come before ``text``; empty if there are none.
    pieces: str = ""


@attrs.frozen
class TextPiece:
    """A part of a text that is too large for one log entry; the result follows in a later entry."""

    # The item, the text that the piece belongs to, and the piece.
    id: str
    text_id: str
    text: str


@attrs.frozen(kw_only=True)
class PartialResult:
    """Progress of an item that is not finished: its text so far and its failures."""

    id: str
    texts: tuple[str, ...]
    last_event: int | None
    versions: tuple[int, ...]
    failures: int = 0
    failed_at: tuple[str, ...] = ()
    # Whether the text is complete, so that only its reward is missing.
    complete: bool = False
    # Number of responses that reported a failure of the reward call.
    reward_failures: int = 0
    # Service and software version that generated the text; None if it is not known.
    origin: Origin | None = None


@attrs.frozen(kw_only=True)
class BatchHead:
    """The record that is stored when a batch is accepted."""

    submission: Submission
    owner: Owner
    # Unix time of acceptance.
    accepted_ms: int


@attrs.frozen(kw_only=True)
class LogEntry:
    """One entry of a batch's log.

    An entry lists results at the next positions, stores a piece of a large text, saves texts that
    wait for their rewards, records a new owner, or ends the batch.
    """

    token: str
    results: tuple[ItemResult, ...] = ()
    texts: tuple[PartialResult, ...] = ()
    piece: TextPiece | None = None
    owner: Owner | None = None
    # Whether the former owner did not answer; it may still answer reads for a while.
    former_silent: bool = False
    ended: bool = False


class BatchErrorKind(enum.Enum):
    """Reason why a request for a batch failed; the values go to other gateways."""

    NOT_FOUND = "no such batch"
    UNAVAILABLE = "not certain now"
    NOT_ACCEPTED = "not accepted"
    UNKNOWN = "may be accepted"
    REJECTED = "never acceptable"


@attrs.frozen
class BatchError:
    """Failure of a request for a batch."""

    kind: BatchErrorKind
    reason: str
    retry_after_ms: int | None = None


@attrs.frozen(kw_only=True)
class BatchState:
    """State of a batch that its owner hands off to the next owner."""

    head: BatchHead
    # Number of the next log entry, and the results listed in the entries before it.
    position: int
    listed: tuple[ItemResult, ...]
    # Results of finished items without a position yet, and the progress of unfinished items.
    unlisted: tuple[ItemResult, ...]
    parts: tuple[PartialResult, ...]


@attrs.frozen(kw_only=True)
class ResultPage:
    """Listed results, starting at one position."""

    total: int
    results: tuple[ItemResult, ...]
    next_position: int
