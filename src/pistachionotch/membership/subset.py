"""Selection of the agents that one entry connects to, by rendezvous hashing."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

from ..routing.candidates import Location
from .directory import Member

# One agent in four is in another zone, so that usable connections remain if the entry's zone fails.
OTHER_ZONES_DIVISOR = 4


def choose_agents(
    entry: str, location: Location, members: Sequence[Member], size: int
) -> tuple[Member, ...]:
    """Choose ``size`` agents, mostly in the entry's zone, and in at least two zones if possible.

    When one member joins or leaves, at most two of the chosen agents change, since each entry
    ranks every member by a hash that does not depend on the other members.
    """
    if len(members) <= size:
        return tuple(sorted(members, key=lambda member: member.node))
    own_zone = _rank(entry, [member for member in members if member.zone == location.zone])
    other_zones = _rank(entry, [member for member in members if member.zone != location.zone])
    other_zones.sort(key=lambda member: member.region != location.region)
    other_zones_count = min(len(other_zones), max(1, size // OTHER_ZONES_DIVISOR))
    chosen = own_zone[: size - other_zones_count]
    chosen += other_zones[: size - len(chosen)]
    if not own_zone:
        chosen = _include_second_zone(chosen, other_zones[size:])
    return tuple(chosen)


def _rank(entry: str, members: Sequence[Member]) -> list[Member]:
    return sorted(members, key=lambda member: _score(entry, member.node))


def _score(entry: str, node: str) -> bytes:
    return hashlib.blake2b(f"{entry}\0{node}".encode(), digest_size=8).digest()


def _include_second_zone(chosen: list[Member], remaining: Sequence[Member]) -> list[Member]:
    """Replace the last agent if all are in one zone and ``remaining`` has one in another."""
    if len(chosen) < 2 or len({member.zone for member in chosen}) > 1:
        return chosen
    for member in remaining:
        if member.zone != chosen[0].zone:
            return [*chosen[:-1], member]
    return chosen
