"""Tests of the HTTP API for trainers, of takeovers, and of the deletion of old steps."""

import json
import random

import attrs
import pytest
from returns.result import Failure
from step_fixtures import FaultInjectingStore

from pistachionotch.lease.record import LeaseRecord
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.samples import delivery, http_api, request, retention
from pistachionotch.samples.ledger import StepPlan
from pistachionotch.samples.ledger_store import LedgerStore, StepUnknown
from pistachionotch.samples.parts import MAX_PART_SLOTS, count_parts, lease_key, part_plan
from pistachionotch.samples.sample import Slot
from pistachionotch.samples.steps import StepRegistry

SHAPE = {"step": 1, "groups": 2, "samples_per_group": 1, "staleness_bound": 1}
BODY = {"trainer": "t", "model": "m", "deadline_ms": 480_000, "prompts": ["a", "b"], **SHAPE}
BODY["sampling"] = {"max_tokens": 9}
INVALID_CHANGES = [
    {"groups": 0},
    {"groups": True},
    {"step": "1"},
    {"trainer": "a/b"},
    {"prompts": None},
]
INVALID_CHANGES += [{"prompts": [1, 2]}, {"sampling": []}]


def parse(now_unix_ms=1_000, **changes):
    body = json.dumps({**BODY, **changes}).encode()
    return http_api.parse_step(body, now_unix_ms)


def test_pull_query_is_validated():
    query = {"cursor": "3", "attempt": "2", "version": "7"}
    assert http_api.parse_pull(query).unwrap() == delivery.Pull(3, 2, trainer_version=7)
    for invalid in ({}, {"cursor": "-1"}, {"cursor": "1", "x": "1"}, {"cursor": "0", "limit": "0"}):
        assert isinstance(http_api.parse_pull(invalid), Failure), invalid


@pytest.mark.parametrize("changes", INVALID_CHANGES)
def test_invalid_step_requests_are_refused(changes):
    assert isinstance(parse(**changes), Failure)


def test_every_outcome_of_a_pull_has_a_response():
    outcomes = [
        (delivery.SamplesDelivered(0, 1, (), 5, 0), 200),
        (delivery.NoSamplesReady(0, 4), 200),
        (delivery.StepComplete(2, (Slot(0, 0),)), 200),
        (delivery.NewAttemptRequired(0, 2, "stale"), 409),
        (delivery.CursorMismatch(1, "already acknowledged"), 410),
        (delivery.CursorMismatch(1, "not yet reached", ahead=True), 409),
        (delivery.TemporarilyUnavailable("down"), 503),
        (delivery.PullRejected("limit"), 400),
        (StepUnknown(), 404),
    ]
    for outcome, status in outcomes:
        answer = http_api.pull_response(outcome)
        assert answer.status == status and json.loads(answer.body()) == answer.fields


def test_repeated_step_request_opens_the_same_step_and_other_prompts_conflict():
    registry = StepRegistry(FaultInjectingStore(), random.Random(1))
    body = json.dumps(BODY).encode()
    opened = registry.open(body, 1_000).unwrap()
    assert opened == registry.open(body, 2_000).unwrap() == registry.take_over("t", 1).unwrap()
    assert opened.prompt(Slot(1, 0)) == "b" and opened.remaining_ms(2_000) == 479_000
    other = json.dumps({**BODY, "prompts": ["a", "c"]}).encode()
    assert registry.open(other, 1_000).failure().status == 409
    assert registry.open(b"{", 1_000).failure().status == 400
    assert registry.open(json.dumps({**BODY, "prompts": []}).encode(), 0).failure().status == 400
    assert registry.take_over("t", 2).failure().status == 404
    assert registry.cut(opened.plan, opened.open_slots).unwrap() == 2
    assert registry.take_over("t", 1).unwrap().open_slots == ()
    registry.store.set_outage(True)
    assert registry.open(body, 1_000).failure().status == 503


def test_prompts_are_stored_despite_lost_responses_and_missing_parts_are_reported():
    store = MemoryStore()
    plan, step_request = parse(prompts=["x" * 1_500_000, "y"]).unwrap()
    plan = request.attach_request(plan, step_request).unwrap()
    store.faults.lose_answers = 1
    request.store_request(store, plan, step_request).unwrap()
    request.store_request(store, plan, step_request).unwrap()
    assert plan.request_parts == 2 and request.load_request(store, plan).unwrap() == step_request
    store.delete(
        request.request_part_key(plan, 1),
        store.get(request.request_part_key(plan, 1)).unwrap().version,
    )
    assert request.load_request(store, plan).failure().permanent


