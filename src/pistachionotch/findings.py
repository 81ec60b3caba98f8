"""Validation findings with their source locations, collected and reported together."""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class Place:
    """A location in a file; line and column start at 1, and 0 means the whole file."""

    file: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@attrs.frozen(order=True)
class Finding:
    """One problem at one location."""

    place: Place
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class InvalidInputError(Exception):
    """Raised with all findings of an input, of which nothing was applied."""

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        self.findings = findings
        super().__init__("\n".join(str(finding) for finding in findings))


@attrs.define
class Findings:
    """A list of findings, collected while an input is read."""

    items: list[Finding] = attrs.field(factory=list)

    def add(self, place: Place, message: str) -> None:
        """Record one problem."""
        self.items.append(Finding(place, message))

    def __bool__(self) -> bool:
        return bool(self.items)

    def raise_if_any(self) -> None:
        """Raise ``InvalidInputError`` with all findings sorted by location."""
        if self.items:
            raise InvalidInputError(tuple(sorted(self.items)))
