"""Serialization of the history of origins and of a gateway's begun streams as canonical JSON."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..malformed import load_utf8_json
from ..objects.values import canonical_json
from .history import Beginning, OriginHistory
from .origin import BegunStream, Origin


def history_bytes(history: OriginHistory) -> bytes:
    """Serialize the history."""
    beginnings = [
        [each.host, each.prefix, each.origin.service, each.origin.software, since_ms]
        for each, since_ms in sorted(history.absent_since_ms.items(), key=lambda item: item[0])
    ]
    return canonical_json({"beginnings": beginnings})


def read_history(value: bytes) -> OriginHistory:
    """Parse the history; raises one of ``MALFORMED``."""
    found: dict[Beginning, int | None] = {}
    for host, prefix, service, software, since_ms in load_utf8_json(value)["beginnings"]:
        origin = Origin(str(service), str(software))
        beginning = Beginning(str(host), str(prefix), origin)
        found[beginning] = None if since_ms is None else int(since_ms)
    return OriginHistory(found)


def streams_bytes(streams: Mapping[str, BegunStream], unix_offset_ms: int) -> bytes:
    """Serialize begun streams.

    ``unix_offset_ms`` is the difference between Unix time and the monotonic clock.
    """
    origins = sorted({stream.origin for stream in streams.values()})
    numbers = {origin: number for number, origin in enumerate(origins)}
    fields: dict[str, Any] = {
        "origins": [[origin.service, origin.software] for origin in origins],
        "streams": {
            key: [
                numbers[stream.origin],
                stream.begun_ms + unix_offset_ms,
                stream.expires_ms + unix_offset_ms,
            ]
            for key, stream in streams.items()
        },
    }
    return canonical_json(fields)


def read_streams(value: bytes, unix_offset_ms: int) -> dict[str, BegunStream]:
    """Parse begun streams; raises one of ``MALFORMED``."""
    fields = load_utf8_json(value)
    origins = [Origin(str(service), str(software)) for service, software in fields["origins"]]
    found = {}
    for key, (number, begun_ms, expires_ms) in fields["streams"].items():
        found[str(key)] = BegunStream(
            origins[number], int(begun_ms) - unix_offset_ms, int(expires_ms) - unix_offset_ms
        )
    return found
