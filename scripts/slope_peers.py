"""Stand-ins for the peers of a measured process: agents for an entry, entries for an agent."""

import time

import gevent
from gevent.queue import Queue

from pistachionotch.admission.load import LoadReport
from pistachionotch.bench.slopes.proc import socket_counts
from pistachionotch.clock import SystemClock
from pistachionotch.logs import logger
from pistachionotch.membership.directory import Member
from pistachionotch.membership.registration import Registration
from pistachionotch.outcomes import RequestClass
from pistachionotch.wire import messages
from pistachionotch.wire.session import Identity, SessionClosed, make_server, open_session
from tests.support.deployment import HOST, KEY, free_port

HEARTBEAT_MS = 2000
CLASSES = (RequestClass.TRAINING, RequestClass.STOREFRONT)
LOAD = LoadReport(
    dict.fromkeys(CLASSES, 3), dict.fromkeys(CLASSES, 4), dict.fromkeys(CLASSES, 1500), 8, 301.5
)


class AgentPeer:
    """Stand for an agent: prove itself, send heartbeats and take configurations."""

    def __init__(self, number, zone="cebu"):
        self.clock = SystemClock()
        self.node = f"peer-{number:04d}"
        self.inbox = Queue()
        self.sessions = set()
        self.revision = 0
        self.revision_at = 0.0
        identity = Identity(
            "bituin", self.node, "agent", zone, f"{number:012x}", KEY.encode(), "fitting"
        )
        port = free_port()
        log = logger("peer")
        self.server = make_server(HOST, port, identity, self.clock, self.inbox, HEARTBEAT_MS, log)
        self.member = Member(
            self.node, f"{HOST}:{port}", zone, "visayas", f"{number:012x}", ("fitting",)
        )
        self.tasks = [
            gevent.spawn(self.server.serve_forever),
            gevent.spawn(self.run),
        ]

    def run(self):
        for session, message in self.inbox:
            if isinstance(message, SessionClosed):
                self.sessions.discard(session)
                continue
            self.sessions.add(session)
            if isinstance(message, messages.Heartbeat):
                # An agent answers each heartbeat of an entry with its own.
                session.send(messages.Heartbeat(0, self.revision, LOAD))
            if isinstance(message, messages.ConfigOffer) and message.revision > self.revision:
                session.send(messages.ConfigFetch(message.revision))
            if isinstance(message, messages.ConfigBody) and message.revision > self.revision:
                self.revision = message.revision
                self.revision_at = time.monotonic()

    def register(self, store):
        Registration(store, self.member, self.clock, logger("peer")).run()

    def counts(self):
        return [socket_counts(session.connection.socket) for session in self.sessions]


class EntryPeer:
    """Stand for an entry: connect to an agent and send heartbeats."""

    def __init__(self, number, port):
        identity = Identity(
            "bituin", f"peer-{number:04d}", "entry", "cebu", f"{number:012x}", KEY.encode()
        )
        self.inbox = Queue()
        clock = SystemClock()
        self.fetches = 0
        self.session = open_session(HOST, port, identity, clock, self.inbox, HEARTBEAT_MS)
        gevent.spawn(self.session.run)
        gevent.spawn(self.answer)
        gevent.spawn(self.beat)

    def answer(self):
        for session, message in self.inbox:
            if isinstance(message, messages.ConfigFetch):
                self.fetches += 1
                session.send(messages.ConfigBody(message.revision, b"{}"))

    def beat(self):
        while not self.session.closed:
            self.session.send(messages.Heartbeat(0, 0))
            gevent.sleep(HEARTBEAT_MS / 1000)

    def counts(self):
        return [socket_counts(self.session.connection.socket)]
