"""State machine of one step against an oracle: what the engine produced, what the trainer used.

Requests and responses may be lost, repeated, delayed and crossed. Any call to the outside may be
the point where an entry is paused while something else happens, or where it dies.
"""

from __future__ import annotations

import contextlib
import random

import attrs
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from returns.result import Failure, Success
from step_world import WRITE_FAULTS, HookedStore

from pistachionotch.samples import delivery as d
from pistachionotch.samples.ledger import StepPlan
from pistachionotch.samples.ledger_format import from_bytes
from pistachionotch.samples.ledger_store import LedgerStore
from pistachionotch.samples.sample import Sample, body_digest, new_sample_id
from pistachionotch.samples.spans import SpanRecorder, VersionSpan, merge_spans

PLAN = StepPlan("t", 1, "m", groups=4, samples_per_group=2, staleness_bound=1)
SETTINGS = settings(
    max_examples=400,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    phases=[Phase.generate],
)
EVENTS = ["publish", "agent_dies", "copies_lost", "both_lost", "body_lost", "late_write", "crash"]
EVENTS += ["execute", "repeat", "pull", "next_attempt"] * 2 + ["respond", "record"]
EVENT = st.tuples(st.sampled_from(EVENTS), st.integers(0, 99))
EVENTS_MEANWHILE = st.lists(EVENT, max_size=3)
AGES = st.lists(st.sampled_from([0, 0, 0, 1, 2, None]), min_size=1, max_size=3)
AHEAD = st.sampled_from([None, 0, 1])
FAULTS = st.lists(st.sampled_from(WRITE_FAULTS), max_size=2)
CALLS = st.integers(0, 6)
PICK = st.integers(0, 99)


class EntryDied(Exception):
    """The process ends in the middle of its work."""


@attrs.frozen
class Response:
    pull: d.Pull
    outcome: d.PullOutcome


