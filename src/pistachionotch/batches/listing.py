"""When finished items are written to a batch's log; opens no sockets.

Load pattern: items finish one by one over seconds, their trainer reads twice a second and needs
whole groups, and each write to the object API has a price. Results wait for each other for a
moment, but not once the trainer's groups are complete. A text whose reward is late, as while the
servers of reward calls are out, is written without it, so that another owner need not generate it.
"""

from __future__ import annotations

import attrs

# Longest time that a result waits for others.
MAX_LISTING_DELAY_MS = 900
# Longest time that a text waits for its reward in memory only. Rewards take a tenth of a second.
MAX_UNSAVED_TEXT_MS = 1_500


@attrs.frozen(kw_only=True)
class ListingState:
    """Describe what is finished and what is listed."""

    unlisted: int
    oldest_unlisted_ms: int
    # Whether listing now completes the groups that the trainer waits for, or the batch.
    completes: bool
    # Since when the oldest text without a reward is in memory only; None if there is none.
    oldest_unsaved_ms: int | None = None


def should_list(state: ListingState, now_ms: int) -> bool:
    """Return whether to write an entry now."""
    unsaved_ms = state.oldest_unsaved_ms
    if unsaved_ms is not None and now_ms - unsaved_ms >= MAX_UNSAVED_TEXT_MS:
        return True
    if not state.unlisted:
        return False
    return state.completes or now_ms - state.oldest_unlisted_ms >= MAX_LISTING_DELAY_MS
