"""Reading of whole documents; lark is used only to locate the findings of invalid ones."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from ..findings import Finding
from .located import Located
from .plain import parse_valid
from .reading import Reading, read_value
from .spec import RecordSpec

Built = TypeVar("Built")


def read_document(spec: RecordSpec, located: Located, reading: Reading) -> Any:
    """Convert a whole document according to ``spec``, or return ``REJECTED``."""
    return read_value(spec, located, (), reading)


def parse_and_build(
    text: str, file: str, build: Callable[[Located, Reading], Built | None]
) -> Result[Built, tuple[Finding, ...]]:
    """Build a value from ``text``, or return all findings with their places.

    ``build`` may run twice: first on values without places and, if there were findings, again on
    values with places. Valid input therefore never needs lark.
    """
    valid = parse_valid(text, file)
    if valid is not None:
        reading = Reading()
        built = build(valid, reading)
        if built is not None and not reading.findings:
            return Success(built)
    return _build_with_places(text, file, build)


def _build_with_places(
    text: str, file: str, build: Callable[[Located, Reading], Built | None]
) -> Result[Built, tuple[Finding, ...]]:
    from .jsonc import read_jsonc

    reading = Reading()
    located = read_jsonc(text, file, reading.findings)
    built = None if located is None else build(located, reading)
    if built is None or reading.findings:
        return Failure(tuple(sorted(reading.findings.items)))
    return Success(built)
