"""Guards against a call that crashes the upstream of one agent after the other."""

import call_world
import pytest
from call_world import SERVICE, World

from pistachionotch.entry.calls import Call, CallDone
from pistachionotch.entry.suspects import SAVE_WAIT_MS, share_crashes
from pistachionotch.outcomes import Execution, RequestClass
from pistachionotch.quarantine.board import CONDEMNED_MS, SETTLE_MS

DEADLY = b"deadly"
MOST_CRASHES = 2


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr(call_world, "AGENTS", ("a0", "a1", "a2", "a3"))
    made = World()
    yield made
    made.close()


def send(world, entry="e0", body=DEADLY, idempotent=True, retain="", key=""):
    number = len(world.sent_calls)
    call = Call(
        f"r{number}",
        RequestClass.STOREFRONT,
        world.deadline(3_000),
        SERVICE,
        "POST",
        "/o",
        (("X-Request-Timeout-Ms", str(number)),),
        body,
        idempotent,
        key,
        retain=retain,
    )
    sent_call = world.send(entry, call)
    world.loop.advance(3_500)
    return sent_call


def crashes(world):
    return [run for run in world.upstreams.ledger if run.crashed]


def problem(sent_call):
    return sent_call.answers[0].problem


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_call_crashes_fewer_than_all_upstreams_and_gets_a_final_answer(world, idempotent):
    for _ in range(6):
        sent_call = send(world, idempotent=idempotent)
        world.loop.advance(SETTLE_MS)
    assert len(crashes(world)) == MOST_CRASHES
    assert problem(sent_call).status == 422
    assert problem(sent_call).execution is Execution.NOT_RUN


def test_a_call_is_served_again_after_the_fault_was_mended(world):
    for _ in range(3):
        send(world)
    world.upstreams.deadly = b"nothing"
    world.loop.advance(CONDEMNED_MS)
    assert isinstance(send(world).answers[0], CallDone)
    assert isinstance(send(world).answers[0], CallDone)
    assert len(crashes(world)) == MOST_CRASHES


def test_other_calls_are_served_beside_one_that_crashes_upstreams(world):
    send(world)
    for number in range(5):
        assert isinstance(send(world, body=b"order %d" % number).answers[0], CallDone)


def test_another_entry_knows_of_the_crashes(world):
    shared = {}
    for node, entry in world.entries.items():
        suspects = entry.routing.suspects
        shared[node] = share_crashes(node, world.store, suspects, world.clock.now_ms)
        shared[node].store.read()
    for _ in range(2):
        send(world, "e0")
    shared["e1"].cache.refresh()
    shared["e1"].store.apply_objects(shared["e1"].cache.objects.values())
    assert problem(send(world, "e1")).status == 422
    assert len(crashes(world)) == MOST_CRASHES


def test_a_slow_object_api_holds_up_no_answer(world):
    suspects = world.entries["e0"].routing.suspects
    shared = share_crashes("e0", world.store, suspects, world.clock.now_ms)
    shared.store.read()
    world.store.slow_ms = 2_500
    first = send(world)
    assert first.answers
    # Two crashes, each of which waits a little for the object API.
    assert first.answered_ms <= 50 + 2 * (SAVE_WAIT_MS + 50)


def test_work_of_a_step_is_owed_whatever_crashes(world):
    for number in range(4):
        send(world, retain=f"sample {number}")
    world.upstreams.deadly = b"nothing"
    assert isinstance(send(world, retain="sample").answers[0], CallDone)
