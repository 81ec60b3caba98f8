"""Guards against paused lease holders, failed swaps and late effects of orders.

The simulated engine ignores fencing tokens.
"""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from pistachionotch.weights.gate import (
    LOAD_VERSION,
    Admitted,
    AwaitingOrder,
    CorrectionNeeded,
    CorrectionsExhausted,
    EngineOrder,
    OrderGate,
    VersionMatches,
)

SETTINGS = settings(max_examples=500, stateful_step_count=30, phases=[Phase.generate])
EFFECT = st.sampled_from(["done", "done", "running", "failed", "late", "unreadable"])


class GateMachine(RuleBasedStateMachine):
    """State machine with an engine that runs every order that reaches it, whatever its fence."""

    gate_class = OrderGate

    def __init__(self):
        super().__init__()
        self.lease_fence, self.desired = 1, 1
        self.held = [
            (1, 1)
        ]  # (fence, version) of orders that present and former holders sent, or may send late
        self.engine_version, self.running, self.late = 0, None, []
        self.newest_seen, self.last_admitted = 0, None
        self.gate, self.faulty = self.gate_class(), False

    def offer(self, order):
        if not isinstance(self.gate.admit(order), Admitted):
            return
        self.faulty = True
        assert self.running is None, "two orders at a time"
        assert order.fence >= self.newest_seen, "an order of a former holder reached the engine"
        last = self.last_admitted
        assert last is None or order.version >= last.version, "the engine was ordered back"
        self.faulty = False
        self.newest_seen, self.running, self.last_admitted = order.fence, order, order

    @rule()
    def another_holder_takes_over(self):
        self.lease_fence += 1
        self.held.append((self.lease_fence, self.desired))

    @rule()
    def publish(self):
        self.desired += 1
        self.held.append((self.lease_fence, self.desired))

    @rule(orders=st.lists(st.tuples(st.integers(0, 2), EFFECT), min_size=1, max_size=4))
    def present_and_former_holders_order(self, orders):
        for age, effect in orders:
            fence, version = self.held[-1 - age % len(self.held)]
            self.offer(EngineOrder(fence, LOAD_VERSION, "m", version))
            if effect != "running" and self.running is not None:
                self.order_ends(effect)

    @precondition(lambda self: self.running)
    @rule(effect=EFFECT)
    def order_ends(self, effect):
        order, self.running = self.running, None
        if effect in ("done", "unreadable"):
            self.engine_version = order.version
        if effect == "late":
            self.late.append(order.version)
        observed = None if effect == "unreadable" else self.engine_version
        self.react(self.gate.finish(order, observed))

    @precondition(lambda self: self.late)
    @rule()
    def late_effect(self):
        self.engine_version = self.late.pop()

    @rule()
    def read_version(self):
        self.react(self.gate.observe("m", self.engine_version))

    @rule(fence_read=st.booleans())
    def agent_restarts(self, fence_read):
        self.gate, self.running, self.last_admitted = self.gate_class(), None, None
        self.newest_seen = self.lease_fence
        if fence_read:
            self.read_fence()

    @rule()
    def read_fence(self):
        self.gate.load_fence(self.lease_fence)
        self.newest_seen = max(self.newest_seen, self.lease_fence)

    def react(self, reading):
        if isinstance(reading, CorrectionNeeded):
            self.offer(reading.order)

    def teardown(self):
        """Check that the engine finally serves the last admitted version, or reports otherwise."""
        if self.faulty:
            return
        if self.running is not None:
            self.order_ends("done")
        while self.late:
            self.late_effect()
        for _ in range(10):
            reading = self.gate.observe("m", self.engine_version)
            if isinstance(reading, VersionMatches | CorrectionsExhausted | AwaitingOrder):
                break
            self.react(reading)
            self.order_ends("done")
        if self.last_admitted is not None and isinstance(reading, VersionMatches):
            assert self.engine_version == self.last_admitted.version, "wrong version unnoticed"


class NoFenceCheck(OrderGate):
    def admit(self, order):
        if self.highest_fence is not None:
            self.highest_fence = 0
        return super().admit(order)


class NoFenceReadAfterStart(OrderGate):
    def admit(self, order):
        self.load_fence(0)
        return super().admit(order)


class SeveralAtATime(OrderGate):
    def admit(self, order):
        before, self.running = self.running, None
        decision = super().admit(order)
        self.running = self.running or before
        return decision


class LowerVersionsAccepted(OrderGate):
    def admit(self, order):
        self.min_versions.clear()
        return super().admit(order)


class NoReadBack(OrderGate):
    def observe(self, model, observed):
        return VersionMatches()


def test_gate_keeps_its_guarantees():
    run_state_machine_as_test(GateMachine, settings=SETTINGS)


@pytest.mark.parametrize(
    "mutant",
    [NoFenceCheck, NoFenceReadAfterStart, SeveralAtATime, LowerVersionsAccepted, NoReadBack],
)
def test_state_machine_detects(mutant):
    machine = type("Mutated", (GateMachine,), {"gate_class": mutant})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=SETTINGS)
