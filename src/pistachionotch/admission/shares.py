"""Division of an upstream's slots between request classes."""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

from ..outcomes import RequestClass

SHORT_CLASSES = (RequestClass.STOREFRONT, RequestClass.CONFIRMATION)
BACKGROUND_CLASSES = (RequestClass.TRAINING, RequestClass.LONG)


@attrs.frozen
class ClassShares:
    """Division of the slots: some are reserved for short work, and long work has a ceiling."""

    short_reserved: float = 0.125
    long_ceiling: float = 0.5
    # Bounds how many starts of other classes a class with startable work is passed over for.
    max_passes: int = 16

    def reserved(self, limit: int) -> int:
        """Return the number of slots reserved for short work; at least one is left for others."""
        return min(limit - 1, math.ceil(limit * self.short_reserved))

    def ceiling(self, request_class: RequestClass, limit: int) -> int:
        """Return the maximum number of slots for work of this class."""
        if request_class in SHORT_CLASSES:
            return limit
        if request_class is RequestClass.LONG:
            return max(1, min(limit - self.reserved(limit), int(limit * self.long_ceiling)))
        return limit - self.reserved(limit)

    def free_slots(
        self, request_class: RequestClass, running: Mapping[RequestClass, int], limit: int
    ) -> int:
        """Return how many runs of this class may start now."""
        free = limit - sum(running.values())
        if request_class in SHORT_CLASSES:
            return max(0, free)
        background = sum(running.get(name, 0) for name in BACKGROUND_CLASSES)
        free = min(free, limit - self.reserved(limit) - background)
        own = self.ceiling(request_class, limit) - running.get(request_class, 0)
        return max(0, min(free, own))

    def competing(
        self, request_class: RequestClass, running: Mapping[RequestClass, int], limit: int
    ) -> tuple[RequestClass, ...]:
        """Return the classes whose running work, when it finishes, frees a slot for this class."""
        if request_class in SHORT_CLASSES:
            return tuple(RequestClass)
        if running.get(request_class, 0) >= self.ceiling(request_class, limit):
            return (request_class,)
        background = sum(running.get(name, 0) for name in BACKGROUND_CLASSES)
        if background >= limit - self.reserved(limit):
            return BACKGROUND_CLASSES
        return tuple(RequestClass)
