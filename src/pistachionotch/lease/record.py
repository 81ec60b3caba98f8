"""Stored form of a lease."""

from __future__ import annotations

import json

import attrs

from ..malformed import load_utf8_json


@attrs.frozen
class LeaseRecord:
    """The value of a lease object.

    ``session`` identifies one run of one process and is empty after a release. ``token``
    identifies one write. ``fence``, the fencing token, grows by one at each change of session; it
    never starts again from one, as the object is never deleted.
    """

    holder: str
    session: str
    token: str
    fence: int
    time_to_live_ms: int

    def to_bytes(self) -> bytes:
        """Return the JSON form, an array of the fields: short, as all entries list all leases."""
        return json.dumps(attrs.astuple(self), separators=(",", ":")).encode()


def parse_lease(value: bytes) -> LeaseRecord | None:
    """Parse the value of a lease object; return None if it is malformed."""
    try:
        fields = load_utf8_json(value)
        if isinstance(fields, dict):
            # Earlier versions stored a JSON object. A malformed lease would never be taken again.
            fields = [fields[field.name] for field in attrs.fields(LeaseRecord)]
        holder, session, token, fence, time_to_live_ms = fields
        return LeaseRecord(str(holder), str(session), str(token), int(fence), int(time_to_live_ms))
    except (ValueError, KeyError, TypeError):
        return None
