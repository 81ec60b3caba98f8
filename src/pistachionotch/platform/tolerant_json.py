"""Decodes answers of the store in which other writers' objects may hold anything.

A value that can't be represented makes only its own object unreadable, not the whole answer.
"""

from __future__ import annotations

import json
import re
from typing import Any

from ..malformed import Unrepresentable, load_any_json, load_json

# Nesting beyond this depth is cut; the platform's and our own objects use less than ten levels.
MAX_DEPTH = 64
_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)
_HALF_PAIR = re.compile("[\ud800-\udfff]")
# What the bytes of texts that are no UTF-8 are decoded to.
_RAW_HALF_PAIR = re.compile("[\udc80-\udcff]")
# A constant that valid JSON doesn't have.
_CUT = "NaN"


def load_tolerantly(text: bytes) -> Any:
    """Decode JSON, with ``Unrepresentable`` in place of odd values; raises ``ValueError``."""
    try:
        return load_json(text)
    except ValueError:
        # Bytes that are no UTF-8 become halves of surrogate pairs.
        decoded = text.decode("utf-8", "surrogateescape")
    value = load_any_json(_cut_nesting(decoded))
    return _mark_half_pairs(value) if _RAW_HALF_PAIR.search(decoded) else value


def _mark_half_pairs(value: Any) -> Any:
    """Put ``Unrepresentable`` in place of each text and table with half of a surrogate pair."""
    if isinstance(value, str):
        return Unrepresentable() if _HALF_PAIR.search(value) else value
    if isinstance(value, list):
        return [_mark_half_pairs(each) for each in value]
    if not isinstance(value, dict):
        return value
    if any(_HALF_PAIR.search(name) for name in value):
        return Unrepresentable()
    return {name: _mark_half_pairs(each) for name, each in value.items()}


def dump_value(value: Any) -> bytes:
    """Return a value as JSON, empty if it can't be represented.

    Large integers are kept, and halves of surrogate pairs that are escaped; the readers decide
    about them.
    """
    try:
        return json.dumps(value, separators=(",", ":"), allow_nan=False).encode()
    except (TypeError, ValueError, RecursionError):
        return b""


def _cut_nesting(text: str) -> str:
    """Replace each value that is nested too deeply."""
    kept = []
    depth = 0
    start = 0
    for token in _TOKEN.finditer(text):
        character = token[0]
        if character in "[{":
            depth += 1
            if depth == MAX_DEPTH:
                kept.append(text[start : token.start()])
        elif character in "]}":
            depth -= 1
            if depth == MAX_DEPTH - 1:
                kept.append(_CUT)
                start = token.end()
    if depth >= MAX_DEPTH:
        raise ValueError("nested too deeply and not closed")
    kept.append(text[start:])
    return "".join(kept)
