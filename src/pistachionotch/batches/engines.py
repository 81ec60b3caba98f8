"""Engines as the scheduling of items sees them."""

from __future__ import annotations

from collections.abc import Callable

from ..gateway.upstreams import UpstreamRecord, UpstreamTable
from ..software.origin import Origin
from .attempts import PERMIT_WAIT_MS
from .dispatch import EngineCandidate
from .engine_places import Home


def engine_candidates(
    table: UpstreamTable,
    service: str,
    home: Home,
    now_ms: int,
    idle_connections: Callable[[UpstreamRecord], int],
) -> list[EngineCandidate]:
    """Return the engines of a service that may get items now."""
    engines = []
    for upstream in table.usable_for(service):
        if max(upstream.full_until_ms, upstream.backoff_until_ms) > now_ms:
            continue
        record = upstream.record
        permits = table.rate_limits.expected_permits(record)
        free_slots = upstream.free_slots()
        models = record.versions.keys() | upstream.seen_versions.keys()
        engines.append(
            EngineCandidate(
                instance=record.instance,
                free_slots=free_slots if permits is None else min(free_slots, permits),
                slots=record.slots,
                versions={model: upstream.version(model) for model in models},
                event_ms=upstream.event_interval_ms(now_ms),
                recent_event_ms=upstream.recent_event_interval_ms(now_ms),
                distance=home.distance(record.zone),
                suspect=upstream.is_suspect(now_ms),
                rate_limited=permits is not None,
                rejects_from=table.rate_limits.rejects_from(record, PERMIT_WAIT_MS),
                origin=Origin(service, record.software),
                idle_connections=idle_connections(record),
            )
        )
    return engines


def listed_origins(table: UpstreamTable, service: str) -> set[Origin]:
    """Return the origins of all engines of a service that take requests, busy or not."""
    return {Origin(service, each.record.software) for each in table.available_for(service)}
