"""Decoding of messages and objects of others, and the exceptions that it may raise."""

from __future__ import annotations

import json
import math
from typing import Any, NoReturn

import cbor2

# Raised for missing fields, wrong types, numbers out of range and values nested too deeply.
MALFORMED = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError, RecursionError)
# Integers have up to 64 bits.
MAX_INTEGER_DIGITS = 19
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
