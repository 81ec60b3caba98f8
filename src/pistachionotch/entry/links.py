"""Links to agents: each link has a task that owns one session and the state of its agent."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

import attrs
import gevent
from gevent.event import Event
from gevent.queue import Queue

from ..admission.load import LoadReport
from ..clock import Clock
from ..config.revisions import Revisions
from ..membership.directory import Member
from ..outcomes import RequestClass
from ..prefixes.cache_estimate import PrefixCacheEstimate
from ..routing.candidates import AgentObservations, Candidate
from ..wire import messages
from ..wire.session import HandshakeError, Identity, Session, SessionClosed, open_session
from .heartbeats import MAX_HEARTBEAT_GROUPS, HeartbeatScheduler

RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 5000


@attrs.frozen
class LinkLost:
    """Tells the owner of an attempt that the connection was lost and no answer can arrive."""

    attempt: str
    reason: str


ChannelMessage = (
    messages.Started
    | messages.Piece
    | messages.Finished
    | messages.Refused
    | messages.KeyIssued
    | messages.OrderResult
    | LinkLost
)


@attrs.define(eq=False)
class AgentLink:
    """Keeps an authenticated session to one agent and delivers its answers to their attempts."""

    member: Member
    identity: Identity
    clock: Clock
    heartbeat_ms: Callable[[], int]
    revisions: Revisions
    log: Any
    on_config: Callable[[], None]
    region: str
    on_identified: Callable[[AgentLink], None] = attrs.field(default=lambda _link: None)
    session: Session | None = None
    load: LoadReport | None = None
    incarnation: str = ""
    report_received_ms: int = 0
    # The agent announced that it is leaving; cleared when a new session is opened.
    announced_leaving: bool = False
    # The VM list shows the agent's VM as leaving; a VM that was replaced may stay listed so for a
    # while.
    listed_leaving: bool = False
    stopped: bool = False
    channels: dict[str, Queue] = attrs.field(factory=dict)
    late_messages: int = 0
    connected: Event = attrs.field(factory=Event)
    heartbeats: HeartbeatScheduler = attrs.field(factory=HeartbeatScheduler)
    heartbeat_due_ms: int = 0
    inbox: Queue = attrs.field(factory=Queue)
    heartbeat_sequence: int = 0
    observations: AgentObservations = attrs.field(factory=AgentObservations)
    prefixes: PrefixCacheEstimate = attrs.field(factory=PrefixCacheEstimate)
    # Software version of the engine, as its last response named it; None before any response.
    software: str | None = None

    def run(self) -> None:
        """Connect, serve and reconnect until stopped."""
        reconnect_delay_ms = RECONNECT_MIN_MS
        while not self.stopped:
            try:
                self._connect()
            except (OSError, HandshakeError) as error:
                self.log.info("agent not reached", agent=self.member.node, reason=str(error))
                self.clock.sleep_ms(reconnect_delay_ms)
                reconnect_delay_ms = min(2 * reconnect_delay_ms, RECONNECT_MAX_MS)
                continue
            reconnect_delay_ms = RECONNECT_MIN_MS
            self._serve()

    def stop(self) -> None:
        """Close the session and end the link's task."""
        self.stopped = True
        if self.session is not None:
            self.session.close("link is no longer needed")

    @property
    def leaving(self) -> bool:
        """Return whether the agent must get no new work."""
        return self.announced_leaving or self.listed_leaving

    def ready(self) -> bool:
        """Return whether the agent can be given work."""
        return self.session is not None and self.load is not None and not self.leaving

    def candidate(self, request_class: RequestClass, prefix: bytes = b"") -> Candidate | None:
        """Return the agent as a placement candidate, or ``None`` before its first load report."""
        if self.session is None or self.load is None:
            return None
        now_ms = self.clock.now_ms()
        cached = self.prefixes.cached(prefix, now_ms)
        return Candidate(
            agent=self.member.node,
            zone=self.member.zone,
            region=self.member.region,
            load=self.load,
            report_received_ms=self.report_received_ms,
            local_in_flight=len(self.observations.attempts),
            sent_since_report=self.observations.sent_since(self.report_received_ms),
            draining=self.leaving,
            cached_tokens=cached.tokens,
            cached_age_ms=cached.age_ms,
            models=frozenset(self.member.models),
            local_observations=self.observations.summary(request_class, now_ms),
        )

    def submit(self, submit: messages.Submit, channel: Queue) -> bool:
        """Send one attempt; return ``False`` if nothing was sent to the agent."""
        return self.send_request(submit.attempt, submit, channel)

    def send_request(self, identifier: str, message: messages.Message, channel: Queue) -> bool:
        """Send a message whose answers, which carry ``identifier``, are put on ``channel``."""
        session = self.session
        if session is None:
            return False
        self.channels[identifier] = channel
        if not session.send(message):
            self.channels.pop(identifier, None)
            return False
        return True

    def discard_answers(self, identifier: str) -> None:
        """Discard later answers for ``identifier``."""
        self.channels.pop(identifier, None)

    def cancel(self, attempt: str) -> None:
        """Cancel an attempt and discard its later answers."""
        self.discard_answers(attempt)
        if self.session is not None:
            self.session.send(messages.Cancel(attempt))

    def withdraw(self, attempt: str) -> None:
        """Withdraw an attempt if it is still queued; the answer is put on its channel."""
        if self.session is not None:
            self.session.send(messages.Withdraw(attempt))

    def _connect(self) -> None:
        self.inbox = Queue()
        host, port = self.member.address.rsplit(":", 1)
        session = open_session(
            host,
            int(port),
            self.identity,
            self.clock,
            self.inbox,
            self.heartbeat_ms(),
        )
        if not self.member.node:
            self._identify_seed(session.peer)
        if session.peer.node != self.member.node:
            session.close("other node")
            raise HandshakeError(f"node is {session.peer.node}")
        self.session = session
        self.incarnation = session.peer.incarnation
        self.announced_leaving = False
        gevent.spawn(session.run)
        self._send_heartbeat(session)

    def _identify_seed(self, hello: messages.Hello) -> None:
        """Fill in the member of a seed from its hello; assume that it is in the entry's region."""
        self.member = attrs.evolve(
            self.member,
            node=hello.node,
            zone=hello.zone,
            region=self.region,
            models=(hello.upstream,),
        )
        self.on_identified(self)

    def _serve(self) -> None:
        session = self.session
        assert session is not None
        self.heartbeats.add(self)
        try:
            for _session, message in self.inbox:
                if isinstance(message, SessionClosed):
                    self._on_disconnect(message.reason)
                    return
                self.handle(message, session)
        finally:
            self.heartbeats.remove(self)

    def send_due_heartbeat(self) -> int:
        """Send a heartbeat if it is due, and close the session if the peer's heartbeat is overdue.

        Return the time in milliseconds until the next check.
        """
        interval_ms = self.heartbeat_ms()
        session = self.session
        if session is None or session.closed:
            return interval_ms
        if session.heartbeat_overdue():
            session.close("no heartbeat")
            return interval_ms
        now_ms = self.clock.now_ms()
        if now_ms >= self.heartbeat_due_ms - interval_ms // MAX_HEARTBEAT_GROUPS:
            self._send_heartbeat(session)
        return min(self.heartbeat_due_ms - now_ms, session.heartbeat_overdue_in_ms())

    def _send_heartbeat(self, session: Session) -> None:
        self.heartbeat_sequence += 1
        interval_ms = self.heartbeat_ms()
        self.heartbeat_due_ms = self.clock.now_ms() + interval_ms
        revision = self.revisions.revision
        session.send(messages.Heartbeat(self.heartbeat_sequence, revision, None, interval_ms))

    def announce_config(self) -> None:
        """Offer the configuration in force to the agent, with a heartbeat that has its interval."""
        if self.session is not None:
            self.session.send(messages.ConfigOffer(self.revisions.revision))
            self.heartbeat_due_ms = 0
            self.heartbeats.wake()

    def _on_disconnect(self, reason: str) -> None:
        self.log.info("agent connection lost", agent=self.member.node, reason=reason)
        self.session = None
        self.load = None
        self.connected.clear()
        channels, self.channels = self.channels, {}
        for identifier, channel in channels.items():
            channel.put((self, LinkLost(identifier, reason)))

    @singledispatchmethod
    def handle(self, message: object, session: Session) -> None:
        """Handle one message from the agent."""
        self.log.warning("unexpected message", kind=type(message).__name__)
        session.close("unexpected message")

    @handle.register
    def _(self, message: messages.Heartbeat, session: Session) -> None:
        session.set_heartbeat_interval(message.interval_ms)
        self.load = message.load
        self.report_received_ms = self.clock.now_ms()
        if message.cache is not None:
            self.prefixes.apply(message.cache, self.report_received_ms)
        if message.load is not None and message.load.draining:
            self.announced_leaving = True
        self.connected.set()
        if message.config_revision > self.revisions.revision:
            session.send(messages.ConfigFetch(message.config_revision))

    @handle.register
    def _(self, message: messages.Leaving, _session: Session) -> None:
        self.announced_leaving = True
        self.log.info("agent is leaving", agent=self.member.node, reason=message.reason)

    @handle.register
    def _(self, message: messages.ConfigOffer, session: Session) -> None:
        if message.revision > self.revisions.revision:
            session.send(messages.ConfigFetch(message.revision))

    @handle.register
    def _(self, message: messages.ConfigFetch, session: Session) -> None:
        session.send(messages.ConfigBody(self.revisions.revision, self.revisions.body))

    @handle.register
    def _(self, message: messages.ConfigBody, _session: Session) -> None:
        previous_revision = self.revisions.revision
        self.revisions.offer(message.revision, message.body)
        if self.revisions.revision > previous_revision:
            self.on_config()

    @handle.register
    def _(self, message: messages.OrderResult, _session: Session) -> None:
        self._deliver(message.order, message, final=True)

    @handle.register(messages.Started)
    @handle.register(messages.Piece)
    def _(self, message: messages.Started | messages.Piece, _session: Session) -> None:
        self._deliver(message.attempt, message, final=False)

    @handle.register(messages.Finished)
    @handle.register(messages.Refused)
    @handle.register(messages.KeyIssued)
    def _(self, message: Any, _session: Session) -> None:
        self._deliver(message.attempt, message, final=True)

    def _deliver(self, identifier: str, message: Any, final: bool) -> None:
        channel = self.channels.get(identifier)
        if channel is None:
            # The attempt was abandoned; its late answer must not reach another request.
            self.late_messages += 1
            return
        if final:
            del self.channels[identifier]
        channel.put((self, message))
