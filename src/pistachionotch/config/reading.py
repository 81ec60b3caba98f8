"""Conversion of located values according to their specifications, which collects all findings."""

from __future__ import annotations

import difflib
import enum
import re
from functools import singledispatch
from typing import Any, Final, TypeAlias

import attrs

from ..findings import Findings, Place
from .located import Located, Member
from .spec import (
    Address,
    AddressSpec,
    ChoiceSpec,
    FlagSpec,
    IntegerSpec,
    ListSpec,
    NumberSpec,
    RecordSpec,
    Spec,
    TableSpec,
    TextSpec,
)

ValuePath: TypeAlias = tuple[str | int, ...]
MAX_HINTS = 100  # searching similar names takes about as long as the rest of the check


class _Rejected(enum.Enum):
    REJECTED = enum.auto()


REJECTED: Final = _Rejected.REJECTED


@attrs.define
class Reading:
    """The findings of one input, and the place of every value in it."""

    findings: Findings = attrs.field(factory=Findings)
    places: dict[ValuePath, Place] = attrs.field(factory=dict)

    def place_of(self, path: ValuePath) -> Place:
        """Return the place of ``path``, or of the closest value around it."""
        while path not in self.places and path:
            path = path[:-1]
        return self.places[path]

    def reject(self, located: Located, message: str) -> _Rejected:
        """Add a finding at ``located`` and return ``REJECTED``."""
        self.findings.add(located.place, message)
        return REJECTED


def describe(located: Located) -> str:
    """Return a short description of a value for a message."""
    value = located.value
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, tuple):
        return "an array"
    if value is None or isinstance(value, bool):
        return {None: "null", True: "true", False: "false"}[value]
    return repr(value)[:60]


def read_value(spec: Spec, located: Located, path: ValuePath, reading: Reading) -> Any:
    """Convert ``located`` according to ``spec``, or add findings and return ``REJECTED``."""
    reading.places[path] = located.place
    return _read(spec, located, path, reading)


@singledispatch
def _read(spec: Spec, located: Located, path: ValuePath, reading: Reading) -> Any:
    raise TypeError(f"no reader for {spec!r}")


@_read.register
def _read_text(spec: TextSpec, located: Located, path: ValuePath, reading: Reading) -> Any:
    value = located.value
    if isinstance(value, str) and re.fullmatch(spec.pattern, value):
        return value
    return reading.reject(located, f"expected {spec.wanted}, found {describe(located)}")


@_read.register
def _read_integer(spec: IntegerSpec, located: Located, path: ValuePath, reading: Reading) -> Any:
    value = located.value
    if not isinstance(value, int) or isinstance(value, bool):
        return reading.reject(located, f"expected an integer, found {describe(located)}")
    return _bounded(value, spec.minimum, spec.maximum, located, reading)


@_read.register
def _read_number(spec: NumberSpec, located: Located, path: ValuePath, reading: Reading) -> Any:
    value = located.value
    if not isinstance(value, int | float) or isinstance(value, bool):
        return reading.reject(located, f"expected a number, found {describe(located)}")
    if spec.above_minimum and value == spec.minimum:
        return reading.reject(located, f"{value} is not above {spec.minimum:g}")
    return _bounded(value, spec.minimum, spec.maximum, located, reading)


def _bounded(
    value: float, minimum: float, maximum: float | None, located: Located, reading: Reading
) -> Any:
    if value < minimum:
        return reading.reject(located, f"{value} is below {minimum}")
    if maximum is not None and value > maximum:
        return reading.reject(located, f"{value} is above {maximum}")
    return value


@_read.register
def _read_flag(spec: FlagSpec, located: Located, path: ValuePath, reading: Reading) -> Any:
    if isinstance(located.value, bool):
        return located.value
    return reading.reject(located, f"expected true or false, found {describe(located)}")


@_read.register
def _read_choice(spec: ChoiceSpec, located: Located, path: ValuePath, reading: Reading) -> Any:
    if isinstance(located.value, str) and located.value in spec.choices:
        return spec.construct(located.value)
    wanted = ", ".join(spec.choices)
    return reading.reject(located, f"expected one of {wanted}, found {describe(located)}")


