"""Writer for indented JSON with a comment beside each value."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any, TypeAlias

import attrs

from .reading import ValuePath


@attrs.frozen
class AnnotatedValue:
    """A value written on one line, its comment, and the path of the answer it derives from."""

    value: Any
    note: str = ""
    source: ValuePath = ()


Tree: TypeAlias = AnnotatedValue | Mapping[str, Any] | Sequence[Any]


@attrs.define
class Writer:
    """Collects lines and, for each line, the path of the answer that it derives from."""

    lines: list[str] = attrs.field(factory=list)
    sources: list[ValuePath] = attrs.field(factory=list)

    def comment(self, text: str) -> None:
        """Add a comment on a line of its own."""
        self._line(f"// {text}", ())

    def text(self) -> str:
        """Return all lines."""
        return "\n".join(self.lines) + "\n"

    def write(self, tree: Tree, indent: int = 0, key: str = "", last: bool = True) -> ValuePath:
        """Add ``tree`` and return the path of its first answer, recorded for its brackets too."""
        head = "  " * indent + (f"{json.dumps(key, ensure_ascii=False)}: " if key else "")
        comma = "" if last else ","
        if isinstance(tree, AnnotatedValue):
            note = f"  // {tree.note}" if tree.note else ""
            text = json.dumps(tree.value, ensure_ascii=False)
            self._line(f"{head}{text}{comma}{note}", tree.source)
            return tree.source
        opening, closing = "{}" if isinstance(tree, Mapping) else "[]"
        if not tree:
            self._line(f"{head}{opening}{closing}{comma}", ())
            return ()
        start = len(self.lines)
        self._line(head + opening, ())
        source = self._write_items(tree, indent + 1)
        self.sources[start] = source
        self._line("  " * indent + closing + comma, source)
        return source

    def _write_items(self, tree: Mapping[str, Any] | Sequence[Any], indent: int) -> ValuePath:
        keyed = isinstance(tree, Mapping)
        items = list(tree.items()) if isinstance(tree, Mapping) else [("", item) for item in tree]
        first: ValuePath = ()
        for number, (key, item) in enumerate(items, 1):
            source = self.write(item, indent, key if keyed else "", number == len(items))
            first = first or source
        return first

    def _line(self, text: str, source: ValuePath) -> None:
        self.lines.append(text)
        self.sources.append(source)
