"""Stand-ins for the object API, the engine and the network, shared by the sample tests."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
from returns.result import Failure, Success

from pistachionotch.objects.api import (
    StoredObject,
    StoreUnavailable,
    VersionConflict,
    WriteAmbiguous,
)
from pistachionotch.samples.ledger_store import LedgerStore
from pistachionotch.samples.sample import Sample, Slot, body_digest, new_sample_id
from pistachionotch.samples.spans import VersionSpan


@attrs.define
class FakeStore:
    """Conditional writes in memory; ``faults`` lists what the next writes do."""

    objects: dict[str, StoredObject] = attrs.field(factory=dict)
    revision: int = 0
    faults: list[str] = attrs.field(factory=list)
    late: list[tuple[str, bytes, int | None]] = attrs.field(factory=list)
    down: bool = False
    before: Callable[[str], None] = lambda _call: None

    def get(self, key):
        self.before("get")
        if self.down:
            return Failure(StoreUnavailable("down"))
        return Success(self.objects.get(key))

    def put(self, key, value, expected_version):
        self.before("put")
        if self.down:
            return Failure(StoreUnavailable("down"))
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "late":
            self.late.append((key, value, expected_version))
            return Failure(WriteAmbiguous("no answer yet"))
        if fault == "refused":
            return Failure(WriteAmbiguous("the request was lost"))
        result = self.apply(key, value, expected_version)
        if fault == "lost":
            return Failure(WriteAmbiguous("the response was lost"))
        return result

    def apply(self, key, value, expected_version):
        current = self.objects.get(key)
        if (current.version if current else None) != expected_version:
            return Failure(VersionConflict(current))
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value)
        return Success(self.objects[key])

    def apply_late(self):
        for write in self.late:
            self.apply(*write)
        self.late.clear()


def make_sample(rng, slot: Slot, versions=(1,), body=b"body") -> Sample:
    spans = tuple(VersionSpan(version, 5) for version in versions)
    return Sample(new_sample_id(rng), slot, body_digest(body), spans, "agent-1", "entry-1")


def ledgers(store: FakeStore, seed: int = 1) -> LedgerStore:
    return LedgerStore(store, "steps/t/1", random.Random(seed))
