"""Two entries and two agents that run the real code on virtual time and in-memory connections."""

import contextlib
import random
from unittest import mock

import attrs
import gevent
from network import Network
from upstreams import SlowStore, Upstreams

from pistachionotch.admission.limit import ConcurrencyLimit
from pistachionotch.admission.queue import AdmissionQueue
from pistachionotch.admission.shares import ClassShares
from pistachionotch.agent import attempts
from pistachionotch.agent.core import AgentCore, Drain
from pistachionotch.clock import Deadline
from pistachionotch.config.revisions import Revisions
from pistachionotch.entry import links
from pistachionotch.entry.at_most_once import AtMostOnceCall
from pistachionotch.entry.calls import CallDone, CallFailed, ResponsePart
from pistachionotch.entry.decisions import DecisionLog
from pistachionotch.entry.keys import KeyIssuer
from pistachionotch.entry.policy import PolicyView
from pistachionotch.entry.router import RoutedCall, RoutingState
from pistachionotch.entry.table import LinkTable
from pistachionotch.idempotency.manager import ClaimManager
from pistachionotch.membership.directory import Directory, Member
from pistachionotch.routing.candidates import Location
from pistachionotch.wire.messages import Hello
from pistachionotch.wire.session import Identity, Session
from tests.support.virtual_time import VirtualTime

ENTRIES = ("e0", "e1")
AGENTS = ("a0", "a1")
SERVICE = "services/shop"
MODEL = "fitting"
KEY = b"deployment key"
HEARTBEAT_MS = 500
RETENTION_MS = 3_600_000
CONCURRENCY = 2


class Log:
    """Discards the log lines of one process, or prints them for ``scripts/fuzz.sh --trace``."""

    trace = False

    def __init__(self, clock, part):
        self.clock = clock
        self.part = part

    def info(self, line, **fields):
        if self.trace:
            print(self.clock.now_ms(), self.part, line, fields)

    warning = error = info


@attrs.define(eq=False)
class SentCall:
    """One call that was sent to an entry, with the data and final answers received."""

    call: object
    entry: str
    index: int
    # The latest time at which the entry reads the epoch of the key.
    received_ms: int
    data: bytes = b""
    answers: list = attrs.field(factory=list)
    answered_ms: int = 0
    lost: bool = False
    ended: bool = False
    task: object = None


class Agent:
    """One incarnation of an agent."""

    def __init__(self, world, node, incarnation):
        self.node = node
        self.incarnation = incarnation
        self.process = f"{node}-{incarnation}"
        rng = random.Random(incarnation)
        store, clock = world.store, world.clock
        self.claim_manager = ClaimManager(store, clock, node, incarnation, KEY, RETENTION_MS, rng)
        queue = AdmissionQueue(clock, ConcurrencyLimit.fixed(CONCURRENCY), ClassShares())
        log = Log(clock, self.process)
        self.core = AgentCore(
            clock, node, queue, self.claim_manager, Revisions(), log, HEARTBEAT_MS, lambda *_: None
        )
        world.processes.spawn_in(self.process, self.core.run)


class Entry:
    """One incarnation of an entry."""

    def __init__(self, world, node, incarnation):
        self.world = world
        self.node = node
        self.incarnation = incarnation
        self.process = f"{node}-{incarnation}"
        self.revisions = Revisions()
        self.log = Log(world.clock, self.process)
        location = Location(node, "z", "r")
        directory = Directory()
        directory.apply_zone("z", 1, [self._member(agent) for agent in AGENTS])
        self.table = LinkTable(location, directory, self._link, PolicyView(self.revisions))
        decisions = DecisionLog(self.log, world.clock)
        self.rng = random.Random(incarnation)
        self.routing = RoutingState(self.table, world.clock, location, self.rng, decisions)
        self.routing.attempt_prefix = self.process
        world.processes.spawn_in(self.process, self.table.refresh)

    def _member(self, agent):
        return Member(agent, f"{agent}:1", "z", "r", models=(SERVICE, MODEL))

    def _link(self, member):
        identity = Identity("d", self.node, "entry", "z", self.incarnation, KEY)
        return links.AgentLink(
            member,
            identity,
            self.world.clock,
            lambda: HEARTBEAT_MS,
            self.revisions,
            self.log,
            lambda: None,
            "r",
        )

    def route(self, call):
        if call.idempotent:
            return RoutedCall(self.routing, call).run()
        return AtMostOnceCall(self.routing, call, KEY, self.world.store).run()

    def issue(self):
        return KeyIssuer(self.table, self.rng).issue(SERVICE)


