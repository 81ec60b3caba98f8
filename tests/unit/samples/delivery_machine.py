"""State machine test of one step.

The oracle knows what the engine produced and what the trainer used. Two entries with different part
sizes open the step, and either may crash while doing so. The trainer pulls each part at either
entry. Requests and responses may be lost, duplicated, delayed and reordered. At any external call,
an entry may crash or be paused while other events take place.
"""

from __future__ import annotations

import contextlib
import json
import random

import attrs
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from returns.result import Failure, Success
from step_fixtures import WRITE_FAULTS, FaultInjectingStore

from pistachionotch.samples import delivery
from pistachionotch.samples.ledger import StepPlan
from pistachionotch.samples.ledger_format import from_bytes
from pistachionotch.samples.ledger_store import LedgerStore
from pistachionotch.samples.parts import ledger_key, part_plan
from pistachionotch.samples.sample import Sample, Slot, body_digest, new_sample_id
from pistachionotch.samples.spans import SpanRecorder, VersionSpan, merge_spans
from pistachionotch.samples.steps import StepRegistry

GROUPS, SAMPLES_PER_GROUP, STALENESS_BOUND = 4, 2, 1
SHAPE = {"groups": GROUPS, "samples_per_group": SAMPLES_PER_GROUP}
REQUEST = {"trainer": "t", "step": 1, "model": "m", "deadline_ms": 9, "prompts": ["p"] * GROUPS}
BODY = json.dumps({**REQUEST, **SHAPE, "staleness_bound": STALENESS_BOUND}).encode()
SETTINGS = settings(
    max_examples=400, stateful_step_count=20, report_multiple_bugs=False, phases=[Phase.generate]
)
EVENTS = ["publish", "agent_dies", "copies_lost", "both_lost", "body_lost", "late_write", "crash"]
EVENTS += ["execute", "repeat", "pull", "next_attempt"] * 2 + ["respond", "record"]
EVENTS += ["other_part", "other_entry"]
EVENT = st.tuples(st.sampled_from(EVENTS), st.integers(0, 99))
EVENTS_MEANWHILE = st.lists(EVENT, max_size=3)
AGES = st.lists(st.sampled_from([0, 0, 0, 1, 2, None]), min_size=1, max_size=3)
AHEAD = st.sampled_from([None, 0, 1])
FAULTS = st.lists(st.sampled_from(WRITE_FAULTS), max_size=2)
CALLS = st.integers(0, 6)
PICK = st.integers(0, 99)
# Part size of the entry, external calls until it crashes, faults of its writes.
OPENING = st.tuples(st.sampled_from([2, 4, 4, 8]), st.integers(0, 14), FAULTS)


class EntryCrashed(Exception):
    """The process of the entry ends while it handles a request."""


@attrs.frozen
class Response:
    """A pull and its outcome, which the trainer may process later."""

    pull: delivery.Pull
    outcome: delivery.PullOutcome


@attrs.define
class Puller:
    """State of the trainer's pulls of one part."""

    plan: StepPlan
    requests: list = attrs.field(factory=list)
    responses: list = attrs.field(factory=list)
    used: dict = attrs.field(factory=dict)
    delivered_ids: dict = attrs.field(factory=dict)
    cursor: int = 0
    attempt: int = 1


