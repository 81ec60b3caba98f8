"""Fast, small reader for valid JSON with comments; it cannot tell where a problem is.

It accepts exactly the texts that ``jsonc`` accepts without findings and gives the same values, with
places that name the file only.
"""

from __future__ import annotations

import json
import re
from typing import Any

from ..findings import Place
from .located import MAX_DEPTH, Located, Member, has_lone_surrogate, number_of, size_finding

_STRING_OR_COMMENT = re.compile(
    r'"(?:\\.|[^"\\\n])*"|//[^\n]*|/\*(?:[^*]|\*(?!/))*\*/', re.ASCII | re.DOTALL
)


class _NotPlainError(ValueError):
    """Report that the text needs the parser that can locate findings."""


def parse_valid(text: str, file: str) -> Located | None:
    """Return the value of a valid text, or None if it has any finding."""
    if size_finding(text, file) is not None:
        return None
    stripped = _STRING_OR_COMMENT.sub(_without_comment, text)
    try:
        value = json.loads(
            stripped,
            object_pairs_hook=_distinct_members,
            parse_int=number_of,
            parse_float=number_of,
            parse_constant=_reject,
        )
        return _located(value, Place(file), 0)
    except (ValueError, RecursionError):
        return None


def _without_comment(match: re.Match[str]) -> str:
    return match[0] if match[0].startswith('"') else " "


def _reject(word: str) -> None:
    raise _NotPlainError(word)


def _distinct_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) != len(pairs):
        raise _NotPlainError("duplicate key")
    return members


def _located(value: Any, place: Place, depth: int) -> Located:
    if isinstance(value, str) and has_lone_surrogate(value):
        raise _NotPlainError("surrogate")
    if not isinstance(value, list | dict):
        return Located(value, place)
    if depth == MAX_DEPTH:
        raise _NotPlainError("nested too deeply")
    if isinstance(value, list):
        return Located(tuple(_located(item, place, depth + 1) for item in value), place)
    members = {}
    for key, item in value.items():
        if has_lone_surrogate(key):
            raise _NotPlainError("surrogate")
        members[key] = Member(place, _located(item, place, depth + 1))
    return Located(members, place)
