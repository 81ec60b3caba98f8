"""Fast parser for valid JSON with comments, without lark and without places within the file.

It accepts exactly the texts that ``jsonc`` accepts without findings, and returns the same values
with places that name only the file.
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


class _NotValidError(ValueError):
    """Raised for a text that only ``jsonc`` can report on, since it locates findings."""


def parse_valid(text: str, file: str) -> Located | None:
    """Parse a valid text, or return None if it has any finding."""
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
    raise _NotValidError(word)


def _distinct_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) != len(pairs):
        raise _NotValidError("duplicate key")
    return members


def _located(value: Any, place: Place, depth: int) -> Located:
    if isinstance(value, str) and has_lone_surrogate(value):
        raise _NotValidError("surrogate")
    if not isinstance(value, list | dict):
        return Located(value, place)
    if depth == MAX_DEPTH:
        raise _NotValidError("nested too deeply")
    if isinstance(value, list):
        return Located(tuple(_located(item, place, depth + 1) for item in value), place)
    members = {}
    for key, item in value.items():
        if has_lone_surrogate(key):
            raise _NotValidError("surrogate")
        members[key] = Member(place, _located(item, place, depth + 1))
    return Located(members, place)
