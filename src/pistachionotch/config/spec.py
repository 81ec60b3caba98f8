"""Specifications of values, and reading located values by them with every finding kept."""

from __future__ import annotations

import difflib
import enum
import ipaddress
import re
from collections.abc import Callable, Mapping
from functools import singledispatch
from typing import Any, Final, TypeAlias

import attrs

from ..findings import Findings, Place
from .located import Located, Member

ValuePath: TypeAlias = tuple[str | int, ...]

NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}"
MAX_PORT = 65535


class _Rejected(enum.Enum):
    REJECTED = enum.auto()


REJECTED: Final = _Rejected.REJECTED


@attrs.frozen
class Address:
    """Name a TCP endpoint by IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Read ``address:port``, or raise ``ValueError`` with the reason."""
        host, colon, port = text.rpartition(":")
        if not colon or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > MAX_PORT:
            raise ValueError(f"'{text}' is not address:port")
        if host.startswith("[") and host.endswith("]"):
            host = str(ipaddress.IPv6Address(host[1:-1]))
        else:
            host = str(ipaddress.IPv4Address(host))
        return cls(host, int(port))


@attrs.frozen
class TextSpec:
    """Accept text that matches ``pattern`` in full."""

    pattern: str = r"[^\x00-\x1f]+"
    wanted: str = "text of at least one character"


@attrs.frozen
class IntegerSpec:
    """Accept an integer within bounds."""

    minimum: int = 0
    maximum: int | None = None


@attrs.frozen
class NumberSpec:
    """Accept an integer or a decimal number within bounds."""

    minimum: float = 0
    maximum: float | None = None
    above_minimum: bool = False


@attrs.frozen
class FlagSpec:
    """Accept true or false."""


@attrs.frozen
class ChoiceSpec:
    """Accept one of the values of an enumeration of strings."""

    choices: tuple[str, ...]
    construct: Callable[[str], Any] = str


@attrs.frozen
class AddressSpec:
    """Accept ``address:port`` with an IP address."""


@attrs.frozen
class ListSpec:
    """Accept an array whose items all match ``item``."""

    item: Spec
    minimum: int = 0
    distinct: bool = False


@attrs.frozen
class TableSpec:
    """Accept an object whose keys are names, or the choices of ``keys``."""

    item: Spec
    keys: Spec = TextSpec(NAME_PATTERN, "a name of letters, digits, '.', '_' and '-'")
    minimum: int = 0


@attrs.frozen
class FieldSpec:
    """Describe one member of a record; a member without default is required."""

    spec: Spec
    default: Any = attrs.NOTHING

    @property
    def required(self) -> bool:
        """Return whether the member has to be present."""
        return self.default is attrs.NOTHING


@attrs.frozen
class RecordSpec:
    """Accept an object with the given members and construct a value from them."""

    fields: Mapping[str, FieldSpec]
    construct: Callable[..., Any] = dict


Spec: TypeAlias = (
    TextSpec
    | IntegerSpec
    | NumberSpec
    | FlagSpec
    | ChoiceSpec
    | AddressSpec
    | ListSpec
    | TableSpec
    | RecordSpec
)
NAME = TextSpec(NAME_PATTERN, "a name of letters, digits, '.', '_' and '-'")
SHARE = NumberSpec(0, 1)
_SPEC_KEY = "pistachionotch.spec"


def member(spec: Spec, default: Any = attrs.NOTHING, **options: Any) -> Any:
    """Declare an attrs attribute that is read by ``spec``."""
    return attrs.field(default=default, metadata={_SPEC_KEY: spec}, **options)


def record_of(cls: type[attrs.AttrsInstance]) -> RecordSpec:
    """Return the specification of an attrs class whose attributes are ``member``s."""
    fields = {}
    for attribute in attrs.fields(cls):
        fields[attribute.name] = FieldSpec(attribute.metadata[_SPEC_KEY], attribute.default)
    return RecordSpec(fields, cls)


def enumeration(choices: type[enum.StrEnum]) -> ChoiceSpec:
    """Return the specification of one value of a string enumeration."""
    return ChoiceSpec(tuple(item.value for item in choices), choices)


@attrs.define
class Reading:
    """Collect the findings of one input and the place of every value in it."""

    findings: Findings = attrs.field(factory=Findings)
    places: dict[ValuePath, Place] = attrs.field(factory=dict)

    def place_of(self, path: ValuePath) -> Place:
        """Return the place of ``path``, or of the closest value around it."""
        while path not in self.places and path:
            path = path[:-1]
        return self.places[path]

    def reject(self, located: Located, message: str) -> _Rejected:
        """Record a finding at ``located``."""
        self.findings.add(located.place, message)
        return REJECTED


def describe(located: Located) -> str:
    """Return a short text for a value in a message."""
    value = located.value
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, tuple):
        return "an array"
    if value is None or isinstance(value, bool):
        return {None: "null", True: "true", False: "false"}[value]
    return repr(value)[:60]


def read_value(spec: Spec, located: Located, path: ValuePath, reading: Reading) -> Any:
    """Return the value that ``located`` has by ``spec``, or ``REJECTED`` after a finding."""
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
    if len(located.value) < spec.minimum:
        return reading.reject(located, f"at least {spec.minimum} needed in this array")
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
        items.append(item)
    return tuple(items) if complete else REJECTED


@_read.register
def _read_table(spec: TableSpec, located: Located, path: ValuePath, reading: Reading) -> Any:
    if not isinstance(located.value, dict):
        return reading.reject(located, f"expected an object, found {describe(located)}")
    if len(located.value) < spec.minimum:
        return reading.reject(located, f"at least {spec.minimum} needed in this object")
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
    """Return the accepted members of an object; findings tell about all others."""
    members: dict[str, Member] = located.value if isinstance(located.value, dict) else {}
    for key, entry in members.items():
        if key not in spec.fields:
            reading.findings.add(entry.key_place, _unknown_key(key, spec))
    values = {}
    for key, field in spec.fields.items():
        if key not in members:
            if field.required:
                reading.findings.add(located.place, f"'{key}' is missing in this object")
            else:
                values[key] = default_of(field)
            continue
        value = read_value(field.spec, members[key].item, (*path, key), reading)
        if value is not REJECTED:
            values[key] = value
    return values


def default_of(field: FieldSpec) -> Any:
    """Return the default of an optional member."""
    if isinstance(field.default, attrs.Factory):  # type: ignore[arg-type]
        return field.default.factory()
    return field.default


def _unknown_key(key: str, spec: RecordSpec) -> str:
    close = difflib.get_close_matches(key, spec.fields, n=1)
    hint = f"; did you mean '{close[0]}'?" if close else ""
    return f"unknown field {key[:60]!r}{hint}"
