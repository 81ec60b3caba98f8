"""Schedules reward calls: which ones start, and how many; does no I/O.

Load pattern: all items of a step finish within two seconds, which makes a hundred reward calls due
in a burst, on servers that clients call as well. Calls for groups that the trainer waits for come
first, and of these the groups with the fewest texts still to be generated. Part of each server's
slots is reserved for clients. A server that recently refused or failed a call gets no burst.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

# Share of a server's slots up to which this process adds reward calls; the rest is reserved for
# clients' calls.
MAX_REWARD_SLOT_SHARE = 0.75


@attrs.frozen(kw_only=True)
class WaitingReward:
    """An item whose text is complete and whose reward is missing."""

    batch: str
    item: str
    due_ms: int
    # Whether the trainer can do without the item's group.
    optional: bool
    # Number of items of the group whose text is not complete yet.
    generating: int
    # When the text was completed, and the earliest time of the next attempt after a failure.
    complete_ms: int
    retry_at_ms: int


@attrs.frozen(kw_only=True)
class ServerCapacity:
    """State of a server that limits how many reward calls it gets."""

    slots: int
    in_flight: int
    # Whether it recently refused a call (full) or failed one (failing).
    full: bool
    failing: bool
    # How many calls its rate limit leaves room for; None if it has announced none.
    permits: int | None = None


def count_free_slots(servers: Iterable[ServerCapacity]) -> int:
    """Return the number of reward calls that may start now."""
    free = 0
    probes = 0
    for server in servers:
        if server.full:
            continue
        free_slots = max(1, int(server.slots * MAX_REWARD_SLOT_SHARE)) - server.in_flight
        if server.permits is not None:
            free_slots = min(free_slots, server.permits)
        if free_slots <= 0:
            continue
        if server.failing:
            probes += 1
            continue
        free += free_slots
    # While every available server fails, each is probed with one call to detect its recovery.
    return free or probes


def plan_reward_calls(
    waiting: Iterable[WaitingReward], free: int, now_ms: int
) -> list[WaitingReward]:
    """Return the calls that start now, by priority."""
    ready = [reward for reward in waiting if reward.retry_at_ms <= now_ms]
    return sorted(ready, key=_priority)[: max(0, free)]


def _priority(reward: WaitingReward) -> tuple[bool, int, int, int, str]:
    return (
        reward.optional,
        reward.due_ms,
        reward.generating,
        reward.complete_ms,
        reward.item,
    )
