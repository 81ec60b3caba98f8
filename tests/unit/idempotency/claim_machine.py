"""State machine test of the claim manager: several agents, a faulty store and counted runs."""

import math
import random
from collections import Counter

import attrs
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pistachionotch.clock import ManualClock
from pistachionotch.entry.claims import revoke_key
from pistachionotch.idempotency.claim import (
    ClaimStateError,
    Replay,
    RunPermitted,
    StoredResult,
    parse_claim,
)
from pistachionotch.idempotency.keys import claim_key, is_issued
from pistachionotch.idempotency.manager import ClaimManager
from pistachionotch.objects.memory import Faults, MemoryStore
from pistachionotch.outcomes import Execution

SCOPE = "orders"
DEPLOYMENT_KEY = b"deployment key for tests"
AGENTS = ("a1", "a2")
MAX_RECORDS = 3
RETENTION_MS = 1_000
FAULTS = st.sampled_from(
    [None, None, ("lose_answers", 1), ("lose_answers", 2), ("lose_writes", 2), ("delay_writes", 2)]
)


@attrs.define
class Attempt:
    claim_manager: ClaimManager
    key: str
    permission_id: int
    epoch: int
    sent: bool = False


class RacingStore:
    """Calls ``meanwhile`` once within the next store call, like a concurrent greenlet or agent."""

    def __init__(self, store):
        self.store = store
        self.meanwhile = None

    def _interleave(self):
        meanwhile, self.meanwhile = self.meanwhile, None
        if meanwhile is not None:
            meanwhile()

    def get(self, key):
        answer = self.store.get(key)
        self._interleave()
        return answer

    def put(self, key, value, expected_version):
        self._interleave()
        return self.store.put(key, value, expected_version)


