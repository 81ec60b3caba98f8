"""Decides when results are listed, that is, written to a batch's log; does no I/O.

Load pattern: items finish one by one over seconds, their trainer reads twice a second and needs
complete groups, and each write to the object API has a cost. Results are therefore collected for a
short time, but listed at once when they complete the groups that the trainer wants. A text whose
reward is late, for example during an outage of the servers of reward calls, is written without it,
so that a new owner does not have to generate it again.
"""

from __future__ import annotations

import attrs

# Maximum time that a result waits to be listed together with others.
MAX_LISTING_DELAY_MS = 900
# Maximum time that a text without its reward is kept in memory only. A reward usually takes a tenth
# of a second.
MAX_UNSAVED_TEXT_MS = 1_500


@attrs.frozen(kw_only=True)
class ListingState:
    """Facts about a batch that decide whether to write a log entry."""

    unlisted: int
    oldest_unlisted_ms: int
    # Whether listing now completes the groups that the trainer wants, or the batch.
    completes: bool
    # When the oldest text that is only in memory was completed; None if there is none.
    oldest_unsaved_ms: int | None = None
    # Earliest time to list results; see ``tenure.first_listing_ms``.
    from_ms: int = 0


def should_list(state: ListingState, now_ms: int) -> bool:
    """Return whether to write a log entry now."""
    if now_ms < state.from_ms:
        return False
    unsaved_ms = state.oldest_unsaved_ms
    if unsaved_ms is not None and now_ms - unsaved_ms >= MAX_UNSAVED_TEXT_MS:
        return True
    if not state.unlisted:
        return False
    return state.completes or now_ms - state.oldest_unlisted_ms >= MAX_LISTING_DELAY_MS
