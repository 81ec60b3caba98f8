"""Failures of a chaos run: the plan that a seed gives, and how each is brought about."""

import contextlib
import random
import subprocess
import time
from collections import defaultdict

import attrs
import gevent
from gevent.lock import BoundedSemaphore

from tests.support.deployment import Deployment, wait_for_port, wait_until
from tests.support.operation_oracle import EFFECTS_S, Departure, Disturbance

ZONES = {
    "cebu": ("entry-1", "agent-1", "agent-3", "engine-1", "storefront-1"),
    "iloilo": ("entry-2", "agent-2", "agent-4", "engine-2", "storefront-2"),
    "manila": ("entry-3", "agent-5", "agent-6", "engine-3", "storefront-3"),
}
# The object API is in the other region.
FAR = ZONES["manila"]
ENTRIES, ENGINES, SERVICES = (
    tuple(name for names in ZONES.values() for name in names if name.startswith(part))
    for part in ("entry", "engine", "storefront")
)
UPSTREAMS = {
    "agent-1": "engine-1",
    "agent-2": "engine-2",
    "agent-3": "storefront-1",
    "agent-4": "storefront-2",
    "agent-5": "engine-3",
    "agent-6": "storefront-3",
}
AGENTS = tuple(UPSTREAMS)

# Leases last 6 s, so this is longer than every lease.
BEYOND_LEASES_S = (7.5, 9.0)
SHORT_S = (0.3, 2.0)
SOME_S = (2.0, 4.0)
NOTICE_S = 4.5  # between the notice that a VM leaves and its SIGTERM; beyond the bound of 3 s
BALANCER_S = 0.5  # until the load balancer has seen that an entry is not ready
DRAIN_S = 30.0
CLAIM_S = 5.0
ORDER_MS = 400  # of an order, so that each shutdown has some in flight

# Kind, targets of which a seed draws one, range of durations.
FAULTS = (
    ("kill", ENTRIES, SHORT_S),
    ("kill", AGENTS, SHORT_S),
    ("kill", (*ENGINES, *SERVICES), SHORT_S),
    ("freeze", ENTRIES, BEYOND_LEASES_S),
    ("freeze", (*AGENTS, "engine-2"), BEYOND_LEASES_S),
    ("freeze-claimant", ("object-store",), SHORT_S),
    ("freeze-claimant", ("object-store",), BEYOND_LEASES_S),
    ("silence", (*AGENTS, "object-store"), SOME_S),
    ("drain", ENTRIES, SHORT_S),
    ("drain", AGENTS, SHORT_S),
    ("leave", AGENTS, SHORT_S),
    ("lose-zone", tuple(ZONES), SOME_S),
    ("cut-regions", ("luzon",), SOME_S),
    ("cut-regions", ("luzon",), BEYOND_LEASES_S),
    ("outage", ("object-store",), BEYOND_LEASES_S),
    ("slow", ("object-store",), SOME_S),
    ("slow-writes", ("object-store",), SOME_S),
    ("lost-answers", ("object-store",), SOME_S),
    ("lost-writes", ("object-store",), SOME_S),
    ("broken-streams", ENGINES, SOME_S),
    ("failed-orders", ENGINES, SOME_S),
    ("lost-orders", ENGINES, SOME_S),
    ("lost-calls", SERVICES, SOME_S),
)
# The entries learn of a leaving VM through a lease and the object API, so its bound can only be
# checked when the effects of other faults on both are over.
ALONE = ("leave",)
# Switches of the stand-ins while a fault lasts, and afterwards; 4 s is beyond the client's limit.
SWITCHES = {
    "outage": ({"outage": True}, {"outage": False}),
    "slow": ({"slow_ms": 400}, {"slow_ms": 0}),
    "slow-writes": ({"slow_ms": 4000}, {"slow_ms": 0}),
    "lost-answers": ({"lose_answers": 6}, {"lose_answers": 0}),
    "lost-writes": ({"lose_writes": 6}, {"lose_writes": 0}),
    "broken-streams": ({"break_after_tokens": 4}, {"break_after_tokens": -1}),
    "failed-orders": ({"fail_orders": 2}, {"fail_orders": 0}),
    "lost-orders": ({"lose_order_answers": 2}, {"lose_order_answers": 0}),
    "lost-calls": ({"lose_next_answers": 3}, {"lose_next_answers": 0}),
}


@attrs.frozen
class Fault:
    at_s: float
    lasts_s: float
    kind: str
    target: str

    def __str__(self):
        return f"{self.at_s:6.1f} s  {self.kind} {self.target} for {self.lasts_s:.1f} s"

    def processes(self):
        """Return the processes that this fault has for itself, in the order of their locks."""
        if self.kind == "lose-zone":
            return tuple(sorted(ZONES[self.target]))
        return () if self.kind in ("cut-regions", "freeze-claimant") else (self.target,)


