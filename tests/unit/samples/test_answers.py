"""Guards the HTTP form that trainers use, and what a takeover and a clean-up read back."""

import json

import attrs
import pytest
from returns.result import Failure
from step_world import FakeStore, ledgers

from pistachionotch.objects.memory import MemoryStore
from pistachionotch.samples import answers, delivery, request, retention
from pistachionotch.samples.ledger_store import LedgerStore, StepUnknown
from pistachionotch.samples.sample import Slot

BODY = {
    "trainer": "t",
    "step": 1,
    "model": "m",
    "groups": 2,
    "samples_per_group": 1,
    "staleness_bound": 1,
    "deadline_ms": 480_000,
    "prompts": ["a", "b"],
    "sampling": {"max_tokens": 9},
}


def parse(now_unix_ms=1_000, **changes):
    body = json.dumps({**BODY, **changes}).encode()
    return answers.parse_step(body, now_unix_ms)


def test_pull_query_is_read_strictly():
    query = {"cursor": "3", "attempt": "2", "version": "7"}
    assert answers.parse_pull(query).unwrap() == delivery.Pull(3, 2, trainer_version=7)
    for wrong in ({}, {"cursor": "-1"}, {"cursor": "1", "x": "1"}, {"cursor": "0", "limit": "0"}):
        assert isinstance(answers.parse_pull(wrong), Failure), wrong


@pytest.mark.parametrize(
    "changes",
    [
        {"groups": 0},
        {"groups": True},
        {"step": "1"},
        {"trainer": "a/b"},
        {"prompts": None},
        {"prompts": [1, 2]},
        {"sampling": []},
    ],
)
def test_wrong_step_requests_are_refused(changes):
    assert isinstance(parse(**changes), Failure)


def test_every_outcome_of_a_pull_has_an_answer():
    outcomes = [
        (delivery.Delivered(0, 1, (), 5, 0), 200),
        (delivery.NothingReady(0, 4), 200),
        (delivery.StepComplete(2, (Slot(0, 0),)), 200),
        (delivery.AttemptNeeded(0, 2, "stale"), 409),
        (delivery.WrongCursor(1, "already acknowledged"), 410),
        (delivery.WrongCursor(1, "not yet reached", ahead=True), 409),
        (delivery.TryLater("down"), 503),
        (delivery.Rejected("limit"), 400),
        (StepUnknown(), 404),
    ]
    for outcome, status in outcomes:
        answer = answers.answer(outcome)
        assert answer.status == status and json.loads(answer.body()) == answer.fields


def test_repeated_step_request_is_the_same_step_and_other_prompts_are_not():
    store = FakeStore()
    plan = request.plan_with(*parse().unwrap()).unwrap()
    later = request.plan_with(*parse(now_unix_ms=2_000).unwrap()).unwrap()
    other = request.plan_with(*parse(prompts=["a", "c"]).unwrap()).unwrap()
    assert ledgers(store).create(plan).unwrap().plan == plan
    assert ledgers(store).create(later).unwrap().plan == plan
    assert isinstance(ledgers(store).create(other), Failure)


def test_prompts_survive_lost_answers_and_missing_parts_are_reported():
    store = MemoryStore()
    plan, asked = parse(prompts=["x" * 1_500_000, "y"]).unwrap()
    plan = request.plan_with(plan, asked).unwrap()
    store.faults.lose_answers = 1
    request.store_request(store, plan, asked).unwrap()
    request.store_request(store, plan, asked).unwrap()
    assert plan.request_parts == 2 and request.load_request(store, plan).unwrap() == asked
    store.delete(request.part_key(plan, 1), store.get(request.part_key(plan, 1)).unwrap().version)
    assert request.load_request(store, plan).failure().lost


def test_old_complete_steps_are_deleted_and_never_created_again():
    store, rng = MemoryStore(), ledgers(FakeStore()).rng
    for step in range(1, 8):
        plan, asked = parse(step=step).unwrap()
        plan = request.plan_with(plan, asked).unwrap()
        request.store_request(store, plan, asked).unwrap()
        step_ledger = LedgerStore(store, f"steps/t/{step}", rng)
        step_ledger.create(plan).unwrap()
        if step != 2:
            step_ledger.update(lambda ledger: [ledger.cut(s) for s in ledger.open_slots()])
    assert retention.prune_steps(store, "t").unwrap() == (1, 3)
    assert request.load_request(store, attrs.evolve(plan, step=1)).failure().lost
    assert retention.check_creatable(store, "t", 3).failure() == retention.StepGone(7)
    retention.check_creatable(store, "t", 4).unwrap()
