"""Guards against subsets in one zone, reshuffling on a change of members, and uneven fan-in."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachionotch.membership.directory import Member
from pistachionotch.membership.subset import choose_agents
from pistachionotch.routing.candidates import Location

DETERMINISTIC = settings(derandomize=True, database=None, deadline=None)
ZONES = {"cebu": "visayas", "iloilo": "visayas", "manila": "luzon"}
LOCATION = Location("entry", "cebu", "visayas")


def make_member(number, zone):
    return Member(f"agent-{number}", f"10.0.0.{number}:7000", zone, ZONES[zone])


zones = st.lists(st.sampled_from(sorted(ZONES)), min_size=1, max_size=60)


def nodes(members):
    return {member.node for member in members}


@DETERMINISTIC
@given(names=zones, size=st.integers(2, 20))
def test_subset_has_the_size_and_spans_two_zones_when_there_are_two(names, size):
    members = [make_member(number, zone) for number, zone in enumerate(names)]
    chosen = choose_agents("entry", LOCATION, members, size)
    assert len(chosen) == len(nodes(chosen)) == min(size, len(members))
    if len(set(names)) > 1:
        assert len({member.zone for member in chosen}) > 1


@DETERMINISTIC
@given(names=zones, size=st.integers(2, 20), data=st.data())
def test_one_leaving_member_changes_few_connections(names, size, data):
    members = [make_member(number, zone) for number, zone in enumerate(names)]
    left = data.draw(st.sampled_from(members))
    before = nodes(choose_agents("entry", LOCATION, members, size))
    rest = [member for member in members if member is not left]
    after = nodes(choose_agents("entry", LOCATION, rest, size))
    assert len(after - before) <= 2
    assert len(before - after - {left.node}) <= 1


@DETERMINISTIC
@given(names=zones, size=st.integers(2, 20), rng=st.randoms(use_true_random=False))
def test_order_of_members_does_not_matter(names, size, rng):
    members = [make_member(number, zone) for number, zone in enumerate(names)]
    shuffled = list(members)
    rng.shuffle(shuffled)
    assert choose_agents("entry", LOCATION, members, size) == choose_agents(
        "entry", LOCATION, shuffled, size
    )


def test_own_zone_is_preferred():
    members = [make_member(number, sorted(ZONES)[number % 3]) for number in range(90)]
    chosen = choose_agents("entry", LOCATION, members, 20)
    counts = Counter(member.zone for member in chosen)
    assert counts["cebu"] == 15
    assert counts["iloilo"] == 5


def test_entries_spread_over_all_agents():
    """Guards against agents that no entry connects to at target scale."""
    members = [make_member(number, sorted(ZONES)[number % 3]) for number in range(1_100)]
    fan_in = Counter()
    for number in range(330):
        zone = sorted(ZONES)[number % 3]
        location = Location(f"entry-{number}", zone, ZONES[zone])
        fan_in.update(nodes(choose_agents(location.node, location, members, 80)))
    assert len(fan_in) == 1_100
    assert max(fan_in.values()) < 60
