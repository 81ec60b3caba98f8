"""Tests of the table of links to agents."""

import attrs
import pytest

from pistachionotch.config.revisions import Revisions
from pistachionotch.entry.policy import PolicyView
from pistachionotch.entry.table import LinkTable
from pistachionotch.membership.directory import Directory, Member
from pistachionotch.routing.candidates import Location

SEED = "127.0.0.1:7001"
HERE = Location("entry-1", "cebu", "visayas")


@attrs.define(eq=False)
class FakeLink:
    """Replaces a link, without a connection."""

    member: Member
    announced_leaving: bool = False
    listed_leaving: bool = False
    channels: dict = attrs.field(factory=dict)
    session: None = None
    on_identified: object = None

    def run(self):
        """Do nothing."""

    def stop(self):
        """Do nothing."""

    def identify(self, node):
        """Set the agent's identity, as its hello message would."""
        self.member = attrs.evolve(
            self.member, node=node, zone="cebu", region="visayas", models=("fitting",)
        )
        self.on_identified(self)


@pytest.fixture
def table():
    made = LinkTable(HERE, Directory(), FakeLink, PolicyView(Revisions()))
    made.seeds = (SEED,)
    made.refresh()
    return made


def test_refresh_without_a_directory_keeps_the_links_to_known_seeds(table):
    # Guards against refused requests while links are recreated after a configuration change.
    link = table.links[SEED]
    table.refresh()
    assert table.links == {SEED: link}
    link.identify("agent-1")
    table.refresh()
    assert table.links == {"agent-1": link}
    assert not (link.announced_leaving or link.listed_leaving)
    assert link.member.models == ("fitting",)


def test_directory_entry_reuses_the_link_of_its_seed(table):
    # Guards against a reconnect once the object API is available again.
    link = table.links[SEED]
    link.identify("agent-1")
    member = Member("agent-1", SEED, "iloilo", "visayas", models=("fitting",))
    table.directory.apply_zone("iloilo", 1, [member])
    table.refresh()
    assert table.links == {"agent-1": link}
    assert link.member.zone == "iloilo"
