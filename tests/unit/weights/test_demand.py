"""Guards against a write for each step, and against moving engines after one unusual step."""

import structlog

from pistachionotch.objects.memory import MemoryStore
from pistachionotch.weights.demand import ModelDemands


def test_only_large_changes_are_stored_and_applied_by_others():
    store = MemoryStore()
    mine, other = (ModelDemands(store, structlog.get_logger()) for _ in range(2))
    for tokens in (1_000, 1_100, 900, 1_250):
        mine.record_step("m", tokens)
    assert store.calls["put"] == 1
    other.apply_listing(dict(store.objects), 1)
    assert other.tokens == {"m": 1_000}
    other.record_step("m", 1_200)
    assert store.calls["put"] == 1
    mine.record_step("m", 3_000)
    assert mine.tokens["m"] == 2_000
    other.apply_listing(dict(store.objects), 2)
    assert other.tokens == {"m": 2_000}


def test_empty_step_is_ignored_and_store_outage_keeps_the_estimate():
    store = MemoryStore()
    demands = ModelDemands(store, structlog.get_logger())
    demands.record_step("m", 0)
    assert demands.tokens == {}
    store.faults.outage = True
    demands.record_step("m", 70)
    assert demands.tokens == {"m": 70}