class StepMachine(RuleBasedStateMachine):
    delivery_class = d.StepDelivery
    ledgers_class = LedgerStore
    recorder_class = SpanRecorder

    def __init__(self):
        super().__init__()
        self.rng = random.Random(7)
        self.store = HookedStore()
        self.published = 3
        self.truth = {}  # body -> (slot, spans that the engine used, None when unlabelled)
        self.agent_bodies, self.copies = {}, {}
        self.pending, self.requests, self.responses = [], [], []
        self.cursor, self.attempt, self.used = 0, 1, {}
        self.handed = {}
        self.interrupt = None
        self.store.before = lambda _call: self.outside_call()
        ledgers = self.ledgers_class(self.store, "steps/t/1", self.rng)
        self.delivery = self.delivery_class(ledgers, self.find_body, self.read_newest)
        ledgers.create(PLAN)

    # What an entry calls, each time a point of interruption

    def outside_call(self):
        if self.interrupt is None:
            return
        calls_left, events = self.interrupt
        if calls_left > 0:
            self.interrupt = (calls_left - 1, events)
            return
        self.interrupt = None
        for event, pick in events:
            self.happen(event, pick)

    def read_newest(self):
        self.outside_call()
        return Success(self.published)

    def find_body(self, sample):
        self.outside_call()
        held = self.agent_bodies.get(sample.sample_id)
        return held if held is not None else self.copies.get(sample.sample_id)

    # Events

    def happen(self, event, pick):
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
        if self.requests:
            self.execute_now(self.requests[-1 - pick % min(4, len(self.requests))])

    def event_repeat(self, _pick):
        for request in self.requests[-1:]:
            self.execute_now(request)

    def event_next_attempt(self, pick):
        self.attempt += 1
        self.requests.append(d.Pull(self.cursor, self.attempt, limit=1 + pick % 3))
        self.execute_now(self.requests[-1])

    def event_pull(self, pick):
        self.requests.append(d.Pull(self.cursor, self.attempt, limit=1 + pick % 3))
        self.execute_now(self.requests[-1])
        self.event_respond(0)

    def event_respond(self, _pick):
        if self.responses:
            self.use(self.responses[-1])

    def event_record(self, pick):
        if self.pending:
            self.delivery.record([self.pending[pick % len(self.pending)]])

    def event_late_write(self, _pick):
        self.store.deliver_delayed()

    def event_crash(self, _pick):
        self.copies.clear()
        raise EntryDied

    def execute_now(self, pull):
        try:
            outcome = self.delivery.pull(pull)
        except EntryDied:
            return
        finally:
            self.interrupt = None
        self.responses.append(Response(pull, outcome))
        if isinstance(outcome, d.Delivered):
            self.check_delivered(pull, outcome)

    def check_delivered(self, pull, outcome):
        newest = max(self.published, pull.trainer_version or 0)
        assert outcome.samples, "an empty delivery"
        for item in outcome.samples:
            assert item.body in self.truth, "a body that the engine did not produce"
            slot, spans = self.truth[item.body]
            assert (slot, spans) == (item.sample.slot, item.sample.spans), "wrong label"
            oldest = min(span.version for span in spans)
            assert newest - oldest <= PLAN.staleness_bound, "stale delivery"
        ids = [item.sample.sample_id for item in outcome.samples]
        key = (outcome.cursor, outcome.attempt)
        assert self.handed.setdefault(key, ids) == ids, "two deliveries under one attempt differ"

    def use(self, response):
        pull, outcome = response.pull, response.outcome
        if (pull.cursor, pull.attempt) != (self.cursor, self.attempt):
            return
        if isinstance(outcome, d.AttemptNeeded):
            self.attempt = max(self.attempt + 1, outcome.next_attempt)
        if isinstance(outcome, d.StepComplete):
            assert len(self.used) == PLAN.slot_count, "the step ended without all samples"
        if not isinstance(outcome, d.Delivered):
            return
        for item in outcome.samples:
            assert item.sample.slot not in self.used, "a slot was delivered twice"
            self.used[item.sample.slot] = item.sample.sample_id
        self.cursor, self.attempt = self.cursor + 1, 1

    def ledger(self):
        return from_bytes(self.store.objects["steps/t/1"].value).unwrap()

    def produce_now(self, slot, versions, damaged=False):
        body = f"body {len(self.truth)} of {slot}".encode()
        recorder = self.recorder_class()
        for version in versions:
            recorder.add(version, 3)
        labelled = None not in versions
        spans = merge_spans(VersionSpan(v, 3) for v in versions) if labelled else None
        self.truth[body] = (slot, spans)
        result = recorder.finish()
        if isinstance(result, Failure):
            return None
        labels = result.unwrap()
        sample = Sample(new_sample_id(self.rng), slot, body_digest(body), labels, "agent", "entry")
        self.agent_bodies[sample.sample_id] = body[:-3] if damaged else body
        self.copies[sample.sample_id] = self.agent_bodies[sample.sample_id]
        return sample

    # Rules

    @initialize(ages_by_slot=st.lists(AGES, min_size=1, max_size=8))
    def start(self, ages_by_slot):
        for number, ages in enumerate(ages_by_slot):
            self.produce(number, ages, False)

    @rule(number=st.integers(0, 7), ages=AGES, damaged=st.booleans())
    def produce(self, number, ages, damaged):
        versions = [None if age is None else max(0, self.published - age) for age in ages]
        sample = self.produce_now(self.ledger().slot(number), versions, damaged)
        if sample is not None:
            self.pending.append(sample)
            self.delivery.record([sample])

    @rule(calls=st.integers(0, 3), events=EVENTS_MEANWHILE)
    def paused_holder_records(self, calls, events):
        for slot in self.ledger().open_slots()[-1:]:
            self.pending.append(self.produce_now(slot, [self.published]))
            self.interrupt = (calls, events)
            with contextlib.suppress(EntryDied):
                self.delivery.record([self.pending[-1]])
            self.interrupt = None

    @rule(event=EVENT)
    def something_happens(self, event):
        with contextlib.suppress(EntryDied):
            self.happen(*event)

    @rule(seed=st.integers(0, 2**32 - 1))
    def many_things_happen(self, seed):
        """Draw evenly, because Hypothesis alone combines rare events too seldom."""
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
                self.something_happens((rng.choice(EVENTS), rng.randrange(99)))

    @rule(next_attempt=st.booleans(), limit=st.integers(1, 4), ahead=AHEAD, now=st.booleans())
    def send_pull(self, next_attempt, limit, ahead, now):
        self.attempt += next_attempt
        version = None if ahead is None else self.published + ahead
        self.requests.append(d.Pull(self.cursor, self.attempt, limit, version))
        if now:
            self.execute_now(self.requests[-1])

    @rule(pull=st.booleans(), pick=PICK, calls=CALLS, events=EVENTS_MEANWHILE, faults=FAULTS)
    def execute_and_respond(self, pull, pick, calls, events, faults):
        if pull or not self.requests:
            self.requests.append(d.Pull(self.cursor, self.attempt, limit=1 + pick % 4))
            pick = 0
        self.interrupt = (calls, events)
        self.store.planned = faults
        self.execute_now(self.requests[-1 - pick % min(6, len(self.requests))])
        self.store.planned = []
        if pull:
            self.event_respond(0)

    @precondition(lambda self: self.responses)
    @rule(pick=PICK)
    def respond(self, pick):
        self.use(self.responses[-1 - pick % min(2, len(self.responses))])

    @invariant()
    def ledger_is_readable(self):
        assert self.ledger().plan == PLAN

    def teardown(self):
        """Without further faults the step must end with every slot used once."""
        self.store.planned.clear()
        self.store.deliver_delayed()
        for _ in range(60):
            for slot in self.ledger().open_slots():
                self.delivery.record([self.produce_now(slot, [self.published])])
            pull = d.Pull(self.cursor, self.attempt, limit=4)
            self.execute_now(pull)
            outcome = self.responses[-1].outcome
            self.use(self.responses[-1])
            if isinstance(outcome, d.StepComplete):
                return
        raise AssertionError(f"the step does not end: {outcome}")
