"""Decoding of messages and objects of others, and the exceptions that it may raise."""

from __future__ import annotations

import json
import math
import re
from typing import Any, NoReturn

import cbor2

# Raised for missing fields, wrong types, numbers out of range and values nested too deeply.
MALFORMED = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError, RecursionError)
# Integers that ``load_json`` reads have up to this many characters, of which one may be a sign.
MAX_INTEGER_DIGITS = 19
MAX_INTEGER = 10 ** (MAX_INTEGER_DIGITS + 1) - 1
MIN_INTEGER = 1 - 10**MAX_INTEGER_DIGITS
# Python converts longer texts only slowly and refuses those of more than 4,300 digits.
MAX_CONVERTED_DIGITS = 4_000
_SURROGATE_ESCAPE = re.compile(rb"\\u[dD][89a-fA-F]")
# Length to which the description of an error is cut in log lines.
MAX_DESCRIPTION = 200


def load_cbor(body: bytes) -> Any:
    """Decode CBOR; raises ``ValueError`` if it is malformed."""
    try:
        return cbor2.loads(body)
    except (cbor2.CBORError, EOFError, *MALFORMED) as error:
        raise ValueError(f"malformed CBOR: {error!r}") from error


def load_json(text: bytes | str) -> Any:
    """Decode JSON; raises ``ValueError`` if it is malformed, too deep or has too large numbers."""
    try:
        return json.loads(
            text, parse_int=parse_integer, parse_float=parse_float, parse_constant=_reject_constant
        )
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def load_any_json(text: bytes | str) -> Any:
    """Decode JSON with integers of any usual size, and ``Unrepresentable`` for other odd numbers.

    For texts of which each field is checked by itself, and for records that earlier versions wrote.
    Raises ``ValueError`` if the text is malformed or nested too deeply.
    """
    try:
        return json.loads(
            text,
            parse_int=_integer_or_marker,
            parse_float=_float_or_marker,
            parse_constant=lambda _name: Unrepresentable(),
        )
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def load_utf8_json(text: bytes) -> Any:
    """Decode JSON as ``load_json`` does; raises ``ValueError`` if a text in it can't be UTF-8."""
    value = load_json(text)
    if _SURROGATE_ESCAPE.search(text):
        # Raises an error for half of a surrogate pair.
        json.dumps(value, ensure_ascii=False).encode()
    return value


class Unrepresentable:
    """Stands for a value that can't be represented; it can't be serialized."""


def _integer_or_marker(text: str) -> Any:
    return int(text) if len(text) <= MAX_CONVERTED_DIGITS else Unrepresentable()


def _float_or_marker(text: str) -> Any:
    try:
        return parse_float(text)
    except ValueError:
        return Unrepresentable()


def clamp_integer(value: int) -> int:
    """Return the integer next to ``value`` that ``load_json`` reads."""
    return max(MIN_INTEGER, min(MAX_INTEGER, value))


def parse_integer(text: str) -> int:
    """Return an integer; raises ``ValueError`` if it is too large."""
    if len(text) > MAX_INTEGER_DIGITS + 1:
        raise ValueError(f"a number of {len(text)} digits")
    return int(text)


def parse_float(text: str) -> float:
    """Return a finite number; raises ``ValueError`` if it is too large."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("a number that is too large")
    return value


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no JSON")


def describe(error: Exception) -> str:
    """Return a description of an error that fits into a log line."""
    text = repr(error)
    return text if len(text) <= MAX_DESCRIPTION else text[:MAX_DESCRIPTION] + "..."
