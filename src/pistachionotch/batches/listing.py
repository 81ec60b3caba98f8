"""When finished items are written to a batch's log; opens no sockets.

Load pattern: items finish one by one over seconds, their trainer reads twice a second and needs
whole groups, and each write to the object API has a price. Results wait for each other for a
moment, but not once the trainer's groups are complete.
"""

from __future__ import annotations

import attrs

# Longest time that a result waits for others.
GATHER_MS = 900


@attrs.frozen(kw_only=True)
class ListingState:
    """Describe what is finished and what is listed."""

    unlisted: int
    oldest_unlisted_ms: int
    # Whether listing now completes the groups that the trainer waits for, or the batch.
    completes: bool


def should_list(state: ListingState, now_ms: int) -> bool:
    """Return whether to write an entry now."""
    if not state.unlisted:
        return False
    return state.completes or now_ms - state.oldest_unlisted_ms >= GATHER_MS
