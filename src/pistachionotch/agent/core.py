"""The agent's core task, which owns the admission queue, the attempts and the sessions."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

import attrs
import gevent
from gevent.event import Event
from gevent.queue import Queue

from ..admission.load import LoadReport, RunResult
from ..admission.queue import AdmissionQueue, Admitted, ExpiredWork, QueuedWork
from ..clock import MS_PER_SECOND, Clock, Deadline
from ..config.revisions import Revisions
from ..idempotency.manager import MAX_RESULT_BYTES, ClaimManager
from ..outcomes import Execution
from ..prefixes.reports import CacheReporter
from ..samples.retained import RetainedBodies
from ..wire import messages
from ..wire.session import Session, SessionClosed
from .attempts import AttemptEnded, AttemptProgress, AttemptRunner, send_body
from .claim_maintenance import ClaimMaintenance
from .config_fetch import ConfigFetcher
from .engine_reports import EngineReport
from .key_revocation import prove_not_run
from .upstream import Upstream

TICK_MS = 50
# Interval of the heartbeat checks while no work is queued; with queued work it is TICK_MS.
IDLE_TICK_MS = 200
HEARTBEAT_SLACK_MS = 2 * IDLE_TICK_MS
DRAIN_RETRY_MS = 1000
# No new work may reach an upstream later than 3 s after its drain began. Work that is still queued
# at the end of this window is refused, so that its entry can route it elsewhere.
DRAIN_START_WINDOW_MS = 2500
MAX_ATTEMPTS = 4096
# With 9 trainers, 2,048 samples per step and 1,100 agents, a step leaves about 17 bodies per agent.
MAX_RETAINED_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Tick:
    """Ask the core to check its queue and the heartbeats of its sessions."""


@attrs.frozen
class Drain:
    """Ask the core to admit no new work."""

    reason: str


@attrs.frozen
class VersionObserved:
    """Report the weight version that the engine serves according to its last answer."""

    version: int


@attrs.define
class AgentCore:
    """Handle messages one at a time, so that only one greenlet changes the agent's state."""

    clock: Clock
    upstream: Upstream
    queue: AdmissionQueue
    claim_manager: ClaimManager
    revisions: Revisions
    log: Any
    heartbeat_ms: int
    on_order: Callable[[Session, messages.Order], None]
    on_config: Callable[[], None] = attrs.field(default=lambda: None)
    inbox: Queue = attrs.field(factory=Queue)
    retained: RetainedBodies = attrs.field(factory=lambda: RetainedBodies(MAX_RETAINED_BYTES))
    cache: CacheReporter = attrs.field(factory=CacheReporter)
    sessions: dict[Session, int] = attrs.field(factory=dict)
    waiting: dict[str, AttemptRunner] = attrs.field(factory=dict)
    running: dict[str, tuple[AttemptRunner, gevent.Greenlet]] = attrs.field(factory=dict)
    work_queued: Event = attrs.field(factory=Event)
    config: ConfigFetcher = attrs.field(init=False)
    start_cutoff_ms: int | None = None
    # Cached for heartbeats to 24 entries, 12 per second; cleared if anything but its ages changes.
    idle_load: LoadReport | None = None
    idle_load_ms: int = 0

    def __attrs_post_init__(self) -> None:
        self.config = ConfigFetcher(self.clock, self.revisions)

    def run(self) -> None:
        """Handle messages from the inbox until the greenlet is killed."""
        gevent.spawn(self._tick)
        # Runs in its own greenlet so that a slow object store does not block the core.
        gevent.spawn(ClaimMaintenance(self.claim_manager, self.clock).run)
        for session, message in self.inbox:
            self.handle(message, session)
            self._start_runnable()

    def idle(self) -> bool:
        """Return whether no attempt is queued or running."""
        return not self.waiting and not self.running

    def may_start(self) -> bool:
        """Return whether admitted work may still be sent to the upstream."""
        return self.start_cutoff_ms is None or self.clock.now_ms() < self.start_cutoff_ms

    def load(self) -> LoadReport:
        """Return the load report for the entries; an idle agent's is cached for IDLE_TICK_MS."""
        now_ms = self.clock.now_ms()
        idle = self.idle()
        if idle and self.idle_load is not None and now_ms - self.idle_load_ms < IDLE_TICK_MS:
            return self.idle_load
        load = self.queue.report_load()
        self.idle_load, self.idle_load_ms = (load if idle else None), now_ms
        return load

    def _tick(self) -> None:
        while True:
            if self.waiting:
                self.clock.sleep_ms(TICK_MS)
            else:
                self.work_queued.wait(IDLE_TICK_MS / MS_PER_SECOND)
            self.work_queued.clear()
            self.inbox.put((None, Tick()))

    @singledispatchmethod
    def handle(self, message: object, session: Session) -> None:
        """Handle one message; ``session`` is None for messages of the agent's own tasks."""
        self.log.warning("unexpected message", kind=type(message).__name__)
        session.close("unexpected message")

    @handle.register
    def _(self, message: Tick, _session: None) -> None:
        if not self.may_start():
            self._refuse_waiting()
        now_ms = self.clock.now_ms()
        for session, last_sent_ms in list(self.sessions.items()):
            if session.heartbeat_overdue():
                session.close("no heartbeat")
                continue
            # Usually not due, because the answer to the entry's last heartbeat is more recent.
            if now_ms - last_sent_ms < self.heartbeat_ms + HEARTBEAT_SLACK_MS:
                continue
            self._send_heartbeat(session)

    def _send_heartbeat(self, session: Session) -> None:
        now_ms = self.clock.now_ms()
        report = self.cache.next_report(session, now_ms)
        revision = self.revisions.revision
        session.send(messages.Heartbeat(0, revision, self.load(), self.heartbeat_ms, report))
        self.sessions[session] = now_ms

    @handle.register
    def _(self, message: Drain, _session: None) -> None:
        self.queue.drain()
        self.start_cutoff_ms = self.clock.now_ms() + DRAIN_START_WINDOW_MS
        self.idle_load = None
        for session in self.sessions:
            session.send(messages.Leaving(message.reason))
        self.log.info("draining", reason=message.reason, running=len(self.running))

    def _refuse_waiting(self) -> None:
        for attempt, runner in list(self.waiting.items()):
            self._dequeue(attempt)
            self._refuse(runner, "upstream is leaving", DRAIN_RETRY_MS, "refused")

    @handle.register
    def _(self, message: VersionObserved, _session: None) -> None:
        self.queue.observe_versions((message.version,))
        self.idle_load = None

    @handle.register
    def _(self, message: EngineReport, _session: None) -> None:
        load = message.load
        if load is not None:
            limit = self.queue.limit
            limit.observe_report(load.running, load.waiting, load.measured_ms_ago)
        view, now_ms = self.cache.view, self.clock.now_ms()
        if message.cache is not None and not view.apply_page(message.cache, now_ms):
            self.log.info("cache events missing, view discarded", sequence=view.sequence)

    @handle.register
    def _(self, message: messages.Heartbeat, session: Session) -> None:
        session.set_heartbeat_interval(message.interval_ms)
        if session not in self.sessions:
            self.sessions[session] = 0
            self._send_heartbeat(session)
            self.log.info("entry connected", entry=session.peer.node)
            if self.queue.draining:
                session.send(messages.Leaving("draining"))
        elif self.clock.now_ms() - self.sessions[session] >= self.heartbeat_ms // 2:
            # The TCP acknowledgement of the entry's heartbeat travels with an immediate answer.
            self._send_heartbeat(session)
        self.config.fetch_if_newer(session, message.config_revision)

    @handle.register
    def _(self, message: messages.ConfigOffer, session: Session) -> None:
        self.config.fetch_if_newer(session, message.revision)

    @handle.register
    def _(self, message: messages.ConfigFetch, session: Session) -> None:
        session.send(messages.ConfigBody(self.revisions.revision, self.revisions.body))

    @handle.register
    def _(self, message: messages.ConfigBody, _session: Session) -> None:
        previous_revision = self.revisions.revision
        self.revisions.offer(message.revision, message.body)
        if self.revisions.revision == previous_revision:
            return
        self.log.info("configuration in force", revision=self.revisions.revision)
        self.on_config()
        for session in self.sessions:
            self._send_heartbeat(session)

    @handle.register
    def _(self, message: SessionClosed, session: Session) -> None:
        self.sessions.pop(session, None)
        self.cache.forget(session)
        self.log.info("entry disconnected", entry=session.peer.node, reason=message.reason)
        for attempt, runner in list(self.waiting.items()):
            if runner.session is session:
                self._dequeue(attempt)
        for runner, greenlet in list(self.running.values()):
            if runner.session is session and runner.submit.idempotent:
                greenlet.kill(block=False)

    @handle.register
    def _(self, message: messages.Submit, session: Session) -> None:
        if message.attempt in self.waiting or message.attempt in self.running:
            # The first submission will be answered; refusing now would claim that it did not run.
            self.log.warning("attempt submitted twice", attempt=message.attempt)
            return
        runner = AttemptRunner(
            message,
            session,
            self.upstream,
            self.claim_manager,
            self.clock,
            Deadline.after(self.clock, message.remaining_ms),
            lambda progress: self.inbox.put((None, progress)),
            self.may_start,
        )
        refusal = self._refusal(message)
        if refusal is not None:
            reason, retry_after_ms = refusal
            self._refuse(runner, reason, retry_after_ms, "refused")
            return
        work = QueuedWork(
            message.attempt,
            message.request_class,
            runner.deadline,
            message.expected_tokens,
            self.clock.now_ms(),
            message.tenant,
            message.continues,
        )
        answer = self.queue.offer(work)
        if not isinstance(answer, Admitted):
            retry_after_ms = getattr(answer, "retry_after_ms", DRAIN_RETRY_MS)
            self._refuse(runner, answer.reason, retry_after_ms, "refused")
            return
        self.waiting[message.attempt] = runner
        self.work_queued.set()
        self._log_admission(message, "queued", "")

    def _refusal(self, message: messages.Submit) -> tuple[str, int] | None:
        if self.queue.draining:
            return "upstream is leaving", DRAIN_RETRY_MS
        if len(self.waiting) + len(self.running) >= MAX_ATTEMPTS:
            return "agent holds too many attempts", DRAIN_RETRY_MS
        return None

    def _log_admission(self, message: messages.Submit, decision: str, reason: str) -> None:
        self.log.info(
            decision,
            request=message.request,
            attempt=message.attempt,
            request_class=message.request_class,
            remaining_ms=message.remaining_ms,
            reason=reason,
        )

    def _start_runnable(self) -> None:
        while True:
            work, expired = self.queue.start_next()
            for item in expired:
                self._refuse_expired(item)
            if work is None:
                return
            runner = self.waiting.pop(work.attempt, None)
            if runner is None:
                self.queue.finish(work.attempt, RunResult(None, 0, 0, False))
                continue
            runner.session.send(messages.Started(work.attempt))
            self._start(runner)

    def _start(self, runner: AttemptRunner) -> None:
        greenlet = gevent.spawn(runner.run)
        self.running[runner.submit.attempt] = (runner, greenlet)
        # A link is called even if the greenlet is killed before it starts; ``finally`` is not.
        greenlet.link(lambda _greenlet: self.inbox.put((None, runner.end_message())))

    def _refuse_expired(self, expired: ExpiredWork) -> None:
        runner = self.waiting.pop(expired.work.attempt, None)
        if runner is None:
            return
        self._refuse(runner, expired.reason, expired.retry_after_ms, "expired")

    def _refuse(
        self, runner: AttemptRunner, reason: str, retry_after_ms: int, decision: str
    ) -> None:
        """Refuse an attempt that was not sent to the upstream, revoking its key if possible."""
        submit = runner.submit
        queued = (other.submit for other in self.waiting.values())
        proof = prove_not_run(submit, queued, self.claim_manager)
        runner.refuse(
            reason,
            Execution.NOT_RUN,
            retry_after_ms,
            not_run_proved=proof.proved,
            revoked=proof.revoked,
        )
        self._log_admission(submit, decision, reason)

    def _dequeue(self, attempt: str) -> None:
        self.waiting.pop(attempt, None)
        self.queue.cancel(attempt)

    @handle.register
    def _(self, message: messages.Cancel, _session: Session) -> None:
        if message.attempt in self.waiting:
            self._dequeue(message.attempt)
            return
        running = self.running.get(message.attempt)
        if running is not None and running[0].submit.idempotent:
            running[1].kill(block=False)

    @handle.register
    def _(self, message: messages.Withdraw, _session: Session) -> None:
        runner = self.waiting.get(message.attempt)
        if runner is None:
            return
        self._dequeue(message.attempt)
        self._refuse(runner, "withdrawn", 0, "withdrawn")

    @handle.register
    def _(self, message: AttemptProgress, _session: None) -> None:
        self.queue.record_progress(message.attempt, message.tokens)

    @handle.register
    def _(self, message: AttemptEnded, _session: None) -> None:
        runner, _greenlet = self.running.pop(message.attempt)
        self.idle_load = None
        self.queue.finish(message.attempt, message.result)
        retainable = message.result.succeeded and len(runner.body) <= MAX_RESULT_BYTES
        if runner.submit.retain and retainable:
            self.retained.put(runner.submit.retain, bytes(runner.body))
        if runner.usage is not None:
            self.cache.view.record_usage(runner.submit.prefix, runner.usage)
        if runner.spans.spans:
            self.queue.observe_versions((runner.spans.spans[-1].version,))
        self.log.info(
            "attempt ended",
            request=runner.submit.request,
            attempt=message.attempt,
            succeeded=message.result.succeeded,
            duration_ms=message.result.duration_ms,
        )

    @handle.register
    def _(self, message: messages.FetchBody, session: Session) -> None:
        body = self.retained.get(message.name)
        if body is None:
            session.send(
                messages.Refused(message.attempt, "body is not held", Execution.NOT_RUN, 0)
            )
            return
        send_body(session, message.attempt, body)

    @handle.register
    def _(self, message: messages.IssueKey, session: Session) -> None:
        session.send(
            messages.KeyIssued(message.attempt, self.claim_manager.issue_key(message.scope))
        )

    @handle.register
    def _(self, message: messages.Order, session: Session) -> None:
        self.on_order(session, message)
