"""Routing of non-idempotent calls: each runs at most once, and failures report what is known."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import singledispatchmethod
from typing import TypeVar

import attrs
import gevent
from gevent.queue import Empty, Queue
from returns.result import Success

from ..idempotency.keys import decode_key, is_issued
from ..objects.api import ObjectStore
from ..outcomes import Execution, Problem
from ..quarantine.board import Verdict
from ..routing.retry import FailedAttempt, decide_retry
from ..wire.assembly import Assembler
from ..wire.messages import Finished, Piece, Refused, Started
from .calls import Call, CallDone, CallFailed, ResponsePart, RouteEvent
from .claims import UNKNOWN, EarlierOutcome, read_epoch, revoke_key
from .keys import ISSUE_TIMEOUT_S, request_key
from .links import AgentLink, LinkLost
from .router import FINAL_ANSWER_GRACE_MS
from .routing_state import RoutingState
from .suspects import refusal_status

RESUBMIT_PAUSE_MS = 100
DEFAULT_RETRY_AFTER_MS = 1000
T = TypeVar("T")


@attrs.define
class AtMostOnceCall:
    """Routes one non-idempotent call.

    The call goes to another agent only if it provably did not run. If its answer is lost, the same
    key is sent to the same agent again, whose claim prevents a second run.
    """

    state: RoutingState
    call: Call
    deployment_key: bytes
    store: ObjectStore
    channel: Queue = attrs.field(factory=Queue)
    link: AgentLink | None = None
    attempt: str = ""
    assembler: Assembler | None = None
    excluded: set[str] = attrs.field(factory=set)
    attempt_count: int = 0
    ended: bool = False
    # Whether a ``Submit`` with the current key was sent, and whether the agent revoked the key.
    submit_written: bool = False
    revoked: bool = False
    resubmitted: bool = False
    started_ms: int = attrs.field(init=False)
    key_from_caller: bool = attrs.field(init=False)
    # Whether the key was chosen by the caller, so that its claim and epoch are in the object API.
    uses_stored_claim: bool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.key_from_caller = bool(self.call.key)
        self.uses_stored_claim = self.key_from_caller and not is_issued(self.call.key)
        self.started_ms = self.state.clock.now_ms()

    def run(self) -> Iterator[RouteEvent]:
        """Yield the response, then one final event."""
        self.state.open_calls[id(self)] = self
        try:
            yield from self._run()
        finally:
            del self.state.open_calls[id(self)]
            if self.link is not None:
                self.link.discard_answers(self.attempt)
                self.link.observations.discard(self.attempt)

    def withdraw_queued(self, link: AgentLink) -> None:
        """Withdraw the attempt if it is still queued at the agent; a started one continues."""
        if self.link is link:
            link.withdraw(self.attempt)

    def _run(self) -> Iterator[RouteEvent]:
        if self.uses_stored_claim and not self._read_epoch():
            yield from self._refuse("the claim of the key cannot be read", DEFAULT_RETRY_AFTER_MS)
            return
        ruling = self.state.suspects.rule(self.call)
        if ruling.verdict in (Verdict.HOLD, Verdict.CONDEMNED):
            status = refusal_status(ruling, Execution.NOT_RUN)
            yield from self._refuse(ruling.reason, ruling.retry_after_ms, status)
            return
        yield from self._send("")
        while not self.ended:
            remaining_ms = (
                self.call.deadline.at_ms - self.state.clock.now_ms() + FINAL_ANSWER_GRACE_MS
            )
            try:
                link, message = self.channel.get(timeout=max(0, remaining_ms) / 1000)
            except Empty:
                yield self._fail(504, Execution.UNKNOWN, "deadline passed", DEFAULT_RETRY_AFTER_MS)
                break
            yield from self.on_message(message, link)

    def _read_epoch(self) -> bool:
        """Read the epoch of the key before the first attempt.

        An epoch read later could include a later revocation, so that the agent would run a call
        whose refusal had promised that it would not.
        """
        remaining_ms = self.call.deadline.remaining_ms(self.state.clock)
        epoch = _call_with_timeout(
            remaining_ms, read_epoch, self.store, self.call.target, self.call.key
        )
        if epoch is None:
            return False
        self.call = attrs.evolve(self.call, epoch=epoch)
        return True

    def _send(self, home: str) -> Iterator[RouteEvent]:
        """Submit to ``home`` if given, else to the key's home agent or to a placed agent."""
        home = home or self._home_agent()
        if home:
            self.state.decisions.placed_by_key(self.call, home, "home of the idempotency key")
        else:
            placement = self.state.place(self.call, frozenset(self.excluded))
            if placement.agent is None:
                yield from self._refuse(placement.reason, placement.retry_after_ms)
                return
            home = placement.agent
        link = self.state.table.links.get(home)
        if link is None or link.session is None:
            yield from self._retry_not_run(home, "agent is not connected", DEFAULT_RETRY_AFTER_MS)
            return
        if link.listed_leaving:
            yield from self._retry_not_run(
                home, "the VM of the agent is leaving", DEFAULT_RETRY_AFTER_MS
            )
            return
        if not self._ensure_key(link):
            yield from self._retry_not_run(home, "agent issued no key", DEFAULT_RETRY_AFTER_MS)
            return
        if not self._submit(link):
            yield from self._retry_not_run(home, "agent is not connected", DEFAULT_RETRY_AFTER_MS)

    def _submit(self, link: AgentLink) -> bool:
        """Send one attempt to the agent; return ``False`` if nothing was sent."""
        state = self.state
        self.link = link
        self.attempt_count += 1
        self.attempt = state.next_attempt()
        self.assembler = Assembler(self.attempt)
        remaining_ms = self.call.deadline.remaining_ms(state.clock)
        if not link.submit(self.call.submit(self.attempt, remaining_ms), self.channel):
            return False
        self.submit_written = True
        link.observations.record_sent(self.attempt, self.call.request_class, state.clock.now_ms())
        return True

    def _home_agent(self) -> str:
        issued = decode_key(self.call.key, self.call.target, self.deployment_key)
        return issued.agent if issued is not None else ""

    def _ensure_key(self, link: AgentLink) -> bool:
        """Have the agent issue a key, valid for its incarnation only, for a call without one."""
        if self.call.key:
            return True
        remaining_s = self.call.deadline.remaining_ms(self.state.clock) / 1000
        key = request_key(link, self.call.target, min(ISSUE_TIMEOUT_S, remaining_s))
        if key is None:
            return False
        self.call = attrs.evolve(self.call, key=key)
        return True

    def _retry_not_run(self, agent: str, reason: str, retry_after_ms: int) -> Iterator[RouteEvent]:
        """Retry at another agent or later, within the retry budget, or refuse the call."""
        state = self.state
        other_links = [
            link
            for link in state.table.serving(self.call.target)
            if link.member.node not in self.excluded and link.member.node != agent
        ]
        decision = decide_retry(
            FailedAttempt(max(1, self.attempt_count), Execution.NOT_RUN, False, retry_after_ms),
            self.call.deadline.remaining_ms(state.clock),
            0,
            0 if self._home_agent() else len(other_links),
            state.retry_budget(self.call),
            state.clock.now_ms(),
            state.rng,
        )
        state.decisions.retried(self.call, reason, decision)
        if not decision.retry:
            yield from self._refuse(reason, retry_after_ms)
            return
        state.clock.sleep_ms(decision.wait_ms)
        if other_links and not self._home_agent():
            self.excluded.add(agent)
        self.attempt_count += 1
        yield from self._send("")

    def _refuse(self, reason: str, retry_after_ms: int, status: int = 503) -> Iterator[RouteEvent]:
        """Refuse a call that was not run, after revoking its key if the caller chose the key."""
        outcome = self._revoke_key() if self.uses_stored_claim else self._issued_key_outcome()
        if outcome.result is not None:
            result = outcome.result
            yield from self._complete(result.body, result.status, result.headers, "")
            return
        yield self._fail(status, outcome.execution, reason, retry_after_ms)

    def _revoke_key(self) -> EarlierOutcome:
        """Revoke the caller's key; the outcome is unknown if the store does not answer in time."""
        remaining_ms = self.call.deadline.at_ms - self.state.clock.now_ms() + FINAL_ANSWER_GRACE_MS
        token = f"{self.state.rng.getrandbits(64):016x}"
        call = self.call
        return (
            _call_with_timeout(remaining_ms, revoke_key, self.store, call.target, call.key, token)
            or UNKNOWN
        )

    def _issued_key_outcome(self) -> EarlierOutcome:
        """Return what is known of an issued key, which only its home agent can revoke."""
        unused = not self.key_from_caller and not self.submit_written
        return EarlierOutcome(Execution.NOT_RUN) if self.revoked or unused else UNKNOWN

    @singledispatchmethod
    def on_message(self, message: object, link: AgentLink) -> Iterator[RouteEvent]:
        """Handle one message from the agent."""
        raise TypeError(type(message))

    @on_message.register
    def _(self, message: Started, link: AgentLink) -> Iterator[RouteEvent]:
        return iter(())

    @on_message.register
    def _(self, message: Piece, link: AgentLink) -> Iterator[RouteEvent]:
        if message.attempt != self.attempt or self.assembler is None:
            return iter(())
        # Parts are buffered in the assembler: the caller gets the whole response or a problem.
        self.assembler.add(message)
        return iter(())

    @on_message.register
    def _(self, message: Finished, link: AgentLink) -> Iterator[RouteEvent]:
        if message.attempt != self.attempt or self.assembler is None:
            return
        if message.execution is not Execution.DONE:
            if message.crashed:
                self.state.suspects.record_crash(self.call, link)
            yield self._fail(502, Execution.UNKNOWN, message.reason, DEFAULT_RETRY_AFTER_MS)
            return
        complete = self.assembler.finish(message)
        if not isinstance(complete, Success):
            yield from self._resubmit(link, complete.failure().reason)
            return
        state = self.state
        link.observations.record_first_token(self.attempt, state.clock.now_ms())
        link.observations.record_finished(self.attempt, 0, state.clock.now_ms())
        state.record_success(self.call)
        state.suspects.record_success(self.call, link.member.node)
        state.total_tail(self.call).observe(state.clock.now_ms() - self.started_ms)
        yield from self._complete(
            complete.unwrap().body, message.status, message.headers, link.member.node
        )

    def _complete(
        self, body: bytes, status: int, headers: tuple[tuple[str, str], ...], agent: str
    ) -> Iterator[RouteEvent]:
        self.ended = True
        self.state.decisions.done(self.call, agent)
        yield ResponsePart(body, -1, 0)
        yield CallDone(status, headers, (), agent)

    @on_message.register
    def _(self, message: Refused, link: AgentLink) -> Iterator[RouteEvent]:
        if message.attempt != self.attempt:
            return
        link.observations.discard(self.attempt)
        if message.home:
            yield from self._send_to_home_agent(message.home)
            return
        if message.execution is Execution.NOT_RUN and message.revoked:
            yield from self._on_revoked(link, message)
            return
        if (
            message.execution is Execution.NOT_RUN
            and self.resubmitted
            and not message.not_run_proved
        ):
            # The agent refused without checking the key, so the earlier attempt may still have run.
            self.state.clock.sleep_ms(RESUBMIT_PAUSE_MS)
            yield from self._resubmit(link, message.reason)
            return
        if message.execution is Execution.NOT_RUN:
            yield from self._retry_not_run(link.member.node, message.reason, message.retry_after_ms)
            return
        if message.retry_after_ms and self.resubmitted:
            # The call in progress is an earlier attempt of this one, whose answer was lost.
            self.state.clock.sleep_ms(RESUBMIT_PAUSE_MS)
            yield from self._resubmit(link, message.reason)
            return
        status = 409 if message.retry_after_ms else 502
        yield self._fail(status, Execution.UNKNOWN, message.reason, message.retry_after_ms)

    def _on_revoked(self, link: AgentLink, message: Refused) -> Iterator[RouteEvent]:
        """Refuse the call, as its key is revoked, or retry it with another issued key."""
        if self.key_from_caller:
            self.revoked = True
            yield from self._refuse(message.reason, message.retry_after_ms)
            return
        self.call = attrs.evolve(self.call, key="")
        self.submit_written = self.resubmitted = False
        yield from self._retry_not_run(link.member.node, message.reason, message.retry_after_ms)

    def _send_to_home_agent(self, home: str) -> Iterator[RouteEvent]:
        """Send the call to the agent that holds the key's claim; only that agent may answer it."""
        link = self.state.table.links.get(home)
        if link is None or link.session is None:
            reason = "the agent that holds this key is not connected"
            yield self._fail(503, Execution.UNKNOWN, reason, DEFAULT_RETRY_AFTER_MS)
            return
        yield from self._send(home)

    @on_message.register
    def _(self, message: LinkLost, link: AgentLink) -> Iterator[RouteEvent]:
        if message.attempt != self.attempt:
            return
        yield from self._resubmit(link, message.reason)

    def _resubmit(self, link: AgentLink, reason: str) -> Iterator[RouteEvent]:
        """Send the same key to the same agent, whose claim prevents a second run."""
        state = self.state
        link.observations.discard(self.attempt)
        remaining_ms = self.call.deadline.remaining_ms(state.clock)
        state.decisions.resubmitted(self.call, link.member.node, reason)
        if not remaining_ms or not link.connected.wait(remaining_ms / 1000):
            yield self._fail(502, Execution.UNKNOWN, "agent was lost", DEFAULT_RETRY_AFTER_MS)
            return
        self.resubmitted = True
        if not self._submit(link):
            state.clock.sleep_ms(RESUBMIT_PAUSE_MS)
            yield from self._resubmit(link, reason)

    def _fail(
        self, status: int, execution: Execution, reason: str, retry_after_ms: int
    ) -> CallFailed:
        self.ended = True
        problem = Problem(
            status,
            "request not completed",
            reason,
            execution,
            self.call.request_id,
            retry_after_ms or DEFAULT_RETRY_AFTER_MS,
            new_key=self.revoked and not self.uses_stored_claim,
        )
        self.state.decisions.failed(self.call, problem)
        return CallFailed(problem)


def _call_with_timeout(timeout_ms: int, function: Callable[..., T], *arguments: object) -> T | None:
    """Return the result of a store operation, or ``None`` if it fails or times out."""
    # The operation runs to its end in a greenlet of its own: if it were interrupted, its connection
    # would be left in the middle of a response.
    task = gevent.spawn(function, *arguments)
    task.join(max(0, timeout_ms) / 1000)
    return task.value if task.successful() else None