class World:
    """The processes, connections, store and upstreams of one test run."""

    def __init__(self):
        self.stack = contextlib.ExitStack()
        time = self.stack.enter_context(VirtualTime())
        self.loop, self.clock, self.processes = time.loop, time.clock, time.processes
        self.network = Network(self.loop)
        self.store = SlowStore(self.clock)
        self.upstreams = Upstreams(self.clock)
        self.incarnations = 0
        self.sent_calls = []
        self.issued = []
        self.agents = {}
        self.entries = {}
        self.stack.enter_context(mock.patch.object(links, "open_session", self._open_session))
        self.stack.enter_context(mock.patch.object(attempts, "call", self.upstreams.call))
        for node in AGENTS:
            self.start_agent(node)
        for node in ENTRIES:
            self.start_entry(node)
        self.loop.advance(50)

    def close(self):
        self.stack.close()

    def _next_incarnation(self):
        self.incarnations += 1
        return f"i{self.incarnations}"

    def _open_session(self, host, _port, identity, clock, inbox, heartbeat_ms):
        gevent.sleep(0.002)
        agent = self.agents.get(host)
        if agent is None:
            raise OSError("connection refused")
        connection = self.network.connect(identity.node, host)
        near, far = connection.ends
        self.processes.spawn_in(agent.process, self._accept, far, identity, agent)
        peer = Hello(1, "d", host, "agent", "z", agent.incarnation, b"")
        return Session(near, peer, clock, inbox, heartbeat_ms)

    def _accept(self, end, identity, agent):
        peer = Hello(1, "d", identity.node, "entry", "z", identity.incarnation, b"")
        Session(end, peer, self.clock, agent.core.inbox, HEARTBEAT_MS).run()

    def start_agent(self, node):
        self.agents[node] = Agent(self, node, self._next_incarnation())

    def crash_agent(self, node):
        agent = self.agents.pop(node, None)
        if agent is not None:
            self.network.cut(node)
            self.processes.kill(agent.process)

    def drain_agent(self, node):
        if node in self.agents:
            self.agents[node].core.inbox.put((None, Drain("test")))

    def list_vm(self, node, state):
        """Publish a directory that lists the VM of an agent in the given state."""
        for entry in self.entries.values():
            directory = entry.table.directory
            members = [
                attrs.evolve(member, state=state) if member.node == node else member
                for member in directory.all_members()
            ]
            directory.apply_zone("z", directory.zones["z"][0] + 1, members)
            self.processes.spawn_in(entry.process, entry.table.refresh)

    def start_entry(self, node):
        self.entries[node] = Entry(self, node, self._next_incarnation())

    def restart_entry(self, node):
        for sent_call in self.sent_calls:
            if sent_call.entry == node and not sent_call.ended:
                sent_call.lost = sent_call.ended = True
        self.network.cut(node)
        self.processes.kill(self.entries[node].process)
        self.loop.settle()
        self.start_entry(node)

    def send(self, node, call):
        sent_call = SentCall(
            call, node, len(self.sent_calls), self.clock.now_ms() + self.store.slow_ms
        )
        self.sent_calls.append(sent_call)
        entry = self.entries[node]
        sent_call.task = self.processes.spawn_in(
            entry.process, self._collect_events, entry, sent_call
        )
        return sent_call

    def abandon_call(self, index):
        """Kill the task of a call, as the server does when the caller's connection breaks."""
        self.sent_calls[index].lost = True
        self.sent_calls[index].task.kill(block=False)

    def _collect_events(self, entry, sent_call):
        for event in entry.route(sent_call.call):
            if sent_call.lost:
                return
            if isinstance(event, ResponsePart):
                sent_call.data += event.data
            if isinstance(event, CallDone | CallFailed):
                sent_call.answers.append(event)
                sent_call.answered_ms = self.clock.now_ms()
                self.on_answer(sent_call, event)
        sent_call.ended = True

    def on_answer(self, sent_call, event):
        """Check a final answer; the state machine replaces this method."""

    def issue_key(self, node):
        entry = self.entries[node]

        def issue():
            key = entry.issue()
            if key is not None:
                self.issued.append(key)

        self.processes.spawn_in(entry.process, issue)

    def deadline(self, after_ms):
        return Deadline.after(self.clock, after_ms)

    def heal(self):
        """End all faults, so that any state that remains afterwards is a leak."""
        self.network.heal()
        self.store.faults.outage = False
        self.store.faults.lose_answers = 0
        self.store.faults.lose_writes = 0
        self.store.faults.delay_writes = 0
        self.store.deliver_delayed()
        self.store.slow_ms = 0
        self.upstreams.faults.clear()
        for node in AGENTS:
            if node not in self.agents:
                self.start_agent(node)
