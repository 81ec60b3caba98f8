"""Stored form of a lease."""

from __future__ import annotations

import json

import attrs


@attrs.frozen
class LeaseRecord:
    """Hold the value of a lease object.

    ``session`` names one run of one process and is empty after a release. ``fence`` grows by one at
    each change of session; the object is never deleted, so it never starts again.
    """

    holder: str
    session: str
    token: str
    fence: int
    time_to_live_ms: int

    def to_bytes(self) -> bytes:
        """Return the JSON form."""
        return json.dumps(attrs.asdict(self), separators=(",", ":")).encode()


def parse_lease(value: bytes) -> LeaseRecord | None:
    """Return the lease of an object's value, or None if it is malformed."""
    try:
        fields = json.loads(value)
        return LeaseRecord(
            str(fields["holder"]),
            str(fields["session"]),
            str(fields["token"]),
            int(fields["fence"]),
            int(fields["time_to_live_ms"]),
        )
    except (ValueError, KeyError, TypeError):
        return None
