"""Tests of the outcomes of single pulls that trainers rely on."""

import random

import pytest
from returns.result import Success
from step_fixtures import WRITE_FAULTS, FaultInjectingStore, make_ledger_store, make_sample

from pistachionotch.samples import delivery
from pistachionotch.samples.bodies import BodyCache, chain_body_sources
from pistachionotch.samples.ledger import Accepted, StepPlan
from pistachionotch.samples.ledger_store import PlanMismatch, StepUnknown
from pistachionotch.samples.sample import Slot

PLAN = StepPlan("t", 1, "m", groups=2, samples_per_group=2, staleness_bound=1)


class DeliveryHarness:
    def __init__(self, held=True):
        self.store, self.rng, self.newest, self.held = (
            FaultInjectingStore(),
            random.Random(3),
            1,
            held,
        )
        self.ledger_store = make_ledger_store(self.store)
        self.delivery = delivery.StepDelivery(
            self.ledger_store, self.body, lambda: Success(self.newest)
        )
        self.ledger_store.create(PLAN)

    def body(self, _sample):
        return b"body" if self.held else None

    def record(self, *slots):
        return self.delivery.record([make_sample(self.rng, Slot(*slot)) for slot in slots]).unwrap()


def delivered_ids(outcome):
    assert isinstance(outcome, delivery.SamplesDelivered), outcome
    return [item.sample.sample_id for item in outcome.samples]


def test_step_completes_with_a_last_pull_that_acknowledges():
    harness = DeliveryHarness()
    assert harness.delivery.pull(delivery.Pull(0)) == delivery.NoSamplesReady(0, 4)
    assert harness.record((0, 0), (0, 1)) == (Accepted(), Accepted())
    first = delivered_ids(harness.delivery.pull(delivery.Pull(0)))
    harness.record((1, 0), (1, 1))
    assert delivered_ids(harness.delivery.pull(delivery.Pull(0))) == first
    second = delivered_ids(harness.delivery.pull(delivery.Pull(1)))
    assert len(set(first + second)) == 4
    assert harness.delivery.pull(delivery.Pull(2)) == delivery.StepComplete(2, ())
    assert harness.delivery.pull(delivery.Pull(2)) == delivery.StepComplete(2, ())


def test_complete_groups_are_delivered_before_partial_ones():
    harness = DeliveryHarness()
    harness.record((0, 0), (1, 0), (1, 1))
    outcome = harness.delivery.pull(delivery.Pull(0, limit=2))
    assert [item.sample.slot.group for item in outcome.samples] == [1, 1]


@pytest.mark.parametrize(("held", "newest"), [(False, 1), (True, 3)])
def test_lost_or_stale_sample_is_replaced_only_under_a_higher_attempt(held, newest):
    harness = DeliveryHarness()
    harness.record((0, 0), (0, 1))
    delivered_ids(harness.delivery.pull(delivery.Pull(0)))
    harness.held, harness.newest = held, newest
    refused = harness.delivery.pull(delivery.Pull(0))
    assert isinstance(refused, delivery.NewAttemptRequired) and refused.next_attempt == 2
    assert harness.delivery.pull(delivery.Pull(0, attempt=2)) == delivery.NoSamplesReady(0, 4)
    late = harness.delivery.pull(delivery.Pull(0, attempt=1))
    assert isinstance(late, delivery.NewAttemptRequired) and late.next_attempt == 3


def test_trainer_version_ahead_of_the_published_one_counts():
    harness = DeliveryHarness()
    harness.record((0, 0))
    assert harness.delivery.pull(delivery.Pull(0, trainer_version=3)) == delivery.NoSamplesReady(
        0, 4
    )


def test_wrong_cursors_and_unknown_steps_change_nothing():
    harness = DeliveryHarness()
    harness.record((0, 0))
    assert isinstance(harness.delivery.pull(delivery.Pull(1)), delivery.CursorMismatch)
    assert isinstance(harness.delivery.pull(delivery.Pull(0, attempt=0)), delivery.PullRejected)
    delivered_ids(harness.delivery.pull(delivery.Pull(0)))
    harness.delivery.pull(delivery.Pull(1))
    assert harness.delivery.pull(delivery.Pull(0)) == delivery.CursorMismatch(
        1, "already acknowledged"
    )
    (stored,) = harness.store.objects.values()
    harness.store.delete(stored.key, stored.version).unwrap()
    assert harness.delivery.pull(delivery.Pull(1)) == StepUnknown()


def test_no_samples_are_delivered_while_the_store_is_unavailable():
    harness = DeliveryHarness()
    harness.record((0, 0))
    harness.store.set_outage(True)
    assert isinstance(harness.delivery.pull(delivery.Pull(0)), delivery.TemporarilyUnavailable)


@pytest.mark.parametrize("fault", WRITE_FAULTS)
def test_step_creation_survives_write_faults_and_refuses_another_plan(fault):
    harness = DeliveryHarness()
    harness.store.objects.clear()
    harness.store.planned_faults = [fault]
    assert harness.ledger_store.create(PLAN).unwrap().plan == PLAN
    harness.store.deliver_delayed()
    assert harness.ledger_store.create(PLAN).unwrap().plan == PLAN
    other = StepPlan("t", 1, "m", 1, 1, 1)
    assert harness.ledger_store.create(other).failure() == PlanMismatch(PLAN)


def test_body_cache_refuses_bodies_above_its_limit_and_removes_unreferenced_ones():
    rng = random.Random(4)
    first, second = (make_sample(rng, Slot(0, index)) for index in range(2))
    cache = BodyCache(limit_bytes=6)
    assert cache.add("s", first, b"body") and cache.add("s", first, b"body")
    assert not cache.add("s", second, b"body") and not cache.add("s", second, b"bod")
    source = chain_body_sources(lambda _sample: b"damaged", cache.find)
    assert source(first) == b"body" and source(second) is None
    assert cache.remove_unreferenced("s", {first.slot: first}) == ()
    assert cache.remove_unreferenced("s", {first.slot: second}) == (first.sample_id,)
    assert cache.stored_bytes == 0 and cache.find(first) is None
