"""Demand for the servers of each service and zone, as gateways exchange it; performs no I/O.

Load pattern: calls of some ten milliseconds, which a sample of the open calls sees by chance, and
steps of items that are due together within seconds. Demand is therefore counted in slots: the
greater of the open calls and of the arrival rate times the usual duration, plus the waiting work.
The greater one is taken of the sums over all gateways: at many gateways with one open call or none
each, the sum of the greater ones would be far above either sum.

A value of the exchange topic ``demand`` is ``{service: {zone: {field: number}}}`` with the fields
``open`` (open calls), ``arriving`` (slots that the arrival rate needs) and those of ``ZoneDemand``
other than ``wanted``. The sum of several values has the same form and can be added again.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from ..clock import MS_PER_SECOND

# Zone under which work without a home zone is counted, such as batch items: their engines may be
# in any zone.
ANY_ZONE = ""
# Larger numbers can't come from a gateway; they are ignored like other malformed values.
MAX_NUMBER = 1e9

Demand = dict[str, dict[str, dict[str, float]]]


@attrs.frozen(kw_only=True)
class ZoneDemand:
    """Demand for one service in one zone, in slots; ``arrivals_per_s`` in requests per second.

    Work counts as demand in the zone of the gateway that received it, even if it runs in another
    zone. Otherwise a zone with too few servers would never get more.
    """

    # Slots in use at the servers of this zone, whatever zone the work came from.
    busy: float = 0.0
    # Slots that the running and arriving work of this zone needs.
    wanted: float = 0.0
    # Slots that waiting calls, waiting items and steps due soon need in addition.
    waiting: float = 0.0
    arrivals_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class WaitingWork:
    """One piece of waiting work: time until it is due, and time for which it will use a slot."""

    due_in_ms: float
    duration_ms: float


@attrs.frozen(kw_only=True)
class ServiceLoad:
    """What one gateway knows of its own work for a service."""

    service: str
    # Zone of the gateway, or ``ANY_ZONE``.
    zone: str
    # Slots that this gateway uses at servers, by zone of the server.
    in_flight: Mapping[str, int]
    # Requests per second that arrived, including refused ones.
    arrivals_per_s: float = 0.0
    # Usual duration of a request at a server with free slots. Durations at full servers contain
    # waiting time and would raise the demand twice.
    duration_ms: float = 0.0
    waiting: tuple[WaitingWork, ...] = ()
    # Time after which a server that is ordered now serves requests.
    boot_ms: float = 0.0


def waiting_slots(waiting: Iterable[WaitingWork], boot_ms: float) -> float:
    """Return the slots that waiting work needs to be finished when it is due.

    Work that is due before a new server could help needs a slot now. Other work can share slots
    until its due time.
    """
    slots = 0.0
    for work in waiting:
        if work.due_in_ms <= boot_ms + work.duration_ms:
            slots += 1.0
            continue
        slots += min(1.0, work.duration_ms / work.due_in_ms)
    return slots


def own_demand(loads: Iterable[ServiceLoad]) -> Demand:
    """Return this gateway's value of the topic ``demand``; zones without demand are omitted."""
    total: Demand = {}
    for load in loads:
        for zone, slots in load.in_flight.items():
            if slots > 0:
                _add(total, load.service, zone, {"busy": float(slots)})
        arriving = load.arrivals_per_s * load.duration_ms / MS_PER_SECOND
        fields = {
            "open": float(sum(load.in_flight.values())),
            "arriving": arriving,
            "waiting": waiting_slots(load.waiting, load.boot_ms),
            "arrivals_per_s": load.arrivals_per_s,
        }
        if any(fields.values()):
            _add(total, load.service, load.zone, fields)
    return total


def sum_demands(values: Iterable[Any]) -> Demand:
    """Return the sum of values of the topic; malformed parts count as no demand."""
    total: Demand = {}
    for value in values:
        for service, zones in _items(value):
            for zone, fields in _items(zones):
                numbers = {name: number for name, number in _items(fields) if _is_number(number)}
                if numbers:
                    _add(total, service, zone, numbers)
    return total


def zone_demands(demand: Demand) -> dict[tuple[str, str], ZoneDemand]:
    """Return the demand by service and zone; unknown fields of later versions are ignored."""
    names = [field.name for field in attrs.fields(ZoneDemand)]
    found = {}
    for service, zones in demand.items():
        for zone, fields in zones.items():
            known = {name: float(fields[name]) for name in names if name in fields}
            known["wanted"] = float(max(fields.get("open", 0.0), fields.get("arriving", 0.0)))
            found[(service, zone)] = ZoneDemand(**known)
    return found


def _items(value: Any) -> list[tuple[str, Any]]:
    if not isinstance(value, Mapping):
        return []
    return [(key, item) for key, item in value.items() if isinstance(key, str)]


def _is_number(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and 0 <= value <= MAX_NUMBER


def _add(total: Demand, service: str, zone: str, fields: Mapping[str, float]) -> None:
    known = total.setdefault(service, {}).setdefault(zone, {})
    for name, number in fields.items():
        known[name] = known.get(name, 0.0) + number
