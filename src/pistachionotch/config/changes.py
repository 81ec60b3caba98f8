"""Value-by-value comparison of two configurations."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import attrs

from .located import plain
from .plain import parse_valid


@attrs.frozen
class Change:
    """One changed value as JSON before and after; None means that it is absent."""

    path: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        return f"{self.path}: {self.before or 'absent'} -> {self.after or 'absent'}"


def changes_between(before: str, after: str) -> tuple[Change, ...]:
    """Return the values that differ between two texts, ignoring comments and layout."""
    old = _values(before)
    new = _values(after)
    changes = []
    for path in sorted(old.keys() | new.keys()):
        if old.get(path) != new.get(path):
            changes.append(Change(path, old.get(path), new.get(path)))
    return tuple(changes)


def _values(text: str) -> dict[str, str]:
    if not text:
        return {}
    located = parse_valid(text, "")
    if located is None:
        return {"(text that is not valid)": json.dumps(text)}
    return dict(_flatten(plain(located), ""))


def _flatten(value: Any, path: str) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict) and value:
        for key, item in value.items():
            yield from _flatten(item, f"{path}.{key}" if path else key)
        return
    if isinstance(value, list) and any(isinstance(item, dict | list) for item in value):
        for index, item in enumerate(value):
            yield from _flatten(item, f"{path}[{index}]")
        return
    yield path or "(whole text)", json.dumps(value, ensure_ascii=False)
