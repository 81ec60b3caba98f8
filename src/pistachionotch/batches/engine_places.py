"""Places of engines as seen from the owner of batches, and what they cost an item."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ..routing.zone_spill import Distance, transfer_ms

# An engine in another place must be better than the best one of the home zone by this share of the
# item's duration, beyond the price of the bytes. It is about one item more on an engine of 12
# slots; a smaller difference changes with each item that starts.
LEAVE_MARGIN = 0.1
# The same for an item that the home zone finishes with time to spare, within SPARE_SHARE of the
# time left: half of the slots of a home engine fill before such items leave, and items leave
# engines of less than two thirds of the usual pace. Trainers wait for a step, so staying has a
# limit.
SPARE_MARGIN = 0.5
SPARE_SHARE = 0.5


@attrs.frozen
class Home:
    """Where the owner of batches runs; without a zone, its whole region is home."""

    zone: str
    region: str
    zone_regions: Mapping[str, str]

    def distance(self, zone: str) -> Distance:
        """Return the distance of a zone."""
        if self.zone and zone == self.zone:
            return Distance.HOME
        if self.zone_regions.get(zone) != self.region:
            return Distance.REGION
        return Distance.ZONE if self.zone else Distance.HOME


def place_cost(
    distance: Distance, moved_bytes: int, duration_ms: float, has_time: bool = False
) -> float:
    """Return the cost of an engine's place as a share of the item's duration.

    ``has_time`` tells that the home zone finishes the item with time to spare.
    """
    if distance is Distance.HOME:
        return 0.0
    margin = SPARE_MARGIN if has_time else LEAVE_MARGIN
    return margin + transfer_ms(distance, moved_bytes) / duration_ms
