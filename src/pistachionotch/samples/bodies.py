"""In-memory storage of sample bodies, and lookup of a body in several places."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from .delivery import BodySource
from .sample import Sample, Slot

DEFAULT_LIMIT_BYTES = 8_000_000


@attrs.define
class BodyCache:
    """Sample bodies, limited in total size.

    A body that exceeds the limit is refused; nothing is evicted. Evicting the body of an assigned
    sample would force the trainer to start another attempt, whereas refusing a body only leaves the
    sample with a single copy or its slot open.
    """

    limit_bytes: int = DEFAULT_LIMIT_BYTES
    stored_bytes: int = 0
    bodies: dict[str, bytes] = attrs.field(factory=dict)
    slots: dict[str, tuple[str, Slot]] = attrs.field(factory=dict)

    def add(self, step: str, sample: Sample, body: bytes) -> bool:
        """Add a complete body; return whether the cache contains it."""
        if sample.sample_id in self.bodies:
            return True
        if not sample.matches(body) or self.stored_bytes + len(body) > self.limit_bytes:
            return False
        self.bodies[sample.sample_id] = body
        self.slots[sample.sample_id] = (step, sample.slot)
        self.stored_bytes += len(body)
        return True

    def find(self, sample: Sample) -> bytes | None:
        """Return the body, or None if the cache does not contain it."""
        return self.bodies.get(sample.sample_id)

    def remove(self, sample_ids: Iterable[str]) -> None:
        """Remove bodies that no pull can request any more."""
        for sample_id in sample_ids:
            body = self.bodies.pop(sample_id, None)
            self.slots.pop(sample_id, None)
            self.stored_bytes -= len(body or b"")

    def remove_unreferenced(self, step: str, referenced: Mapping[Slot, Sample]) -> tuple[str, ...]:
        """Remove the bodies of a step that its ledger does not reference; return their sample ids.

        ``referenced`` must come from a ledger that was read after the bodies were recorded.
        """
        unreferenced = []
        for sample_id, (stored_step, slot) in self.slots.items():
            if stored_step != step:
                continue
            sample = referenced.get(slot)
            if sample is None or sample.sample_id != sample_id:
                unreferenced.append(sample_id)
        self.remove(unreferenced)
        return tuple(unreferenced)


def chain_body_sources(*sources: BodySource) -> BodySource:
    """Return a source that queries the given sources in order; pass the nearest first.

    A damaged body is skipped, because a later source may have a complete one.
    """

    def find(sample: Sample) -> bytes | None:
        for source in sources:
            body = source(sample)
            if body is not None and sample.matches(body):
                return body
        return None

    return find
