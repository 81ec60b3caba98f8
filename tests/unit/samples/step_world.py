"""Object store with points of interruption, and samples, shared by the sample tests."""

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
class HookedStore(MemoryStore):
    """Calls ``before`` so that tests can interrupt; ``planned`` has the next faults of puts."""

    planned: list[str] = attrs.field(factory=list)
    before: Callable[[str], None] = lambda _call: None

    def get(self, key):
        self.before("get")
        return MemoryStore.get(self, key)

    def watch(self, prefix, since, timeout_ms):
        self.before("watch")
        return MemoryStore.watch(self, prefix, since, timeout_ms)

    def put(self, key, value, expected_version):
        self.before("put")
        fault = self.planned.pop(0) if self.planned else "none"
        if fault != "none":
            setattr(self.faults, fault, 1)
        return MemoryStore.put(self, key, value, expected_version)


def make_sample(rng, slot: Slot, versions=(1,), body=b"body") -> Sample:
    spans = tuple(VersionSpan(version, 5) for version in versions)
    return Sample(new_sample_id(rng), slot, body_digest(body), spans, "agent-1", "entry-1")


def ledgers(store: HookedStore, seed: int = 1) -> LedgerStore:
    return LedgerStore(store, "steps/t/1", random.Random(seed))
