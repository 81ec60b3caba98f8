"""Decodes answers of the store in which other writers' objects may hold anything.

A value that can't be represented makes only its own object unreadable, not the whole answer.
"""

from __future__ import annotations

import json
import re
from typing import Any

from ..malformed import load_json, parse_float, parse_integer

# Nesting beyond this depth is cut; the platform's and our own objects use less than ten levels.
MAX_DEPTH = 64
_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)
# A constant that valid JSON doesn't have.
_CUT = "NaN"


class Unrepresentable:
    """Stands for a value that can't be represented; it can't be serialized."""


def load_tolerantly(text: bytes) -> Any:
    """Decode JSON, with ``Unrepresentable`` in place of odd values; raises ``ValueError``."""
    try:
        return load_json(text)
    except ValueError:
        # Bytes that are no UTF-8 become lone surrogates.
        decoded = text.decode("utf-8", "surrogateescape")
        try:
            return json.loads(
                _cut_nesting(decoded),
                parse_int=_integer_or_marker,
                parse_float=_float_or_marker,
                parse_constant=lambda _name: Unrepresentable(),
            )
        except RecursionError as error:
            raise ValueError("nested too deeply") from error


def dump_value(value: Any) -> bytes:
    """Return a value as JSON, empty if it can't be represented."""
    try:
        text = json.dumps(value, separators=(",", ":"), allow_nan=False)
        if "\\ud" in text:
            # Raises an error for a lone surrogate.
            json.dumps(value, ensure_ascii=False).encode()
        return text.encode()
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


def _integer_or_marker(text: str) -> Any:
    try:
        return parse_integer(text)
    except ValueError:
        return Unrepresentable()


def _float_or_marker(text: str) -> Any:
    try:
        return parse_float(text)
    except ValueError:
        return Unrepresentable()
