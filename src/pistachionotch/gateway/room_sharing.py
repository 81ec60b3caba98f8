"""The demands of accounts that gateways tell each other, on the exchange of state."""

from __future__ import annotations

from typing import Any

import attrs

from ..admission.room_exchange import RoomTotals
from ..admission.room_totals import ROOM_TOPIC, RoomValue, check_room_value, sum_room_values
from ..exchange.board import Topic
from ..exchange.service import StateExchange

# A gateway that was not heard from for this long no longer counts.
KEEP_MS = 10_000


@attrs.define
class SharedRoom:
    """Implement ``RoomExchange`` by a topic of which gateways receive the sum."""

    exchange: StateExchange
    published: RoomValue = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.exchange.board.add_topic(
            Topic(
                name=ROOM_TOPIC, keep_ms=KEEP_MS, check=check_room_value, summarize=sum_room_values
            )
        )
        self.exchange.subscriptions.append(self._subscription)

    def _subscription(self) -> frozenset[str]:
        # A gateway without demand refuses nothing, so it does not need the others' demands.
        return frozenset({ROOM_TOPIC}) if self.published else frozenset()

    def publish(self, value: RoomValue) -> None:
        """Replace this gateway's value; an unchanged one is not sent again."""
        if value == self.published:
            return
        self.published = value
        self.exchange.board.publish(ROOM_TOPIC, value)

    def totals(self) -> RoomTotals | None:
        """Return the newest sum over all gateways, None if none has been received."""
        received_ms = self.exchange.caught_up_ms.get(ROOM_TOPIC)
        value: Any = self.exchange.summary(ROOM_TOPIC)
        if received_ms is None or value is None:
            return None
        return RoomTotals(value, self.exchange.clock.now_ms() - received_ms)