def test_old_complete_steps_are_deleted_and_never_created_again():
    store, rng = MemoryStore(), random.Random(1)
    for step in range(1, 8):
        plan, step_request = parse(step=step).unwrap()
        plan = request.attach_request(plan, step_request).unwrap()
        request.store_request(store, plan, step_request).unwrap()
        step_ledger = LedgerStore(store, f"steps/t/{step}", rng)
        step_ledger.create(plan).unwrap()
        if step != 2:
            step_ledger.update(lambda ledger: [ledger.cut(s) for s in ledger.open_slots()])
    assert retention.prune_steps(store, "t").unwrap() == (1, 3)
    assert request.load_request(store, attrs.evolve(plan, step=1)).failure().permanent
    assert retention.check_creatable(store, "t", 3).failure() == retention.StepExpired(7)
    delayed = json.dumps({**BODY, "step": 3}).encode()
    assert StepRegistry(store, rng).open(delayed, 0).failure().status == 410
    retention.check_creatable(store, "t", 4).unwrap()


def test_only_large_steps_are_split_into_parts():
    for groups, size, parts in [(64, 8, 1), (65, 8, 3), (256, 8, 8), (2, 300, 2), (1, 2048, 1)]:
        plan = StepPlan("t", 1, "m", groups, size, 1)
        assert count_parts(plan) == parts
        ranges = [
            part_plan(attrs.evolve(plan, parts=parts), part).part_groups for part in range(parts)
        ]
        assert [group for found in ranges for group in found] == list(range(groups))
        assert all(len(found) * size <= max(MAX_PART_SLOTS, size) for found in ranges) or parts == 1


def registry_of_two_parts(store):
    return StepRegistry(store, random.Random(1), part_slots=1)


def step_body(step, **changes):
    return json.dumps({**BODY, "step": step, **changes}).encode()


def test_takeover_of_a_nonexistent_part_is_refused():
    registry = registry_of_two_parts(MemoryStore())
    assert registry.open(step_body(1), 0).unwrap().plan.parts == 2
    assert registry.take_over("t", 1, 1).unwrap().open_slots == (Slot(1, 0),)
    for step, part in [(1, 2), (2, 0), (2, 1)]:
        assert registry.take_over("t", step, part).failure().status == 404
    assert http_api.parse_pull({"cursor": "0", "part": "1"}).unwrap().part == 1


def test_all_parts_of_old_steps_are_deleted_with_the_remains_of_refused_openings():
    store = MemoryStore()
    registry = registry_of_two_parts(store)
    for step in range(1, 8):
        first = registry.open(step_body(step), 0).unwrap().plan
        assert registry.open(step_body(step, prompts=["a", "c"]), 0).failure().status == 409
        for plan in [first] if step == 2 else [first, attrs.evolve(first, part=1)]:
            registry.cut(plan, (Slot(plan.part, 0),)).unwrap()
            lease = LeaseRecord("", "held" if step == 3 else "", "token", 1, 6_000)
            store.put(lease_key(plan), lease.to_bytes(), None).unwrap()
    assert retention.prune_steps(store, "t").unwrap() == (1, 3)
    left = [key.split("/")[2] for key in store.objects if key.startswith("step-parts/")]
    assert left == ["2", "4", "4", "5", "5", "6", "6", "7", "7"]
    leases = [key.split("/")[2] for key in store.objects if key.startswith("part-leases/")]
    assert leases == ["t-2"] + [f"t-{step}" for step in range(3, 8) for _part in range(2)]
    assert registry.take_over("t", 2, 1).unwrap().request.prompts == ("a", "b")


def test_a_step_whose_parts_were_pruned_while_it_was_opened_is_refused():
    store, calls = FaultInjectingStore(), []

    def before_call(call):
        calls.append(call)
        if calls.count("put") == 3:
            registry_of_two_parts(store).open(step_body(9), 0).unwrap()
            retention.prune_steps(store, "t").unwrap()

    store.before_call = before_call
    assert registry_of_two_parts(store).open(step_body(1), 0).failure().status == 410
