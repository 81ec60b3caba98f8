"""Directory of members, merged from zone objects, departures and the delayed VM list."""

from __future__ import annotations

import enum
import json
from collections.abc import Iterable, Mapping

import attrs

from ..malformed import load_json

# The mark of a leaving incarnation must outlive every object that still names it as live. 300 VMs
# are restarted or replaced a day, so this many marks last for about two weeks.
MAX_LEAVING_MARKS = 4_096


class MemberState(enum.StrEnum):
    """Whether a member accepts new work."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Member:
    """An agent of the deployment; a restart of its process changes the incarnation."""

    node: str
    address: str
    zone: str
    region: str
    incarnation: str = ""
    models: tuple[str, ...] = ()
    state: MemberState = MemberState.LIVE


@attrs.frozen
class DirectoryChange:
    """The members that an update added and removed, and the reason as a short text."""

    joined: tuple[str, ...]
    left: tuple[str, ...]
    reason: str


def encode_members(members: Iterable[Member]) -> bytes:
    """Encode the value of a directory object."""
    ordered = sorted(members, key=lambda member: member.node)
    return json.dumps([attrs.asdict(member) for member in ordered]).encode()


def decode_members(value: bytes) -> tuple[Member, ...]:
    """Decode the value of a directory object; raise ``ValueError`` if it is malformed."""
    try:
        return tuple(_decode_member(item) for item in load_json(value))
    except (TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"malformed directory object: {error}") from error


def _decode_member(item: Mapping[str, object]) -> Member:
    models = item["models"]
    if not isinstance(models, list):
        raise TypeError("models must be a list")
    names = ("node", "address", "zone", "region", "incarnation")
    strings = {name: str(item[name]) for name in names}
    state = MemberState(str(item["state"]))
    return Member(models=tuple(str(name) for name in models), state=state, **strings)


@attrs.define
class Directory:
    """The members as merged from all sources; a leaving incarnation never becomes live again."""

    zones: dict[str, tuple[int, dict[str, Member]]] = attrs.field(factory=dict)
    leaving_incarnations: dict[tuple[str, str], None] = attrs.field(factory=dict)
    leaving_vms: set[str] = attrs.field(factory=set)

    def apply_zone(self, zone: str, version: int, members: Iterable[Member]) -> DirectoryChange:
        """Apply a zone's directory object unless the same or a newer version has been applied."""
        previous_version, previous = self.zones.get(zone, (-1, {}))
        if version <= previous_version:
            return DirectoryChange((), (), f"version {version} of {zone} is not newer")
        current = {member.node: member for member in members}
        self.zones[zone] = (version, current)
        return DirectoryChange(
            joined=tuple(sorted(current.keys() - previous.keys())),
            left=tuple(sorted(previous.keys() - current.keys())),
            reason=f"version {version} of {zone}",
        )

    def mark_leaving(self, node: str, incarnation: str) -> DirectoryChange:
        """Record that an agent has announced its departure, which overrides older objects."""
        self.leaving_incarnations[(node, incarnation)] = None
        if len(self.leaving_incarnations) > MAX_LEAVING_MARKS:
            del self.leaving_incarnations[next(iter(self.leaving_incarnations))]
        return DirectoryChange((), (node,), f"{node} is leaving")

    def apply_vm_list(self, states: Mapping[str, MemberState]) -> DirectoryChange:
        """Apply the platform's VM list; it is delayed, so a VM missing from it is not removed."""
        leaving = {node for node, state in states.items() if state is MemberState.LEAVING}
        newly_leaving = tuple(sorted(leaving - self.leaving_vms))
        self.leaving_vms = leaving
        return DirectoryChange((), newly_leaving, f"VM list with {len(leaving)} leaving")

    def live_members(self, model: str = "") -> tuple[Member, ...]:
        """Return the members that accept new work, optionally only those that serve ``model``."""
        found = []
        for member in self.all_members():
            if self.is_leaving(member):
                continue
            if model and model not in member.models:
                continue
            found.append(member)
        return tuple(found)

    def all_members(self) -> tuple[Member, ...]:
        """Return all members, sorted by node."""
        merged = {
            node: member for _, members in self.zones.values() for node, member in members.items()
        }
        return tuple(merged[node] for node in sorted(merged))

    def is_leaving(self, member: Member) -> bool:
        """Return whether any source says that the member is leaving."""
        if member.state is MemberState.LEAVING or member.node in self.leaving_vms:
            return True
        return (member.node, member.incarnation) in self.leaving_incarnations
