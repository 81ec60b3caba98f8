"""What the fields of a submission may hold; every process can read it again, in any later version.

The records of batches are JSON that ``load_json`` reads, so integers and texts outside its limits
can't be kept. A client's estimate is no promise: one that is too large counts as the largest.
"""

from __future__ import annotations

from typing import Any

from ..malformed import MAX_INTEGER, MAX_INTEGER_DIGITS, MIN_INTEGER, Unrepresentable


class InvalidFieldError(ValueError):
    """A field of a submission holds what can't be kept."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field


def read_integer(field: str, value: Any) -> int:
    """Return a number or its text as an integer, 0 if it is missing.

    Raises ``InvalidFieldError`` if it is none or has too many digits.
    """
    if value is None or value == "":
        return 0
    try:
        number = int(value)
    except (TypeError, ValueError, OverflowError):
        raise InvalidFieldError(field, "no integer, or one of too many digits") from None
    if not MIN_INTEGER <= number <= MAX_INTEGER:
        raise InvalidFieldError(field, f"an integer of more than {MAX_INTEGER_DIGITS + 1} digits")
    return number


def read_text(field: str, value: Any) -> str:
    """Return a value as text; raises ``InvalidFieldError`` if it can't be UTF-8."""
    if isinstance(value, Unrepresentable):
        raise InvalidFieldError(field, "a number that is too large")
    text = str(value)
    try:
        text.encode()
    except UnicodeEncodeError:
        raise InvalidFieldError(field, "a text with half of a surrogate pair") from None
    return text


def read_estimate(text: str) -> int:
    """Return a client's estimate, 0 if it is no number."""
    if not (text.isascii() and text.isdigit()):
        return 0
    digits = text.lstrip("0")
    return MAX_INTEGER if len(digits) > MAX_INTEGER_DIGITS + 1 else int(digits or "0")
