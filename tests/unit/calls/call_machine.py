"""State machine of calls against an oracle: what ran at the upstreams, and what callers were told.

Grace: the entry waits 150 ms past the deadline for the agent's own answer; the rest of
``GRACE_MS`` is for a look-up of the claim.
"""

import json

from call_world import AGENTS, ENTRIES, MODEL, SERVICE, World
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from network import FAULTS
from upstreams import completion_text

from pistachionotch.entry.calls import COMPLETIONS_PATH, Call, CallDone
from pistachionotch.idempotency.claim import ClaimPhase, parse_claim
from pistachionotch.idempotency.keys import claim_key
from pistachionotch.outcomes import Execution, RequestClass

GRACE_MS = 250
QUIET_MS = 20_000
SETTINGS = settings(
    max_examples=40, stateful_step_count=25, report_multiple_bugs=False, phases=[Phase.generate]
)
FRAMES = ("Submit", "Started", "Piece", "Finished", "Refused", "KeyIssued", "Cancel", "IssueKey")
UPSTREAM_FAULTS = ("refuse", "break", "break later", "slow")
STORE_FAULTS = ("lose_answers", "lose_writes", "delay_writes")
entries = st.sampled_from(ENTRIES)
agents = st.sampled_from(AGENTS)
timeouts = st.sampled_from((60, 400, 1500, 4000))


