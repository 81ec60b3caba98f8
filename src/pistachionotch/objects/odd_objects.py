"""Objects of other writers that can't be used."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

import attrs

from ..malformed import MAX_DESCRIPTION, describe
from ..measures import Measures


@attrs.define
class OddObjects:
    """Logs and counts each unusable object once, until it is sound or odd for another reason."""

    log: Any
    measures: Measures = attrs.field(factory=Measures)
    # Reasons by key.
    reasons: dict[str, str] = attrs.field(factory=dict)

    def report(self, key: str, version: int, error: Exception) -> None:
        """Note that an object can't be used."""
        reason = describe(error)
        if self.reasons.get(key) == reason:
            return
        self.reasons[key] = reason
        self.measures.count("odd_objects", key.partition("/")[0])
        self.log.warning(
            "unreadable object", key=key[:MAX_DESCRIPTION], version=version, error=reason
        )

    def forget(self, key: str) -> None:
        """Note that an object can be used."""
        self.reasons.pop(key, None)

    def keep(self, prefix: str, present: Collection[str]) -> None:
        """Forget objects under a prefix that are gone."""
        for key in [key for key in self.reasons if key.startswith(prefix) and key not in present]:
            del self.reasons[key]
