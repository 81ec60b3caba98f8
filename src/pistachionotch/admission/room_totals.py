"""Values and summary of the topic ``room``: slots used and asked for, by service and account.

The value of a gateway and the summary over all gateways have the same shape, CBOR-compatible:
``{service: {account: [slots in use, slots asked for by refused calls, priority]}}``.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from .account_shares import Demand
from .account_use import AccountUse

ROOM_TOPIC = "room"
# Slots are sent with this many decimal places, so that an unchanged demand is an unchanged value.
DECIMAL_PLACES = 3

RoomValue = dict[str, dict[str, list[Any]]]


@attrs.frozen
class FleetDemands:
    """Demand for one service: the fleet's, with this process's own part as it is now.

    ``totals`` is the fleet's sum and ``published`` this process's part of it.
    """

    use: AccountUse
    service: str
    published: Mapping[str, Demand] = attrs.field(factory=dict)
    totals: Mapping[str, Demand] = attrs.field(factory=dict)

    def demand(self, account: str) -> Demand:
        """Return the demand of one account."""
        return self._with_others(account, self.use.demand(self.service, account))

    def all_demands(self) -> dict[str, Demand]:
        """Return the demand by account."""
        found = dict(self.totals)
        own = self.use.demands(self.service)
        for account in dict.fromkeys([*own, *self.published]):
            if account in own or account in found:
                found[account] = self._with_others(account, own.get(account, Demand()))
        return found

    def others(self, account: str) -> Demand:
        """Return the demand of an account at the other gateways."""
        total = self.totals.get(account)
        if total is None:
            return Demand()
        before = self.published.get(account, Demand())
        # The sum may be older than the published value, so the rest may be below zero.
        return Demand(
            max(0.0, total.in_flight - before.in_flight),
            max(0.0, total.refused - before.refused),
            total.priority,
        )

    def _with_others(self, account: str, own: Demand) -> Demand:
        others = self.others(account)
        priority = others.priority if account in self.totals else own.priority
        return Demand(own.in_flight + others.in_flight, own.refused + others.refused, priority)


def room_value(demands: Mapping[str, Mapping[str, Demand]]) -> RoomValue:
    """Return the value that a gateway publishes for its own demands by service and account."""
    value: RoomValue = {}
    for service, accounts in demands.items():
        rounded = {}
        for account, demand in accounts.items():
            in_flight = round(demand.in_flight, DECIMAL_PLACES)
            refused = round(demand.refused, DECIMAL_PLACES)
            if in_flight or refused:
                rounded[account] = [in_flight, refused, demand.priority]
        if rounded:
            value[service] = rounded
    return value


def read_room_value(value: Any) -> dict[str, dict[str, Demand]]:
    """Parse a gateway's value or a summary; raises ``ValueError`` if it is malformed."""
    check_room_value(value)
    return {
        service: {account: Demand(*numbers) for account, numbers in accounts.items()}
        for service, accounts in value.items()
    }


def sum_room_values(values: Iterable[Any]) -> RoomValue:
    """Return the sum by service and account over the values of all gateways.

    A malformed value is left out, so that one faulty gateway does not stop the summary.
    """
    totals: RoomValue = {}
    for value in values:
        try:
            check_room_value(value)
        except ValueError:
            continue
        for service, accounts in value.items():
            summed = totals.setdefault(service, {})
            for account, (in_flight, refused, priority) in accounts.items():
                known = summed.get(account)
                if known is None:
                    summed[account] = [in_flight, refused, priority]
                    continue
                known[0] += in_flight
                known[1] += refused
                known[2] = min(known[2], priority)
    for accounts in totals.values():
        for numbers in accounts.values():
            numbers[0] = round(numbers[0], DECIMAL_PLACES)
            numbers[1] = round(numbers[1], DECIMAL_PLACES)
    return totals


def check_room_value(value: Any) -> None:
    """Raise ``ValueError`` if a value is malformed."""
    if not isinstance(value, dict):
        raise ValueError("the demands are no map by service")
    for service, accounts in value.items():
        if not isinstance(service, str) or not isinstance(accounts, dict):
            raise ValueError("the demands of a service are no map by account")
        for account, numbers in accounts.items():
            if not isinstance(account, str) or not isinstance(numbers, list) or len(numbers) != 3:
                raise ValueError("the demand of an account is no list of three numbers")
            if not (_is_slots(numbers[0]) and _is_slots(numbers[1]) and type(numbers[2]) is int):
                raise ValueError(f"{numbers!r} is no demand of an account")


def _is_slots(number: Any) -> bool:
    # A comparison with NaN is false.
    return type(number) in (int, float) and 0 <= number < math.inf
