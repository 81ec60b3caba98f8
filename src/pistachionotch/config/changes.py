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

    def kind(self) -> str:
        """Return whether the value was added, removed or changed."""
        if self.before is None:
            return "added"
        return "removed" if self.after is None else "changed"


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
    return dict(flatten(plain(located), ""))


def flatten(value: Any, path: str) -> Iterator[tuple[str, str]]:
    """Yield the path and the JSON of each value that has no further objects in it."""
    if isinstance(value, dict) and value:
        for key, item in value.items():
            yield from flatten(item, f"{path}.{key}" if path else key)
        return
    if isinstance(value, list) and any(isinstance(item, dict | list) for item in value):
        for index, item in enumerate(value):
            yield from flatten(item, f"{path}[{index}]")
        return
    yield path or "(whole text)", json.dumps(value, ensure_ascii=False)