class ClaimMachine(RuleBasedStateMachine):
    manager_type = ClaimManager
    caller_keys = ("k1", "k2")
    issued_keys = 2

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.memory = MemoryStore(self.clock)
        self.store = RacingStore(self.memory)
        self.incarnations = Counter()
        self.managers = {agent: self.new_manager(agent) for agent in AGENTS}
        self.paused = []
        self.attempts = []
        self.abandoned = []
        self.issued = [self.managers["a1"].issue_key(SCOPE)] if self.issued_keys else []
        self.runs = Counter()
        self.results = {}
        # For refused keys, the lowest epoch in which a request may still run.
        self.refused = {}

    def new_manager(self, agent):
        self.incarnations[agent] += 1
        incarnation = f"{agent}-{self.incarnations[agent]}"
        return self.manager_type(
            self.store,
            self.clock,
            agent,
            incarnation,
            DEPLOYMENT_KEY,
            RETENTION_MS,
            random.Random(incarnation),
            is_live=lambda name, number: self.managers[name].incarnation == number,
            max_records=MAX_RECORDS,
            max_memory_bytes=40,
        )

    def keys(self):
        return st.sampled_from(self.caller_keys + tuple(self.issued[-self.issued_keys :]))

    def epoch(self, key):
        stored = self.memory.objects.get(claim_key(SCOPE, key))
        return 0 if stored is None else parse_claim(stored.value).epoch

    def begin_with(self, claim_manager, key, epoch=None):
        epoch = self.epoch(key) if epoch is None else epoch
        decision = claim_manager.begin(SCOPE, key, epoch)
        if isinstance(decision, RunPermitted):
            self.attempts.append(Attempt(claim_manager, key, decision.permission_id, epoch))
        if isinstance(decision, Replay):
            assert decision.result == self.results[key], "replayed another result"

    def inject_fault(self, fault):
        """Inject a fault; two losses hit a write and its retry, so its outcome stays unknown."""
        if fault is not None:
            setattr(self.memory.faults, fault[0], fault[1])

    @rule(agent=st.sampled_from(AGENTS), data=st.data(), fault=FAULTS)
    def begin(self, agent, data, fault):
        self.inject_fault(fault)
        self.begin_with(self.managers[agent], data.draw(self.keys()))

    @rule(agent=st.sampled_from(AGENTS), data=st.data())
    def begin_received_earlier(self, agent, data):
        key = data.draw(self.keys())
        epoch = data.draw(st.integers(0, self.epoch(key)))
        self.begin_with(self.managers[agent], key, epoch)

    @rule(first=st.sampled_from(AGENTS), second=st.sampled_from(AGENTS), data=st.data())
    def race(self, first, second, data):
        key = data.draw(self.keys())
        self.store.meanwhile = lambda: self.begin_with(self.managers[second], key)
        self.begin_with(self.managers[first], key)
        self.store.meanwhile = None

    @rule(agent=st.sampled_from(AGENTS), data=st.data())
    def maintain_while_another_begins(self, agent, data):
        key = data.draw(self.keys())
        claim_manager = self.managers[agent]
        self.store.meanwhile = lambda: self.begin_with(claim_manager, key)
        claim_manager.maintain()
        self.store.meanwhile = None

    @precondition(lambda self: self.issued_keys)
    @rule(agent=st.sampled_from(AGENTS))
    def issue(self, agent):
        self.issued.append(self.managers[agent].issue_key(SCOPE))

    @precondition(lambda self: self.attempts)
    @rule(data=st.data(), outcome=st.sampled_from(["done", "silent", "late", "abandon"]))
    def advance_attempt(self, data, outcome):
        attempt = data.draw(st.sampled_from(self.attempts))
        if not attempt.sent and outcome == "abandon":
            attempt.claim_manager.abandon(SCOPE, attempt.key, attempt.permission_id)
            self.attempts.remove(attempt)
            self.abandoned.append(attempt)
            return
        if not attempt.sent:
            attempt.claim_manager.mark_sending(SCOPE, attempt.key, attempt.permission_id)
            attempt.sent = True
            assert attempt.epoch >= self.refused.get(attempt.key, 0), "ran after NOT_RUN was told"
            self.runs[attempt.key] += 1
            self.results[attempt.key] = StoredResult(200, (), f"{len(self.results)}".encode() * 9)
        if outcome in ("silent", "late"):
            attempt.claim_manager.record_unknown_outcome(SCOPE, attempt.key, attempt.permission_id)
        if outcome in ("done", "late"):
            attempt.claim_manager.record_response(
                SCOPE, attempt.key, self.results[attempt.key], attempt.permission_id
            )
        if outcome != "abandon":
            self.attempts.remove(attempt)

    @precondition(lambda self: any(not attempt.sent for attempt in self.attempts))
    @rule(fault=FAULTS)
    def abandon_and_release(self, fault):
        attempt = next(attempt for attempt in self.attempts if not attempt.sent)
        attempt.claim_manager.abandon(SCOPE, attempt.key, attempt.permission_id)
        self.attempts.remove(attempt)
        self.inject_fault(fault)
        attempt.claim_manager.maintain()

    @precondition(lambda self: self.abandoned)
    @rule(data=st.data())
    def send_abandoned_attempt(self, data):
        attempt = data.draw(st.sampled_from(self.abandoned))
        with pytest.raises(ClaimStateError):
            attempt.claim_manager.mark_sending(SCOPE, attempt.key, attempt.permission_id)

    @rule(agent=st.sampled_from(AGENTS), data=st.data(), fault=FAULTS)
    def refuse(self, agent, data, fault):
        key = data.draw(self.keys())
        if is_issued(key):
            if self.managers[agent].revoke(SCOPE, key):
                self.refused[key] = math.inf
            return
        self.inject_fault(fault)
        token = f"{len(self.memory.history)}-revocation"
        earlier = revoke_key(self.store, SCOPE, key, token)
        if earlier.result is not None:
            assert earlier.result == self.results[key]
        if earlier.execution is Execution.NOT_RUN:
            assert not self.runs[key], "told NOT_RUN of a call that ran"
            self.refused[key] = self.epoch(key)

    @rule(agent=st.sampled_from(AGENTS), pause=st.booleans())
    def restart(self, agent, pause):
        old = self.managers[agent]
        self.managers[agent] = self.new_manager(agent)
        if pause:
            self.paused.append(old)
            return
        self.attempts = [attempt for attempt in self.attempts if attempt.claim_manager is not old]

    @precondition(lambda self: self.paused)
    @rule(data=st.data())
    def paused_agent_acts(self, data):
        claim_manager = data.draw(st.sampled_from(self.paused))
        self.begin_with(claim_manager, data.draw(self.keys()))
        claim_manager.maintain()

    @rule(outage=st.booleans())
    def change_outage(self, outage):
        self.memory.set_outage(outage)

    @rule()
    def heal(self):
        self.memory.faults = Faults()

    @rule()
    def deliver_delayed(self):
        self.memory.deliver_delayed()

    @rule(
        agent=st.sampled_from(AGENTS),
        duration_ms=st.sampled_from([0, 0, RETENTION_MS + 1]),
        fault=FAULTS,
    )
    def maintain(self, agent, duration_ms, fault):
        self.inject_fault(fault)
        self.clock.advance(duration_ms)
        self.managers[agent].maintain()

    @invariant()
    def nothing_runs_twice(self):
        assert all(count <= 1 for count in self.runs.values()), "ran twice"

    @invariant()
    def memory_is_bounded(self):
        for claim_manager in self.managers.values():
            assert len(claim_manager.records.records) <= MAX_RECORDS
            assert claim_manager.records.result_bytes <= 40
            results = [
                record.result for record in claim_manager.records.records.values() if record.result
            ]
            assert claim_manager.records.result_bytes == sum(result.size() for result in results)