def make_plan(seed, seconds):
    """Return faults from a shuffled deck, one or two at a time, as the seed says."""
    rng = random.Random(f"plan-{seed}")
    deck, plan, at_s = [], [], 2.0
    while at_s < seconds:
        chosen = {}
        for _ in range(rng.choice((1, 2, 2))):
            if not deck:
                deck = rng.sample(FAULTS, len(FAULTS))
            if chosen and deck[-1][0] in ALONE:
                break
            kind, targets, (low, high) = deck.pop()
            target = rng.choice(targets)
            at_s += EFFECTS_S if kind in ALONE else 0
            chosen.setdefault(target, Fault(at_s, rng.uniform(low, high), kind, target))
            if kind in ALONE:
                at_s += NOTICE_S
                break
        plan += chosen.values()
        at_s += max(fault.lasts_s for fault in chosen.values()) + rng.uniform(0.5, 2.0)
    return plan


@attrs.define
class Faults:
    """Bring faults about and keep what the oracle has to know of them.

    ``unready`` is shared with the load, which sends nothing to the entries in it.
    """

    deployment: Deployment
    forwarders: dict
    unready: set
    disturbances: list = attrs.field(factory=list)
    departures: list = attrs.field(factory=list)
    locks: dict = attrs.field(factory=lambda: defaultdict(BoundedSemaphore))

    def bring_about(self, fault):
        with contextlib.ExitStack() as held:
            for name in fault.processes():
                held.enter_context(self.locks[name])
            if fault.kind == "freeze-claimant":
                self.freeze_claimant(fault)
                return
            names = FAR if fault.kind == "cut-regions" else fault.processes()
            with self.disturbed(fault.kind, names):
                handler = getattr(self, fault.kind.replace("-", "_"), self.switch)
                handler(fault)

    @contextlib.contextmanager
    def disturbed(self, kind, names):
        from_s = time.monotonic()
        lasting = [Disturbance(name, kind, from_s, float("inf")) for name in names]
        self.disturbances += lasting
        yield
        for each in lasting:
            self.disturbances.remove(each)
            self.disturbances.append(attrs.evolve(each, to_s=time.monotonic()))

    def switch(self, fault):
        during, afterwards = SWITCHES[fault.kind]
        self.deployment.faults(fault.target, **during)
        gevent.sleep(fault.lasts_s)
        self.deployment.faults(fault.target, **afterwards)

    def silence(self, fault):
        self.forwarders[fault.target].silence_open()

    def cut_regions(self, fault):
        for forwarder in self.forwarders.values():
            forwarder.cut()
        gevent.sleep(fault.lasts_s)
        for forwarder in self.forwarders.values():
            forwarder.mend()

    def kill(self, fault):
        self.lose(fault.processes(), fault.lasts_s)

    lose_zone = kill

    def lose(self, names, lasts_s):
        for name in names:
            self.deployment.kill(name)
        gevent.sleep(lasts_s)
        for name in names:
            self.deployment.restart(name)
        # The next fault may be a switch of these processes.
        for name in names:
            wait_for_port(self.deployment.ports[name])
        self.slow_services(names)

    def slow_services(self, names):
        for name in set(names) & set(SERVICES):
            self.deployment.faults(name, delay_ms=ORDER_MS)

    def freeze(self, fault):
        self.deployment.freeze(fault.target)
        gevent.sleep(fault.lasts_s)
        self.deployment.thaw(fault.target)

    def freeze_claimant(self, fault):
        """Stop the agent whose claim the object API holds, before it can have sent its call."""
        deployment = self.deployment
        deployment.rules(hold_claim=True, claimant="")
        with contextlib.suppress(AssertionError):
            wait_until(lambda: deployment.rules()["claimant"], CLAIM_S, "a claim is held")
        agent = deployment.rules(hold_claim=False)["claimant"]
        if not agent or self.locks[agent].locked():
            return
        with self.locks[agent], self.disturbed("freeze-claimant", (agent,)):
            self.freeze(attrs.evolve(fault, target=agent))

    def drain(self, fault, asked_s=None):
        """End a process by SIGTERM and start it again."""
        name, asked_s = fault.target, asked_s or time.monotonic()
        notice = gevent.spawn_later(BALANCER_S, self.unready.add, name)
        code = None
        with contextlib.suppress(subprocess.TimeoutExpired):
            code = self.deployment.terminate(name, DRAIN_S)
        announced = fault.kind == "leave"
        ended_s = time.monotonic()
        departure = Departure(name, UPSTREAMS.get(name, ""), asked_s, ended_s, code, announced)
        self.departures.append(departure)
        notice.join()
        if announced:
            self.deployment.list_vms()
        self.lose((name,), fault.lasts_s)
        self.unready.discard(name)

    def leave(self, fault):
        """Let the platform replace a VM: notice in its list, SIGTERM, a new one."""
        asked_s = time.monotonic()
        self.deployment.list_vms(fault.target)
        gevent.sleep(NOTICE_S)
        self.drain(fault, asked_s)
