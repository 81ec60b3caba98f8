"""Sample bodies that an agent retains for entries other than the coordinating one."""

from __future__ import annotations

from collections import OrderedDict

import attrs


@attrs.define
class RetainedBodies:
    """Bodies by sample id, limited in total size; the oldest are evicted first."""

    max_bytes: int
    stored_bytes: int = 0
    bodies: OrderedDict[str, bytes] = attrs.field(factory=OrderedDict)

    def put(self, sample_id: str, body: bytes) -> None:
        """Store a body, evicting the oldest ones if the limit is exceeded."""
        self.remove(sample_id)
        self.bodies[sample_id] = body
        self.stored_bytes += len(body)
        while self.stored_bytes > self.max_bytes:
            _oldest, dropped = self.bodies.popitem(last=False)
            self.stored_bytes -= len(dropped)

    def get(self, sample_id: str) -> bytes | None:
        """Return a body, or None if it was evicted or never stored."""
        return self.bodies.get(sample_id)

    def remove(self, sample_id: str) -> None:
        """Remove a body if it is stored."""
        body = self.bodies.pop(sample_id, None)
        if body is not None:
            self.stored_bytes -= len(body)
