"""Guards against sending work to leaving members, and against outdated directory objects."""

import attrs
import pytest

from pistachionotch.membership.directory import (
    Directory,
    Member,
    MemberState,
    decode_members,
    encode_members,
)


def make_member(node, incarnation="1", **fields):
    values = {"zone": "cebu", "region": "visayas", "models": ("fitting",)} | fields
    return Member(node, f"{node}:7000", incarnation=incarnation, **values)


def nodes(directory, model=""):
    return [member.node for member in directory.live_members(model)]


def test_older_zone_object_is_ignored():
    """Guards against a watch that delivers changes out of order."""
    directory = Directory()
    directory.apply_zone("cebu", 2, [make_member("a")])
    directory.apply_zone("cebu", 1, [make_member("b")])
    assert nodes(directory) == ["a"]


def test_leaving_incarnation_is_not_live_though_an_object_still_names_it():
    directory = Directory()
    directory.mark_leaving("a", "1")
    directory.apply_zone("cebu", 1, [make_member("a")])
    directory.apply_zone("cebu", 2, [make_member("a", "0")])
    directory.apply_zone("cebu", 3, [make_member("a")])
    assert nodes(directory) == []


def test_next_incarnation_is_live_again():
    directory = Directory()
    directory.mark_leaving("a", "1")
    directory.apply_zone("cebu", 1, [make_member("a", "2")])
    assert nodes(directory) == ["a"]


def test_vm_list_removes_leaving_members_but_not_missing_ones():
    directory = Directory()
    directory.apply_zone("cebu", 1, [make_member("a"), make_member("b")])
    directory.apply_vm_list({"a": MemberState.LEAVING})
    assert nodes(directory) == ["b"]


def test_models_select_members():
    directory = Directory()
    directory.apply_zone("cebu", 1, [make_member("a"), make_member("b", models=())])
    assert nodes(directory, "fitting") == ["a"]


def test_change_names_who_joined_and_left():
    directory = Directory()
    directory.apply_zone("cebu", 1, [make_member("a"), make_member("b")])
    change = directory.apply_zone("cebu", 2, [make_member("b"), make_member("c")])
    assert (change.joined, change.left) == (("c",), ("a",))


def test_members_survive_encoding():
    members = (make_member("a"), attrs.evolve(make_member("b"), state=MemberState.LEAVING))
    assert decode_members(encode_members(members)) == members


@pytest.mark.parametrize("value", [b"", b"3", b"[3]", b'[{"node": "a"}]', b"\xff"])
def test_malformed_object_is_a_value_error(value):
    """Guards against a malformed object that crashes the process that reads it."""
    with pytest.raises(ValueError):
        decode_members(value)


def test_leaving_marks_are_bounded():
    directory = Directory()
    for number in range(5_000):
        directory.mark_leaving(f"n{number}", "1")
    assert len(directory.leaving_incarnations) == 4_096
