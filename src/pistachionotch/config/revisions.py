"""The configuration revision in effect at one node, which never decreases."""

from __future__ import annotations

import enum
from typing import TypeAlias

import attrs


class IgnoreReason(enum.StrEnum):
    """Reasons why an offered revision is not applied."""

    LOWER = "lower"
    SAME = "same"
    DIFFERENT_BODY = "different-body"
    INVALID = "invalid"


@attrs.frozen
class Applied:
    """The offered revision is now in effect, instead of ``replaced``."""

    revision: int
    replaced: int


@attrs.frozen
class Ignored:
    """The offered revision was ignored; ``revision`` is still in effect."""

    revision: int
    reason: IgnoreReason


OfferResult: TypeAlias = Applied | Ignored


@attrs.define
class Revisions:
    """The highest revision offered so far and its body; revision 0 means none.

    A revision is the store version of ``control/config``, which the object API never reuses. Two
    different bodies with the same revision therefore mean a faulty sender; the first one is kept.
    """

    revision: int = 0
    body: bytes = attrs.field(default=b"", repr=False)

    def offer(self, revision: int, body: bytes) -> OfferResult:
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
        """Return whether ``revision`` is newer than the one in effect and its body needed."""
        return revision > self.revision
