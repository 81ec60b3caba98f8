"""Guards against exceptions, wrong places, and parsers that disagree on which texts are valid."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from pistachionotch.config.jsonc import parse_jsonc
from pistachionotch.config.located import MAX_DEPTH, MAX_INPUT_BYTES, decode_text, plain, read_text
from pistachionotch.config.plain import parse_valid

DERANDOMISED = settings(max_examples=300)
FRAGMENTS = st.sampled_from(
    [
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        '"a"',
        '"a',
        '"\\x"',
        '"\\ud800"',
        "1",
        "01",
        "1e999",
        "-",
        "tru",
    ]
    + [
        "true",
        "null",
        "NaN",
        "-Infinity",
        "//c\n",
        "/*c*/",
        "/*",
        "/",
        " ",
        "\n",
        "\r",
        "\t",
        "\ufeff",
    ]
    + ['"b":1', "9" * 50, "[" * (MAX_DEPTH + 1), "[" * MAX_DEPTH, "]" * MAX_DEPTH, "é", '"\x01"']
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(10**30), 10**30) | st.floats(-1e9, 1e9) | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)


@DERANDOMISED
@given(st.lists(FRAGMENTS, max_size=12).map("".join) | st.text())
def test_any_text_gives_a_value_or_findings_inside_the_text(text):
    result = parse_jsonc(text, "f")
    quick = parse_valid(text, "f")
    if isinstance(result, Success):
        assert quick is not None
        assert repr(plain(quick)) == repr(plain(result.unwrap()))
        return
    assert quick is None
    lines = text.split("\n")
    for finding in result.failure():
        assert 1 <= finding.place.line <= len(lines)
        assert 1 <= finding.place.column <= len(lines[finding.place.line - 1]) + 1


@DERANDOMISED
@given(JSON_VALUES)
def test_every_json_value_is_read_back_by_both_readers(value):
    text = "// head\n" + json.dumps(value, indent=2) + " /* tail */"
    assert plain(parse_jsonc(text, "f").unwrap()) == value
    assert plain(parse_valid(text, "f")) == value


@pytest.mark.parametrize(
    ("text", "place", "message"),
    [
        ("", (1, 1), "file ends where a value is expected"),
        ('{"a": 1,\n "b" 2}', (2, 6), "expected ':', found 2"),
        ('{"a": [1, 2', (1, 12), "file ends where"),
        ('{"a": 1,}', (1, 9), "expected a string, found }"),
        ('[1,\n "ab', (2, 2), "string is not closed"),
        ("[1] /* x", (1, 5), "comment is not closed"),
        ('["a\\q"]', (1, 4), "bad string: invalid \\escape"),
        ('["\\ud800"]', (1, 2), "surrogate"),
        ("[1, 01]", (1, 5), "'01' is not a JSON number"),
        ("[1e999]", (1, 2), "out of range"),
        ("[" + "9" * 5000 + "]", (1, 2), "number longer than"),
        ("[yes]", (1, 2), "unknown word 'yes'"),
        ("[1] 2", (1, 5), "expected the end of the file, found 2"),
        ("[" * 70, (1, 65), "nested more than 64"),
        ("[+1]", (1, 2), "unexpected character '+'"),
    ],
)
def test_malformed_text_is_reported_at_its_place(text, place, message):
    (finding,) = parse_jsonc(text, "f").failure()
    assert (finding.place.line, finding.place.column) == place
    assert message in finding.message
    assert parse_valid(text, "f") is None


def test_problems_that_keep_the_structure_are_reported_together():
    text = '{"a": 01,\n "a": 2,\n "b": {"c": 1, "c": maybe}}'
    findings = parse_jsonc(text, "f").failure()
    assert [(item.place.line, item.place.column) for item in findings] == [
        (1, 7),
        (2, 2),
        (3, 16),
        (3, 21),
    ]
    assert "first at line 1:2" in findings[1].message
    assert parse_valid('{"a": 1, "b": {"c": 1, "c": 1}}', "f") is None


def test_input_above_the_size_limit_is_refused_unparsed(tmp_path):
    for text in ("[" + " " * MAX_INPUT_BYTES + "]", '"' + "é" * (MAX_INPUT_BYTES // 2) + '"'):
        (finding,) = parse_jsonc(text, "f").failure()
        assert "larger than" in finding.message
        assert parse_valid(text, "f") is None
        path = tmp_path / "large.json"
        path.write_text(text)
        assert isinstance(read_text(path), Failure)


def test_unreadable_files_and_bytes_give_findings_with_places(tmp_path):
    (finding,) = decode_text("ab\nçd".encode() + b"\xff", "f").failure()
    assert (finding.place.line, finding.place.column) == (2, 3)
    (finding,) = read_text(tmp_path / "absent").failure()
    assert "cannot be read" in finding.message
    assert isinstance(read_text(tmp_path), Failure)
