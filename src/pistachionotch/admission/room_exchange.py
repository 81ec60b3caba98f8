"""What the sharing of capacity needs of the exchange between gateways, without I/O."""

from __future__ import annotations

from typing import Any, Protocol

import attrs

from .room_totals import RoomValue, sum_room_values


@attrs.frozen
class RoomTotals:
    """The sum of all gateways' values as it was received, and its age in ms."""

    value: Any
    age_ms: int


class RoomExchange(Protocol):
    """The topic ``room`` of the exchange between gateways."""

    def publish(self, value: RoomValue) -> None:
        """Replace this gateway's value."""

    def totals(self) -> RoomTotals | None:
        """Return the newest sum over all gateways, None if none has been received."""


class NoExchange:
    """A gateway that knows only its own numbers."""

    def publish(self, value: RoomValue) -> None:
        """Do nothing."""

    def totals(self) -> RoomTotals | None:
        """Return None."""
        return None


@attrs.define
class MemoryExchange:
    """Gateways of one process that share a map of values by origin; for tests."""

    origin: str
    values: dict[str, RoomValue]
    age_ms: int = 0

    def publish(self, value: RoomValue) -> None:
        """Replace this gateway's value."""
        self.values[self.origin] = value

    def totals(self) -> RoomTotals | None:
        """Return the sum of the values at this moment."""
        return RoomTotals(sum_room_values(self.values.values()), self.age_ms)
