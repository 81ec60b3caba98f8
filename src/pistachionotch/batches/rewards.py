"""Which reward calls start now; opens no sockets.

Load pattern: all items of a step finish within two seconds, so that a hundred reward calls are due
in a burst, at servers that clients call as well. The groups that a trainer waits for come first,
and of these the ones whose last texts have just been completed. Part of each server's slots is left
to clients, and a server that is full, loses answers or fails gets no burst.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

# Share of a server's slots that reward calls of this process fill; the rest is for clients' calls.
MAX_REWARD_SLOT_SHARE = 0.75


@attrs.frozen(kw_only=True)
class WaitingReward:
    """Describe an item whose text waits for its reward."""

    batch: str
    item: str
    due_ms: int
    # Whether the trainer can do without its group.
    optional: bool
    # Items of its group whose text is not whole yet.
    generating: int
    # Since when it waits, and when the call may be made again after a failure.
    complete_ms: int
    retry_at_ms: int


@attrs.frozen(kw_only=True)
class ServerCapacity:
    """Describe a server as far as the number of calls needs."""

    slots: int
    in_flight: int
    # Whether it refused or failed a call a moment ago.
    full: bool
    failing: bool


def count_free_slots(servers: Iterable[ServerCapacity]) -> int:
    """Return how many reward calls may start now."""
    free = 0
    probes = 0
    for server in servers:
        if server.full:
            continue
        free_slots = max(1, int(server.slots * MAX_REWARD_SLOT_SHARE)) - server.in_flight
        if free_slots <= 0:
            continue
        if server.failing:
            probes += 1
            continue
        free += free_slots
    # While all servers fail, each gets one call at a time, which shows when it recovers.
    return free or probes


def plan_reward_calls(
    waiting: Iterable[WaitingReward], free: int, now_ms: int
) -> list[WaitingReward]:
    """Return the calls that start now, first ones first."""
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
