"""Table of links to the agents that this entry connects to."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import gevent

from ..membership.directory import Directory, Member
from ..membership.subset import choose_agents
from ..outcomes import RequestClass
from ..routing.candidates import Candidate, Location
from .links import AgentLink
from .policy import PolicyView


def seed_member(address: str) -> Member:
    """Return a seed as a member with only its address; the hello of its agent gives the rest."""
    return Member(node="", address=address, zone="", region="")


@attrs.define
class LinkTable:
    """Holds the links to agents, and opens and closes them as the directory changes."""

    location: Location
    directory: Directory
    make_link: Callable[[Member], AgentLink]
    policy: PolicyView
    links: dict[str, AgentLink] = attrs.field(factory=dict)
    required: dict[str, frozenset[str]] = attrs.field(factory=dict)
    # Wire addresses of agents to connect to until a directory has been read.
    seeds: tuple[str, ...] = ()
    # Called with a link when its VM is listed as leaving, to withdraw queued work.
    on_leaving: Callable[[AgentLink], None] = attrs.field(default=lambda _link: None)

    def refresh(self) -> None:
        """Connect to the chosen agents and close the links to all others."""
        wanted = {member.node: member for member in self._choose_members()}
        if not wanted:
            wanted = self._seed_members()
        for node, link in list(self.links.items()):
            member = wanted.get(node)
            if member is not None and member.address == link.member.address:
                link.member = member
                continue
            self._remove(node, link)
        for node, member in wanted.items():
            if node in self.links:
                continue
            link = self.make_link(member)
            link.on_identified = self._index_by_node
            self.links[node] = link
            gevent.spawn(link.run)
        self._mark_leaving()

    def candidates(self, request_class: RequestClass, prefix: bytes = b"") -> list[Candidate]:
        """Return the connected agents as placement candidates for a class and prompt."""
        candidates = []
        for link in self.links.values():
            candidate = link.candidate(request_class, prefix)
            if candidate is None:
                continue
            candidates.append(candidate)
        return candidates

    def ready(self) -> list[AgentLink]:
        """Return the links of agents that can be given work."""
        return [link for link in self.links.values() if link.ready()]

    def serving(self, target: str) -> list[AgentLink]:
        """Return the links of agents that serve a target and can be given work."""
        return [link for link in self.ready() if target in link.member.models]

    def require_agents(self, duty: str, nodes: list[str]) -> None:
        """Keep links to the agents that a leased duty needs, in addition to the chosen ones."""
        wanted = frozenset(nodes)
        if self.required.get(duty, frozenset()) == wanted:
            return
        self.required[duty] = wanted
        self.refresh()

    def announce_config(self) -> None:
        """Offer the configuration in force to all agents."""
        for link in self.links.values():
            link.announce_config()

    def _choose_members(self) -> tuple[Member, ...]:
        members = self.directory.all_members()
        targets = sorted({target for member in members for target in member.models})
        agents_per_target = max(2, self.policy.subset_size() // max(1, len(targets)))
        chosen: dict[str, Member] = {}
        for target in targets:
            serving = [member for member in members if target in member.models]
            for member in choose_agents(
                self.location.node, self.location, serving, agents_per_target
            ):
                chosen[member.node] = member
        required = frozenset().union(*self.required.values())
        for member in members:
            if member.node in required:
                chosen[member.node] = member
        return tuple(chosen.values())

    def _seed_members(self) -> dict[str, Member]:
        """Return the seeds by node name, or by address while the node name is unknown."""
        # An existing link to a seed is kept: if it were closed, the entry would refuse requests
        # until it has reconnected.
        members_by_address = {link.member.address: link.member for link in self.links.values()}
        members = [members_by_address.get(seed, seed_member(seed)) for seed in self.seeds]
        return {member.node or member.address: member for member in members}

    def _index_by_node(self, link: AgentLink) -> None:
        """Index the link of a seed by the node name from its hello instead of by address."""
        if self.links.pop(link.member.address, None) is link:
            self.links.setdefault(link.member.node, link)

    def _remove(self, node: str, link: AgentLink) -> None:
        # Outstanding answers arrive on the old session, so it is closed only when none is left.
        del self.links[node]
        link.announced_leaving = True
        gevent.spawn(self._stop_when_idle, link)

    def _stop_when_idle(self, link: AgentLink) -> None:
        while link.channels and link.session is not None:
            gevent.sleep(0.2)
        link.stop()

    def _mark_leaving(self) -> None:
        for link in self.links.values():
            listed = self.directory.is_leaving(link.member)
            newly_leaving = listed and not link.listed_leaving
            link.listed_leaving = listed
            if newly_leaving:
                self.on_leaving(link)
