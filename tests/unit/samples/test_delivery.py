"""Guards the answers of single pulls that trainers rely on."""

import random

import pytest
from returns.result import Success
from step_world import WRITE_FAULTS, HookedStore, ledgers, make_sample

from pistachionotch.samples import delivery as d
from pistachionotch.samples.bodies import BodyCache, chain_body_sources
from pistachionotch.samples.ledger import Accepted, StepPlan
from pistachionotch.samples.ledger_store import PlanMismatch, StepUnknown
from pistachionotch.samples.sample import Slot

PLAN = StepPlan("t", 1, "m", groups=2, samples_per_group=2, staleness_bound=1)


class World:
    def __init__(self, held=True):
        self.store, self.rng, self.newest, self.held = HookedStore(), random.Random(3), 1, held
        self.step = ledgers(self.store)
        self.delivery = d.StepDelivery(self.step, self.body, lambda: Success(self.newest))
        self.step.create(PLAN)

    def body(self, _sample):
        return b"body" if self.held else None

    def record(self, *slots):
        return self.delivery.record([make_sample(self.rng, Slot(*slot)) for slot in slots]).unwrap()


def ids(outcome):
    assert isinstance(outcome, d.SamplesDelivered), outcome
    return [item.sample.sample_id for item in outcome.samples]


def test_step_runs_to_its_end_with_a_last_pull_that_acknowledges():
    world = World()
    assert world.delivery.pull(d.Pull(0)) == d.NoSamplesReady(0, 4)
    assert world.record((0, 0), (0, 1)) == (Accepted(), Accepted())
    first = ids(world.delivery.pull(d.Pull(0)))
    world.record((1, 0), (1, 1))
    assert ids(world.delivery.pull(d.Pull(0))) == first
    second = ids(world.delivery.pull(d.Pull(1)))
    assert len(set(first + second)) == 4
    assert world.delivery.pull(d.Pull(2)) == d.StepComplete(2, ())
    assert world.delivery.pull(d.Pull(2)) == d.StepComplete(2, ())


def test_complete_groups_are_handed_out_before_partial_ones():
    world = World()
    world.record((0, 0), (1, 0), (1, 1))
    outcome = world.delivery.pull(d.Pull(0, limit=2))
    assert [item.sample.slot.group for item in outcome.samples] == [1, 1]


@pytest.mark.parametrize(("held", "newest"), [(False, 1), (True, 3)])
def test_lost_or_stale_sample_is_replaced_only_under_a_higher_attempt(held, newest):
    world = World()
    world.record((0, 0), (0, 1))
    ids(world.delivery.pull(d.Pull(0)))
    world.held, world.newest = held, newest
    refused = world.delivery.pull(d.Pull(0))
    assert isinstance(refused, d.NewAttemptRequired) and refused.next_attempt == 2
    assert world.delivery.pull(d.Pull(0, attempt=2)) == d.NoSamplesReady(0, 4)
    late = world.delivery.pull(d.Pull(0, attempt=1))
    assert isinstance(late, d.NewAttemptRequired) and late.next_attempt == 3


def test_trainer_version_ahead_of_the_published_one_counts():
    world = World()
    world.record((0, 0))
    assert world.delivery.pull(d.Pull(0, trainer_version=3)) == d.NoSamplesReady(0, 4)


def test_wrong_cursors_and_unknown_steps_change_nothing():
    world = World()
    world.record((0, 0))
    assert isinstance(world.delivery.pull(d.Pull(1)), d.CursorMismatch)
    assert isinstance(world.delivery.pull(d.Pull(0, attempt=0)), d.PullRejected)
    ids(world.delivery.pull(d.Pull(0)))
    world.delivery.pull(d.Pull(1))
    assert world.delivery.pull(d.Pull(0)) == d.CursorMismatch(1, "already acknowledged")
    (stored,) = world.store.objects.values()
    world.store.delete(stored.key, stored.version).unwrap()
    assert world.delivery.pull(d.Pull(1)) == StepUnknown()


def test_nothing_is_handed_over_while_the_store_is_down():
    world = World()
    world.record((0, 0))
    world.store.set_outage(True)
    assert isinstance(world.delivery.pull(d.Pull(0)), d.TemporarilyUnavailable)


@pytest.mark.parametrize("fault", WRITE_FAULTS)
def test_step_creation_is_settled_and_refuses_another_plan(fault):
    world = World()
    world.store.objects.clear()
    world.store.planned = [fault]
    assert world.step.create(PLAN).unwrap().plan == PLAN
    world.store.deliver_delayed()
    assert world.step.create(PLAN).unwrap().plan == PLAN
    other = StepPlan("t", 1, "m", 1, 1, 1)
    assert world.step.create(other).failure() == PlanMismatch(PLAN)


def test_body_cache_refuses_what_does_not_fit_and_drops_what_the_ledger_does_not_name():
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
