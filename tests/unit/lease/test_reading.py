"""Guards against a read per waiting lease, and against two holders due to an outdated list."""

import random

from pistachionotch.clock import ManualClock
from pistachionotch.lease.lease import Lease, LeaseState
from pistachionotch.lease.list_cache import LeaseListCache
from pistachionotch.objects.memory import MemoryStore

TIME_TO_LIVE_MS = 6_000


class World:
    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)

    def leases(self, holder, count, max_age_ms=1_500):
        list_cache = LeaseListCache(self.store, self.clock, max_age_ms)
        rng = random.Random(holder)
        return [
            Lease(
                self.store,
                self.clock,
                "duty",
                str(number),
                holder,
                TIME_TO_LIVE_MS,
                rng,
                list_cache,
            )
            for number in range(count)
        ]

    def step(self, *leases, seconds=1):
        for _ in range(seconds):
            for lease in leases:
                lease.step()
            assert all(not (a.held() and b.held()) for a, b in pairs(leases))
            self.clock.advance(1_000)


def pairs(leases):
    return [
        (first, second)
        for first in leases
        for second in leases
        if first is not second and first.key == second.key
    ]


def test_waiting_duties_share_one_list():
    world = World()
    held, waiting = world.leases("entry-1", 9), world.leases("entry-2", 9)
    # Runs alone at first, so that one process takes all leases though it defers to others.
    world.step(*held, seconds=10)
    world.step(*held, *waiting, seconds=5)
    world.store.calls.clear()
    world.step(*held, *waiting, seconds=60)
    assert all(lease.state is LeaseState.HELD for lease in held)
    assert world.store.calls["get"] == 0
    assert world.store.calls["list"] <= 40


def test_a_dead_holder_is_replaced_within_two_times_to_live():
    world = World()
    held, waiting = world.leases("entry-1", 3), world.leases("entry-2", 3)
    world.step(*held, seconds=10)
    world.step(*held, *waiting, seconds=10)
    world.step(*waiting, seconds=12)
    assert all(lease.held() for lease in waiting)
    assert all(lease.fence == 2 for lease in waiting)


def test_free_leases_spread_over_the_processes():
    """Guards against one process that holds every duty of the deployment."""
    world = World()
    processes = [world.leases(f"entry-{number}", 12) for number in range(6)]
    world.step(*[lease for leases in processes for lease in leases], seconds=20)
    counts = [sum(lease.held() for lease in leases) for leases in processes]
    assert sum(counts) == 12
    assert max(counts) <= 4


def test_a_held_lease_is_not_taken_due_to_an_outdated_list():
    world = World()
    (held,), (waiting,) = world.leases("entry-1", 1), world.leases("entry-2", 1, 30_000)
    world.step(held, waiting, seconds=60)
    assert held.held()
    assert waiting.state is LeaseState.WAITING
