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
        """Return the JSON form, an array of the fields; all entries list all leases."""
        return json.dumps(attrs.astuple(self), separators=(",", ":")).encode()


def parse_lease(value: bytes) -> LeaseRecord | None:
    """Return the lease of an object's value, or None if it is malformed."""
    try:
        fields = json.loads(value)
        if isinstance(fields, dict):
            # Earlier versions stored an object. A lease that cannot be read is never taken again.
            fields = [fields[field.name] for field in attrs.fields(LeaseRecord)]
        holder, session, token, fence, time_to_live_ms = fields
        return LeaseRecord(str(holder), str(session), str(token), int(fence), int(time_to_live_ms))
    except (ValueError, KeyError, TypeError):
        return None