class CallMachine(RuleBasedStateMachine):
    """Send calls, inject faults and judge every answer."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.world.on_answer = self.judge
        self.faults = []

    def send(self, entry, timeout_ms, method, key="", path="/orders", tokens=0):
        name = f"r{len(self.world.orders)}"
        body, target, idempotent = b"{}", SERVICE, method == "GET"
        if path == COMPLETIONS_PATH:
            body = json.dumps({"model": MODEL, "prompt": f"{name}|", "max_tokens": tokens}).encode()
            target, idempotent = MODEL, True
        self.world.send(
            entry,
            Call(
                name,
                RequestClass.STOREFRONT,
                self.world.deadline(timeout_ms),
                target,
                method,
                path,
                (),
                body,
                idempotent,
                key,
                tokens,
            ),
        )
        self.advance(0)

    @rule(entry=entries, timeout_ms=timeouts, key=st.sampled_from(("k0", "k1", "k2")))
    def order_with_own_key(self, entry, timeout_ms, key):
        self.send(entry, timeout_ms, "POST", key)

    @rule(entry=entries, timeout_ms=timeouts, number=st.integers(0, 3))
    def order_with_issued_key(self, entry, timeout_ms, number):
        if self.world.issued:
            key = self.world.issued[-1 - number % len(self.world.issued)]
            self.send(entry, timeout_ms, "POST", key)

    @rule(entry=entries, timeout_ms=timeouts)
    def order_without_key(self, entry, timeout_ms):
        self.send(entry, timeout_ms, "POST")

    @rule(entry=entries, timeout_ms=timeouts)
    def repeatable_call(self, entry, timeout_ms):
        self.send(entry, timeout_ms, "GET")

    @rule(entry=entries, timeout_ms=timeouts, tokens=st.integers(1, 6))
    def completion(self, entry, timeout_ms, tokens):
        self.send(entry, timeout_ms, "POST", path=COMPLETIONS_PATH, tokens=tokens)

    @rule(entry=entries)
    def issue_key(self, entry):
        self.world.issue_key(entry)
        self.advance(20)

    @rule(duration_ms=st.sampled_from((1, 5, 20, 60, 300, 1500)))
    def wait(self, duration_ms):
        self.advance(duration_ms)

    @rule(frame=st.sampled_from(FRAMES), fault=st.sampled_from(FAULTS))
    def break_frame(self, frame, fault):
        self.world.network.armed.append((frame, fault))

    @rule(
        entry=entries,
        method=st.sampled_from(("POST", "GET")),
        frame=st.sampled_from(("Submit", "Piece", "Finished")),
        fault=st.sampled_from(FAULTS),
    )
    def call_with_broken_frame(self, entry, method, frame, fault):
        self.world.network.armed.append((frame, fault))
        self.send(entry, 1500, method, "k3" if method == "POST" else "")
        self.advance(100)

    @rule(node=st.sampled_from(ENTRIES + AGENTS))
    def cut_connections(self, node):
        self.world.network.cut(node)

    @rule(agent=agents)
    def silence_connections(self, agent):
        for wire in self.world.network.wires:
            if wire.agent == agent:
                wire.silent = True

    @rule(agent=agents, fault=st.sampled_from(UPSTREAM_FAULTS))
    def break_upstream(self, agent, fault):
        self.world.upstreams.faults.setdefault(agent, []).append(fault)

    @rule(agent=agents)
    def crash_agent(self, agent):
        self.world.crash_agent(agent)

    @rule(agent=agents)
    def restart_agent(self, agent):
        self.world.crash_agent(agent)
        self.advance(1)
        self.world.start_agent(agent)
        self.advance(150)

    @rule(agent=agents)
    def drain_agent(self, agent):
        self.world.drain_agent(agent)

    @rule(key=st.sampled_from(("k0", "k1", "k2", "issued")))
    def repeat_while_agents_drain(self, key):
        key = self.key_named(key)
        self.send("e0", 400, "POST", key)
        self.advance(100)
        for agent in AGENTS:
            self.world.drain_agent(agent)
        self.send("e1", 400, "POST", key)
        self.advance(100)
        for agent in AGENTS:
            self.restart_agent(agent)

    def key_named(self, key):
        if key != "issued":
            return key
        self.issue_key("e0")
        return self.world.issued[-1] if self.world.issued else "k2"

    @rule(key=st.sampled_from(("k0", "k1", "issued")))
    def refuse_while_a_submit_is_late(self, key):
        key = self.key_named(key)
        self.world.network.armed.append(("Submit", "late"))
        self.send("e0", 400, "POST", key)
        for node in AGENTS:
            self.world.upstreams.faults[node] = ["refuse"] * 9
        self.send("e1", 400, "POST", key)
        self.advance(600)
        self.world.upstreams.faults.clear()

    @rule(entry=entries)
    def restart_entry(self, entry):
        self.world.restart_entry(entry)
        self.advance(10)

    @rule(outage=st.booleans())
    def switch_store(self, outage):
        self.world.store.set_outage(outage)

    @rule(fault=st.sampled_from(STORE_FAULTS))
    def break_write(self, fault):
        setattr(self.world.store.faults, fault, 1)

    @rule()
    def deliver_late_writes(self):
        self.world.store.deliver_delayed()

    @rule(slow_ms=st.sampled_from((0, 30, 500, 3000)))
    def slow_store(self, slow_ms):
        self.world.store.slow_ms = slow_ms

    def advance(self, duration_ms):
        self.world.loop.advance(duration_ms)
        self.check()

    def check(self):
        assert not self.faults, self.faults
        errors = self.world.processes.errors
        assert not errors, errors
        self._check_single_runs()
        now_ms = self.world.clock.now_ms()
        for order in self.world.orders:
            late_ms = (order.answered_ms or now_ms) - order.call.deadline.at_ms
            assert order.lost or late_ms <= GRACE_MS, f"no answer {late_ms} ms late: {order}"

    def _check_single_runs(self):
        once = [ran for ran in self.world.upstreams.ledger if not ran.idempotent]
        for name in ("key", "request"):
            seen = [getattr(ran, name) for ran in once]
            assert len(seen) == len(set(seen)), f"ran twice by {name}: {once}"

    def judge(self, order, event):
        """Record what is wrong with a final answer at the time it is given."""
        if len(order.answers) > 1:
            self.faults.append(f"two final answers: {order.answers}")
        if isinstance(event, CallDone):
            self._judge_response(order)
            return
        problem = event.problem
        if not problem.retry_after_ms:
            self.faults.append(f"no retry time: {problem}")
        # A call that was sent after this one may run while this one's refusal is on its way.
        earlier = [ran for ran in self._runs(order.call) if int(ran.request[1:]) <= order.order]
        if problem.execution is Execution.NOT_RUN and earlier:
            self.faults.append(f"answered not-run, but ran: {problem} {earlier}")

    def _runs(self, call):
        ledger = self.world.upstreams.ledger
        if call.key:
            return [ran for ran in ledger if ran.key == call.key and not ran.idempotent]
        return [ran for ran in ledger if ran.request == call.request_id]

    def _judge_response(self, order):
        call = order.call
        expected = [ran.body for ran in self._runs(call)]
        if call.path == COMPLETIONS_PATH:
            expected = [completion_text(call.request_id, call.expected_tokens).encode()]
        if order.data not in expected:
            self.faults.append(f"{call.request_id} got {order.data!r}, not one of {expected}")

    def teardown(self):
        try:
            self.world.heal()
            self.advance(QUIET_MS)
            self.check_quiet()
        finally:
            self.world.close()

    def check_quiet(self):
        for order in self.world.orders:
            assert order.lost or (order.ended and order.answers), f"no final answer: {order}"
            self._check_never_ran_later(order)
        for entry in self.world.entries.values():
            for link in entry.table.links.values():
                assert not link.channels, f"channels are left: {link.channels}"
                assert not link.observations.attempts, "observed attempts are left"
        for agent in self.world.agents.values():
            self._check_agent(agent)

    def _check_never_ran_later(self, order):
        if order.lost or isinstance(order.answers[0], CallDone):
            return
        if order.answers[0].problem.execution is not Execution.NOT_RUN:
            return
        runs = [ran for ran in self.world.upstreams.ledger if ran.request == order.call.request_id]
        assert not runs, f"ran after the answer not-run: {order} {runs}"
        for ran in self._runs(order.call) if order.call.key else ():
            received_ms = self.world.orders[int(ran.request[1:])].received_ms
            revoked_ms = self._revoked_ms(order)
            late = ran.at_ms >= order.answered_ms and received_ms < revoked_ms
            assert not late, f"received before a refusal and ran after it: {order} {ran}"

    def _revoked_ms(self, order):
        """Return when the refusal took effect; without a revocation, when it was answered."""
        revoked = self.world.store.revoked_ms.get(claim_key(order.call.target, order.call.key), ())
        earlier = (at_ms for at_ms in revoked if at_ms <= order.answered_ms)
        return max(earlier, default=order.answered_ms)

    def _check_agent(self, agent):
        core = agent.core
        assert core.idle(), f"attempts are left: {core.waiting} {core.running}"
        assert not core.queue.queued_attempts and not core.queue.running, "the queue holds work"
        assert len(core.sessions) <= len(ENTRIES), f"sessions are left: {core.sessions}"
        assert (
            not agent.claim_manager.unsettled
        ), f"claims are not settled: {agent.claim_manager.unsettled}"
        for stored in self.world.store.objects.values():
            claim = parse_claim(stored.value)
            if claim is not None and claim.incarnation == agent.incarnation:
                assert claim.phase is not ClaimPhase.CLAIMED, f"claim is left open: {claim}"
