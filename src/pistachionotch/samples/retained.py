"""Bodies that an agent retains for entries other than the coordinating one."""

from __future__ import annotations

from collections import OrderedDict

import attrs


@attrs.define
class RetainedBodies:
    """Hold bodies by sample id within a byte limit; the oldest go first."""

    max_bytes: int
    stored_bytes: int = 0
    bodies: OrderedDict[str, bytes] = attrs.field(factory=OrderedDict)

    def put(self, sample_id: str, body: bytes) -> None:
        """Keep one body."""
        self.remove(sample_id)
        self.bodies[sample_id] = body
        self.stored_bytes += len(body)
        while self.stored_bytes > self.max_bytes:
            _oldest, dropped = self.bodies.popitem(last=False)
            self.stored_bytes -= len(dropped)

    def get(self, sample_id: str) -> bytes | None:
        """Return a body if it is still held."""
        return self.bodies.get(sample_id)

    def remove(self, sample_id: str) -> None:
        """Forget a body."""
        body = self.bodies.pop(sample_id, None)
        if body is not None:
            self.stored_bytes -= len(body)
