"""Guards against batches that are accepted and can't be read back: after a restart they are lost.

A submission with an estimate of 21 digits was stored, and no process could read it any more.
"""

import json

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from record_values import (
    ENTRIES,
    EXAMPLES,
    INTEGERS,
    OWNERS,
    PARTIAL,
    RESULTS,
    TEXTS,
    through_platform,
)
from submission_texts import accepted, head_of, submission

from pistachionotch.batches.log import _read_items, _split_items
from pistachionotch.batches.model import (
    BatchState,
)
from pistachionotch.batches.records import (
    entry_bytes,
    head_bytes,
    item_fields,
    read_entry,
    read_head,
    read_state,
    state_bytes,
)
from pistachionotch.malformed import MAX_INTEGER
from pistachionotch.platform.batches import read_submission
from pistachionotch.platform.upstream import EventReader, _parse_versions

# What clients may write into a number or a text of a submission, as JSON.
ODD_DIGITS = st.integers(1, 6_000).map(lambda count: "1" + "0" * (count - 1))
ODD_NUMBERS = (
    INTEGERS.map(str)
    | ODD_DIGITS
    | ODD_DIGITS.map(json.dumps)
    | st.sampled_from(
        ["1e30", "-1e30", "1e400", '"1e30"', "1.5", "null", '""', "true", "[]", '"\u00b2"']
    )
    | TEXTS.map(json.dumps)
)
ODD_TEXTS = TEXTS.map(json.dumps) | st.sampled_from(
    ['"\\ud800"', '"\\udc00x"', "7", "null", "1e400"]
)


@st.composite
def submission_texts(draw):
    """Return the text of a submission whose fields are as odd as JSON allows."""
    return submission(
        train_step=draw(ODD_NUMBERS),
        model=draw(ODD_TEXTS),
        min_version=draw(ODD_NUMBERS),
        desired=draw(ODD_NUMBERS),
        token_count=draw(ODD_NUMBERS),
        group_id=draw(ODD_TEXTS),
        hint=json.dumps(draw(ODD_DIGITS | TEXTS)),
    )


def check_head(head):
    items = [item_fields(item) for item in head.submission.items]
    value = head_bytes(head, items, 0)
    assert read_head(through_platform(value)) == (head, 0)
    assert read_head(value) == (head, 0)
    for chunk in _split_items(head.submission.items, 1):
        assert _read_items(through_platform(json.dumps(chunk).encode()))
    state = BatchState(head=head, position=1, listed=(), unlisted=(), parts=())
    assert read_state(state_bytes(state)) == state


@settings(max_examples=400)
@given(submission_texts())
def test_each_process_can_read_what_was_accepted(text):
    # A batch got 202, and after a restart each read of it was answered with 500 for good.
    found = accepted(text)
    if found is not None:
        check_head(head_of(found))


@pytest.mark.parametrize("field", ["train_step", "min_version", "desired", "token_count"])
@pytest.mark.parametrize("value", ["1e30", "1" + "0" * 25, f'"{10**25}"', f'"{10**39}"'])
def test_a_number_that_cannot_be_kept_is_refused_by_its_name(field, value):
    with pytest.raises(ValueError, match=field):
        read_submission("b1", "h", "/p/b1", submission(**{field: value}).encode())


@pytest.mark.parametrize("field", ["model", "group_id"])
def test_half_of_a_surrogate_pair_is_refused_by_the_name_of_its_field(field):
    with pytest.raises(ValueError, match=field):
        read_submission("b1", "h", "/p/b1", submission(**{field: '"\\ud800"'}).encode())


@pytest.mark.parametrize("hint", ["1" + "0" * 20, "9" * 300, "9" * 9_000, "0" * 30 + "5", "\u00b2"])
def test_an_estimate_may_be_far_off(hint):
    found = accepted(submission(hint=json.dumps(hint)))
    assert found.items[0].headers == (("Length-Hint", hint),)
    check_head(head_of(found))


def test_numbers_of_twenty_digits_are_accepted():
    digits = "9" * 20
    found = accepted(submission(token_count=digits, desired=f'"{digits}"', train_step=digits))
    assert found.items[0].max_tokens == found.wanted_groups == found.step == int(digits)
    check_head(head_of(found))


@pytest.mark.parametrize("number", [10**20, 10**30, 10**300])
def test_a_head_that_earlier_versions_stored_can_be_read(number):
    # They stored any number, and any text as JSON can hold it.
    found = accepted(submission())
    item = attrs.evolve(found.items[0], max_tokens=number, expected_tokens=number, group="\ud800")
    large = attrs.evolve(
        found, items=(item,), wanted_groups=number, step=number, min_version=number
    )
    value = head_bytes(head_of(large), [item_fields(item)], 0)
    head, _parts = read_head(through_platform(value))
    assert head.submission.wanted_groups == head.submission.items[0].max_tokens == MAX_INTEGER
    assert head.submission.items[0].group == "\ud800"
    assert head.submission.items[0].body == item.body
    state = BatchState(head=head, position=0, listed=(), unlisted=(), parts=())
    assert read_state(state_bytes(state)) == state


@EXAMPLES
@given(ENTRIES)
def test_log_entries(entry):
    assert read_entry(through_platform(entry_bytes(entry))) == entry


@EXAMPLES
@given(OWNERS, INTEGERS, st.lists(RESULTS, max_size=2), st.lists(PARTIAL, max_size=2))
def test_handed_over_batches(owner, position, results, parts):
    state = BatchState(
        head=head_of(accepted(submission()), owner),
        position=position,
        listed=tuple(results),
        unlisted=tuple(results),
        parts=tuple(parts),
    )
    assert read_state(state_bytes(state)) == state


@pytest.mark.parametrize("version", ["1" + "0" * 25, "\u00b2", "9" * 5_000, "x"])
def test_a_weight_version_that_cannot_be_stored_is_none(version):
    # The log entry with it could not be read, and with it all results after it.
    assert _parse_versions(f"6, {version}") == (6,)
    for line in (f"id: 1\nweight-versions: {version}", f"id: {version}\nweight-versions: 6"):
        with pytest.raises(ValueError):
            EventReader().feed(f"{line}\ndata: x\n\n".encode())
