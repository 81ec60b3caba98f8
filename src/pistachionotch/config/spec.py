"""Specifications of values: what is accepted, and the type that it is converted to."""

from __future__ import annotations

import enum
import ipaddress
import re
from collections.abc import Callable, Mapping
from typing import Any, TypeAlias

import attrs

NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}"
MAX_PORT = 65535
MAX_ENTRIES = 1_000  # checks compare the entries of a list pairwise


@attrs.frozen
class Address:
    """A TCP endpoint as IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``address:port``, or raise ``ValueError`` with the reason."""
        host, colon, port = text.rpartition(":")
        if not colon or not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > MAX_PORT:
            raise ValueError(f"'{text}' is not address:port")
        if host.startswith("[") and host.endswith("]"):
            host = str(ipaddress.IPv6Address(host[1:-1]))
        else:
            host = str(ipaddress.IPv4Address(host))
        return cls(host, int(port))

    @classmethod
    def parse_peer(cls, text: str) -> Address:
        """Parse the address of another process, or raise ``ValueError`` with the reason."""
        found = cls.parse(text)
        host = ipaddress.ip_address(found.host)
        if found.port == 0 or host.is_unspecified or host.is_multicast:
            raise ValueError(f"'{text}' is no address of a process")
        return found


@attrs.frozen
class TextSpec:
    """Accepts text that matches ``pattern`` in full."""

    pattern: str = r"[^\x00-\x1f]+"
    wanted: str = "text of at least one character"


@attrs.frozen
class IntegerSpec:
    """Accepts an integer within bounds."""

    minimum: int = 0
    maximum: int | None = None


@attrs.frozen
class NumberSpec:
    """Accepts an integer or a decimal number within bounds."""

    minimum: float = 0
    maximum: float | None = None
    above_minimum: bool = False


@attrs.frozen
class FlagSpec:
    """Accepts true or false."""


@attrs.frozen
class ChoiceSpec:
    """Accepts one of the values of an enumeration of strings."""

    choices: tuple[str, ...]
    construct: Callable[[str], Any] = str


@attrs.frozen
class AddressSpec:
    """Accepts ``address:port`` with an IP address."""


@attrs.frozen
class ListSpec:
    """Accepts an array whose items all match ``item``; ``key`` names a member that is unique."""

    item: Spec
    minimum: int = 0
    maximum: int = MAX_ENTRIES
    distinct: bool = False
    key: str | None = None


@attrs.frozen
class TableSpec:
    """Accepts an object whose keys are names, or the choices of ``keys``."""

    item: Spec
    keys: Spec = TextSpec(NAME_PATTERN, "a name of letters, digits, '.', '_' and '-'")
    minimum: int = 0
    maximum: int = MAX_ENTRIES


@attrs.frozen
class FieldSpec:
    """A member of a record; a member without default is required."""

    spec: Spec
    default: Any = attrs.NOTHING

    @property
    def required(self) -> bool:
        """Return whether the member must be present."""
        return self.default is attrs.NOTHING

    def default_value(self) -> Any:
        """Return the default of an optional member."""
        factory = getattr(self.default, "factory", None)
        return self.default if factory is None else factory()


@attrs.frozen
class RecordSpec:
    """Accepts an object with the given members and constructs a value from them."""

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
    """Declare an attrs attribute whose value is read according to ``spec``."""
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