class StepMachine(RuleBasedStateMachine):
    """Checks the delivery of one step; mutants replace the classes under test."""

    delivery_class = delivery.StepDelivery
    ledgers_class = LedgerStore
    recorder_class = SpanRecorder
    registry_class = StepRegistry

    def __init__(self):
        super().__init__()
        self.rng = random.Random(7)
        self.store = FaultInjectingStore()
        self.published = 3
        # Maps a body to its slot and the spans that the engine used, or None if it has no labels.
        self.produced_bodies = {}
        self.agent_bodies, self.copies = {}, {}
        self.pending, self.pullers, self.puller = [], [], None
        self.entry, self.deliveries = 0, {}
        self.interruption = None
        self.store.before_call = lambda _call: self.interruption_point()

    @property
    def delivery(self):
        return self.delivery_of(self.puller)

    def delivery_of(self, puller):
        key = ledger_key(puller.plan)
        if (self.entry, key) not in self.deliveries:
            ledgers = self.ledgers_class(self.store, key, self.rng)
            made = self.delivery_class(ledgers, self.find_body, self.read_newest)
            self.deliveries[self.entry, key] = made
        return self.deliveries[self.entry, key]

    def record(self, sample):
        """Record a sample in the part that contains its slot."""
        for puller in self.pullers:
            if sample.slot.group in puller.plan.part_groups:
                self.delivery_of(puller).record([sample])

    # External calls of an entry, each of which may be interrupted

    def interruption_point(self):
        if self.interruption is None:
            return
        calls_left, events = self.interruption
        if calls_left > 0:
            self.interruption = (calls_left - 1, events)
            return
        self.interruption = None
        for event, pick in events:
            self.run_event(event, pick)

    def read_newest(self):
        self.interruption_point()
        return Success(self.published)

    def find_body(self, sample):
        self.interruption_point()
        held = self.agent_bodies.get(sample.sample_id)
        return held if held is not None else self.copies.get(sample.sample_id)

    # Events

    def run_event(self, event, pick):
        getattr(self, f"event_{event}")(pick)

    def event_publish(self, _pick):
        self.published += 1

    def event_agent_dies(self, _pick):
        self.agent_bodies.clear()

    def event_copies_lost(self, _pick):
        self.copies.clear()

    def event_both_lost(self, _pick):
        self.agent_bodies.clear()
        self.copies.clear()

    def event_body_lost(self, pick):
        recorded = list(self.ledger().samples.values())
        if recorded:
            lost = recorded[pick % len(recorded)].sample_id
            self.agent_bodies.pop(lost, None)
            self.copies.pop(lost, None)

    def event_execute(self, pick):
        if self.puller.requests:
            self.execute(self.puller.requests[-1 - pick % min(4, len(self.puller.requests))])

    def event_repeat(self, _pick):
        for request in self.puller.requests[-1:]:
            self.execute(request)

    def event_next_attempt(self, pick):
        self.puller.attempt += 1
        self.puller.requests.append(
            delivery.Pull(self.puller.cursor, self.puller.attempt, limit=1 + pick % 3)
        )
        self.execute(self.puller.requests[-1])

    def event_pull(self, pick):
        self.puller.requests.append(
            delivery.Pull(self.puller.cursor, self.puller.attempt, limit=1 + pick % 3)
        )
        self.execute(self.puller.requests[-1])
        self.event_respond(0)

    def event_respond(self, _pick):
        if self.puller.responses:
            self.process_response(self.puller.responses[-1])

    def event_record(self, pick):
        if self.pending:
            self.record(self.pending[pick % len(self.pending)])

    def event_late_write(self, _pick):
        self.store.deliver_delayed()

    def event_other_part(self, _pick):
        self.puller = self.pullers[self.pullers.index(self.puller) - 1]

    def event_other_entry(self, _pick):
        self.entry = 1 - self.entry

    def event_crash(self, _pick):
        self.copies.clear()
        for key in [key for key in self.deliveries if key[0] == self.entry]:
            del self.deliveries[key]
        raise EntryCrashed

    def execute(self, pull):
        puller = self.puller
        try:
            outcome = self.delivery.pull(pull)
        except EntryCrashed:
            return
        finally:
            self.interruption = None
        puller.responses.append(Response(pull, outcome))
        if isinstance(outcome, delivery.SamplesDelivered):
            self.check_delivered(puller, pull, outcome)

    def check_delivered(self, puller, pull, outcome):
        newest = max(self.published, pull.trainer_version or 0)
        assert outcome.samples, "an empty delivery"
        for item in outcome.samples:
            assert item.body in self.produced_bodies, "a body that the engine did not produce"
            slot, spans = self.produced_bodies[item.body]
            assert (slot, spans) == (item.sample.slot, item.sample.spans), "wrong label"
            oldest = min(span.version for span in spans)
            assert newest - oldest <= STALENESS_BOUND, "stale delivery"
        ids = [item.sample.sample_id for item in outcome.samples]
        key = (outcome.cursor, outcome.attempt)
        assert (
            puller.delivered_ids.setdefault(key, ids) == ids
        ), "two deliveries under one attempt differ"

    def process_response(self, response):
        pull, outcome = response.pull, response.outcome
        if (pull.cursor, pull.attempt) != (self.puller.cursor, self.puller.attempt):
            return
        if isinstance(outcome, delivery.NewAttemptRequired):
            self.puller.attempt = max(self.puller.attempt + 1, outcome.next_attempt)
        if isinstance(outcome, delivery.StepComplete):
            assert len(self.puller.used) == self.puller.plan.slot_count, "ended without all samples"
        if not isinstance(outcome, delivery.SamplesDelivered):
            return
        for item in outcome.samples:
            used = [puller for puller in self.pullers if item.sample.slot in puller.used]
            assert not used, "a slot was delivered twice"
            self.puller.used[item.sample.slot] = item.sample.sample_id
        self.puller.cursor, self.puller.attempt = self.puller.cursor + 1, 1

    def ledger(self):
        return from_bytes(self.store.objects[ledger_key(self.puller.plan)].value).unwrap()

    def produce_sample(self, slot, versions, damaged=False):
        body = f"body {len(self.produced_bodies)} of {slot}".encode()
        recorder = self.recorder_class()
        for version in versions:
            recorder.add(version, 3)
        labelled = None not in versions
        spans = merge_spans(VersionSpan(v, 3) for v in versions) if labelled else None
        self.produced_bodies[body] = (slot, spans)
        result = recorder.finish()
        if isinstance(result, Failure):
            return None
        labels = result.unwrap()
        sample = Sample(new_sample_id(self.rng), slot, body_digest(body), labels, "agent", "entry")
        self.agent_bodies[sample.sample_id] = body[:-3] if damaged else body
        self.copies[sample.sample_id] = self.agent_bodies[sample.sample_id]
        return sample

    # Rules

    @initialize(
        openings=st.lists(OPENING, max_size=3),
        last=st.sampled_from([2, 4, 8]),
        ages_by_slot=st.lists(AGES, min_size=1, max_size=8),
    )
    def start(self, openings, last, ages_by_slot):
        for part_slots, calls, faults in openings:
            self.interruption, self.store.planned_faults = (calls, [("crash", 0)]), faults
            with contextlib.suppress(EntryCrashed):
                self.registry_class(self.store, self.rng, part_slots).open(BODY, 0)
            self.every_part_exists()
        self.interruption, self.store.planned_faults = None, []
        opened = self.registry_class(self.store, self.rng, last).open(BODY, 0)
        assert isinstance(opened, Success), "a repeated request does not open the step"
        plan = opened.unwrap().plan
        self.pullers = [Puller(part_plan(plan, part)) for part in range(plan.parts)]
        self.puller = self.pullers[0]
        for number, ages in enumerate(ages_by_slot):
            self.produce(number, ages, False)

    @rule(number=st.integers(0, 7), ages=AGES, damaged=st.booleans())
    def produce(self, number, ages, damaged):
        versions = [None if age is None else max(0, self.published - age) for age in ages]
        slot = Slot(*divmod(number, SAMPLES_PER_GROUP))
        sample = self.produce_sample(slot, versions, damaged)
        if sample is not None:
            self.pending.append(sample)
            self.record(sample)

    @rule(calls=st.integers(0, 3), events=EVENTS_MEANWHILE)
    def paused_holder_records(self, calls, events):
        for slot in self.ledger().open_slots()[-1:]:
            self.pending.append(self.produce_sample(slot, [self.published]))
            self.interruption = (calls, events)
            with contextlib.suppress(EntryCrashed):
                self.delivery.record([self.pending[-1]])
            self.interruption = None

    @rule(event=EVENT)
    def run_one_event(self, event):
        with contextlib.suppress(EntryCrashed):
            self.run_event(*event)

    @rule(seed=st.integers(0, 2**32 - 1))
    def run_many_events(self, seed):
        """Draw events uniformly, because Hypothesis alone rarely combines rare events."""
        rng = random.Random(seed)
        for _ in range(25):
            events = [(rng.choice(EVENTS), rng.randrange(99)) for _ in range(rng.randrange(4))]
            faults = rng.choices(WRITE_FAULTS, k=rng.randrange(3))
            ages = rng.choices([0, 0, 0, 1, 2, None], k=rng.randrange(1, 4))
            action = rng.randrange(4)
            if action == 0:
                self.produce(rng.randrange(8), ages, rng.random() < 0.1)
            elif action == 1:
                self.paused_holder_records(rng.randrange(4), events)
            elif action == 2:
                self.execute_and_respond(
                    rng.random() < 0.6, rng.randrange(9), rng.randrange(7), events, faults
                )
            else:
                self.run_one_event((rng.choice(EVENTS), rng.randrange(99)))

    @rule(next_attempt=st.booleans(), limit=st.integers(1, 4), ahead=AHEAD, now=st.booleans())
    def send_pull(self, next_attempt, limit, ahead, now):
        self.puller.attempt += next_attempt
        version = None if ahead is None else self.published + ahead
        self.puller.requests.append(
            delivery.Pull(self.puller.cursor, self.puller.attempt, limit, version)
        )
        if now:
            self.execute(self.puller.requests[-1])

    @rule(pull=st.booleans(), pick=PICK, calls=CALLS, events=EVENTS_MEANWHILE, faults=FAULTS)
    def execute_and_respond(self, pull, pick, calls, events, faults):
        if pull or not self.puller.requests:
            self.puller.requests.append(
                delivery.Pull(self.puller.cursor, self.puller.attempt, limit=1 + pick % 4)
            )
            pick = 0
        self.interruption = (calls, events)
        self.store.planned_faults = faults
        self.execute(self.puller.requests[-1 - pick % min(6, len(self.puller.requests))])
        self.store.planned_faults = []
        if pull:
            self.event_respond(0)

    @precondition(lambda self: self.puller.responses)
    @rule(pick=PICK)
    def respond(self, pick):
        self.process_response(self.puller.responses[-1 - pick % min(2, len(self.puller.responses))])

    @invariant()
    def every_part_exists(self):
        first = self.store.objects.get("steps/t/1")
        if first is None:
            return
        plan = from_bytes(first.value).unwrap().plan
        for part in range(plan.parts):
            stored = self.store.objects.get(ledger_key(part_plan(plan, part)))
            assert stored is not None, "a part is missing"
            assert from_bytes(stored.value).unwrap().plan == part_plan(plan, part)

    def teardown(self):
        """Check that without further faults the step completes with every slot used once."""
        self.store.planned_faults.clear()
        self.store.deliver_delayed()
        for puller in self.pullers:
            self.puller = puller
            self.pull_remaining()
        used = [slot for puller in self.pullers for slot in puller.used]
        assert len(used) == GROUPS * SAMPLES_PER_GROUP or not self.pullers, "slots are missing"

    def pull_remaining(self):
        for _ in range(60):
            for slot in self.ledger().open_slots():
                self.delivery.record([self.produce_sample(slot, [self.published])])
            pull = delivery.Pull(self.puller.cursor, self.puller.attempt, limit=4)
            self.execute(pull)
            outcome = self.puller.responses[-1].outcome
            self.process_response(self.puller.responses[-1])
            if isinstance(outcome, delivery.StepComplete):
                return
        raise AssertionError(f"the step does not end: {outcome}")
