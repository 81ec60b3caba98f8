"""The revision in effect at one node; it never goes back."""

from __future__ import annotations

import enum
from typing import TypeAlias

import attrs


class IgnoreReason(enum.StrEnum):
    """Say why an offered revision is not applied."""

    LOWER = "lower"
    SAME = "same"
    DIFFERENT_BODY = "different-body"
    INVALID = "invalid"


@attrs.frozen
class Applied:
    """Report that the offered revision is now in effect."""

    revision: int
    replaced: int


@attrs.frozen
class Ignored:
    """Report that the revision in effect stays."""

    revision: int
    reason: IgnoreReason


Offered: TypeAlias = Applied | Ignored


@attrs.define
class Revisions:
    """Hold the highest revision offered so far and its body; 0 means none.

    A revision is the store version of ``control/config``, which the object API never reuses. Two
    bodies with the same revision therefore show a faulty sender, and the first one stays.
    """

    revision: int = 0
    body: bytes = attrs.field(default=b"", repr=False)

    def offer(self, revision: int, body: bytes) -> Offered:
        """Apply ``revision`` if it is higher than the one in effect."""
        if revision < 1:
            return Ignored(self.revision, IgnoreReason.INVALID)
        if revision < self.revision:
            return Ignored(self.revision, IgnoreReason.LOWER)
        if revision == self.revision:
            same = body == self.body
            return Ignored(
                self.revision, IgnoreReason.SAME if same else IgnoreReason.DIFFERENT_BODY
            )
        replaced = self.revision
        self.revision = revision
        self.body = body
        return Applied(revision, replaced)

    def wants(self, revision: int) -> bool:
        """Return whether the body of ``revision`` is worth fetching."""
        return revision > self.revision
