"""Fault-injecting object store and factories that the tests of samples share."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from pistachionotch.objects.memory import MemoryStore
from pistachionotch.samples.ledger_store import LedgerStore
from pistachionotch.samples.sample import Sample, Slot, body_digest, new_sample_id
from pistachionotch.samples.spans import VersionSpan

WRITE_FAULTS = ["none", "lose_answers", "lose_writes", "delay_writes"]


@attrs.define
class FaultInjectingStore(MemoryStore):
    """In-memory store that calls a hook before each operation and injects faults into puts.

    ``planned_faults`` has the faults of the next puts, in order.
    """

    planned_faults: list[str] = attrs.field(factory=list)
    before_call: Callable[[str], None] = lambda _call: None

    def get(self, key):
        self.before_call("get")
        return MemoryStore.get(self, key)

    def watch(self, prefix, since, timeout_ms):
        self.before_call("watch")
        return MemoryStore.watch(self, prefix, since, timeout_ms)

    def put(self, key, value, expected_version):
        self.before_call("put")
        fault = self.planned_faults.pop(0) if self.planned_faults else "none"
        if fault != "none":
            setattr(self.faults, fault, 1)
        return MemoryStore.put(self, key, value, expected_version)


def make_sample(rng, slot: Slot, versions=(1,), body=b"body") -> Sample:
    spans = tuple(VersionSpan(version, 5) for version in versions)
    return Sample(new_sample_id(rng), slot, body_digest(body), spans, "agent-1", "entry-1")


def make_ledger_store(store: FaultInjectingStore, seed: int = 1) -> LedgerStore:
    return LedgerStore(store, "steps/t/1", random.Random(seed))