@_read.register
def _read_address(spec: AddressSpec, located: Located, path: ValuePath, reading: Reading) -> Any:
    if not isinstance(located.value, str):
        return reading.reject(located, f"expected address:port, found {describe(located)}")
    try:
        return Address.parse(located.value)
    except ValueError as error:
        return reading.reject(located, f"expected address:port: {error}")


@_read.register
def _read_list(spec: ListSpec, located: Located, path: ValuePath, reading: Reading) -> Any:
    if not isinstance(located.value, tuple):
        return reading.reject(located, f"expected an array, found {describe(located)}")
    if not spec.minimum <= len(located.value) <= spec.maximum:
        return reading.reject(located, _wrong_count(spec, len(located.value), "array"))
    items: list[Any] = []
    complete = True
    for index, entry in enumerate(located.value):
        item = read_value(spec.item, entry, (*path, index), reading)
        if item is REJECTED:
            complete = False
            continue
        if spec.distinct and item in items:
            complete = False
            reading.reject(entry, f"{describe(entry)} is in this array already")
            continue
        if spec.key is not None and any(item[spec.key] == other[spec.key] for other in items):
            complete = False
            message = f"'{item[spec.key]}' is the {spec.key} of an earlier entry"
            reading.findings.add(reading.place_of((*path, index, spec.key)), message)
            continue
        items.append(item)
    return tuple(items) if complete else REJECTED


@_read.register
def _read_table(spec: TableSpec, located: Located, path: ValuePath, reading: Reading) -> Any:
    if not isinstance(located.value, dict):
        return reading.reject(located, f"expected an object, found {describe(located)}")
    if not spec.minimum <= len(located.value) <= spec.maximum:
        return reading.reject(located, _wrong_count(spec, len(located.value), "object"))
    items: dict[Any, Any] = {}
    complete = True
    for key, entry in located.value.items():
        name = _read(spec.keys, Located(key, entry.key_place), path, reading)
        item = read_value(spec.item, entry.item, (*path, key), reading)
        if name is REJECTED or item is REJECTED:
            complete = False
            continue
        items[name] = item
    return items if complete else REJECTED


@_read.register
def _read_record(spec: RecordSpec, located: Located, path: ValuePath, reading: Reading) -> Any:
    if not isinstance(located.value, dict):
        return reading.reject(located, f"expected an object, found {describe(located)}")
    values = read_members(spec, located, path, reading)
    complete = values.keys() == spec.fields.keys() and not located.value.keys() - spec.fields.keys()
    return spec.construct(**values) if complete else REJECTED


def read_members(
    spec: RecordSpec, located: Located, path: ValuePath, reading: Reading
) -> dict[str, Any]:
    """Return the accepted members; add findings for unknown, missing and rejected ones."""
    members: dict[str, Member] = located.value if isinstance(located.value, dict) else {}
    for key, entry in members.items():
        if key not in spec.fields:
            reading.findings.add(
                entry.key_place, _unknown_key(key, spec, len(reading.findings.items) < MAX_HINTS)
            )
    values = {}
    for key, field in spec.fields.items():
        if key not in members:
            if field.required:
                reading.findings.add(located.place, f"'{key}' is missing in this object")
            else:
                values[key] = field.default_value()
            continue
        value = read_value(field.spec, members[key].item, (*path, key), reading)
        if value is not REJECTED:
            values[key] = value
    return values


def _wrong_count(spec: ListSpec | TableSpec, count: int, kind: str) -> str:
    if count < spec.minimum:
        return f"at least {spec.minimum} needed in this {kind}"
    return f"{count} entries in this {kind}, at most {spec.maximum} allowed"


def _unknown_key(key: str, spec: RecordSpec, hint_wanted: bool) -> str:
    close = difflib.get_close_matches(key, spec.fields, n=1) if hint_wanted else []
    hint = f"; did you mean '{close[0]}'?" if close else ""
    return f"unknown field {key[:60]!r}{hint}"
