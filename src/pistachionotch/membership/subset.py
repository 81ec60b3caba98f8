"""Subset of agents that one entry connects to, by rendezvous hash."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

from ..routing.candidates import Location
from .directory import Member

# One agent in four is outside the entry's zone, so that a lost zone leaves usable connections.
OUTSIDE_DIVISOR = 4


def choose_agents(
    entry: str, location: Location, members: Sequence[Member], size: int
) -> tuple[Member, ...]:
    """Choose ``size`` agents: the own zone first, and at least two zones when there are two.

    A change of one member moves at most two of the chosen agents, since each entry ranks
    every member by a hash that does not depend on the other members.
    """
    if len(members) <= size:
        return tuple(sorted(members, key=lambda member: member.node))
    own = _ranked(entry, [member for member in members if member.zone == location.zone])
    outside = _ranked(entry, [member for member in members if member.zone != location.zone])
    outside.sort(key=lambda member: member.region != location.region)
    outside_count = min(len(outside), max(1, size // OUTSIDE_DIVISOR))
    chosen = own[: size - outside_count]
    chosen += outside[: size - len(chosen)]
    if not own:
        chosen = _with_second_zone(chosen, outside[size:])
    return tuple(chosen)


def _ranked(entry: str, members: Sequence[Member]) -> list[Member]:
    return sorted(members, key=lambda member: _score(entry, member.node))


def _score(entry: str, node: str) -> bytes:
    return hashlib.blake2b(f"{entry}\0{node}".encode(), digest_size=8).digest()


def _with_second_zone(chosen: list[Member], rest: Sequence[Member]) -> list[Member]:
    """Replace the last choice when all are in one zone and another zone is available."""
    if len(chosen) < 2 or len({member.zone for member in chosen}) > 1:
        return chosen
    for member in rest:
        if member.zone != chosen[0].zone:
            return [*chosen[:-1], member]
    return chosen
