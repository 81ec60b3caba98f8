"""JSON values with their places in the file, and the limits that apply to all input."""

from __future__ import annotations

import math
import re
from pathlib import Path as FilePath
from typing import Any, TypeAlias

import attrs
from returns.result import Failure, Result, Success

from ..findings import Finding, Place

MAX_INPUT_BYTES = 1_000_000  # the object API stores values of up to 1 MB
MAX_DEPTH = 64  # bounds the recursion of every parser and reader; the schema needs 5
MAX_NUMBER_CHARACTERS = 40  # far below the 4,300 digits at which int() raises ValueError

_JSON_NUMBER = re.compile(r"-?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?")


@attrs.frozen
class Located:
    """A value with its place: a scalar, a tuple of values, or a dict of members by key."""

    value: Value
    place: Place


@attrs.frozen
class Member:
    """A member of an object, with the place of its key."""

    key_place: Place
    item: Located


Value: TypeAlias = str | int | float | bool | None | tuple[Located, ...] | dict[str, Member]


def plain(located: Located) -> Any:
    """Return the value without places, as ``json.loads`` would."""
    value = located.value
    if isinstance(value, tuple):
        return [plain(item) for item in value]
    if isinstance(value, dict):
        return {key: plain(member.item) for key, member in value.items()}
    return value


def number_of(text: str) -> int | float:
    """Convert the text of a JSON number, or raise ``ValueError`` with the reason."""
    if len(text) > MAX_NUMBER_CHARACTERS:
        raise ValueError(f"number longer than {MAX_NUMBER_CHARACTERS} characters")
    match = _JSON_NUMBER.fullmatch(text)
    if match is None:
        raise ValueError(f"'{text}' is not a JSON number")
    if match[2] is None and match[3] is None:
        return int(text)
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"number {text} is out of range")
    return number


def has_lone_surrogate(text: str) -> bool:
    """Return whether ``text`` cannot be encoded as UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return True
    return False


def size_finding(text: str, file: str) -> Finding | None:
    """Return a finding if ``text`` exceeds the size limit for inputs."""
    size = len(text)
    if size * 4 > MAX_INPUT_BYTES:
        size = len(text.encode(errors="surrogatepass"))
    if size <= MAX_INPUT_BYTES:
        return None
    return Finding(Place(file), f"input larger than {MAX_INPUT_BYTES} bytes")


def decode_text(data: bytes, file: str) -> Result[str, tuple[Finding, ...]]:
    """Decode UTF-8, or return a finding at the first invalid byte."""
    if len(data) > MAX_INPUT_BYTES:
        return Failure((Finding(Place(file), f"input larger than {MAX_INPUT_BYTES} bytes"),))
    try:
        return Success(data.decode())
    except UnicodeDecodeError as error:
        before = data[: error.start].decode()
        line = before.count("\n") + 1
        column = len(before) - (before.rfind("\n") + 1) + 1
        return Failure((Finding(Place(file, line, column), "not valid UTF-8"),))


def read_text(path: str | FilePath) -> Result[str, tuple[Finding, ...]]:
    """Read a UTF-8 file without reading more than the size limit."""
    try:
        with open(path, "rb") as stream:
            data = stream.read(MAX_INPUT_BYTES + 1)
    except OSError as error:
        reason = error.strerror or type(error).__name__
        return Failure((Finding(Place(str(path)), f"cannot be read: {reason}"),))
    return decode_text(data, str(path))
