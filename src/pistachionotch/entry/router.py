"""Routing of idempotent calls: placement, retries, hedging and resumption of streams."""

from __future__ import annotations

from collections.abc import Iterator
from functools import singledispatchmethod
from typing import Any

import attrs
from gevent.queue import Empty, Queue
from returns.result import Success

from ..outcomes import Execution, Problem
from ..quarantine.board import Verdict
from ..routing.hedge import HedgeContext, LatencyTail
from ..routing.resume import RESUMABLE_CLASSES
from ..routing.retry import FailedAttempt
from ..wire.assembly import CompleteResponse
from ..wire.messages import Finished, Piece, Refused, Started
from .attempt import Attempt
from .calls import Call, CallDone, CallFailed, Progress, ResponsePart, RouteEvent, weaker_guarantee
from .hedging import choose_hedge_agent
from .kept_text import KeptText
from .links import AgentLink, LinkLost
from .open_attempts import OpenAttempts
from .resuming import choose_resume_agent, remaining_tokens
from .retrying import wait_for_retry
from .routing_state import RoutingState
from .suspects import refusal_status

# An agent reports an expired attempt at its deadline. The entry waits this long for that report,
# which knows whether the attempt ran; without it the entry can only answer that it is unknown.
FINAL_ANSWER_GRACE_MS = 150
HEDGE_CHECK_MS = 50
SLOW_STREAM_CHECK_MS = 250
DEFAULT_RETRY_AFTER_MS = 1000


@attrs.define(eq=False)
class RoutedCall:
    """Routes one idempotent call, in one or more attempts, until it ends."""

    state: RoutingState
    call: Call
    channel: Queue = attrs.field(factory=Queue)
    attempts: OpenAttempts = attrs.field(init=False)
    tried_agents: set[str] = attrs.field(factory=set)
    attempt_count: int = 0
    execution: Execution = Execution.NOT_RUN
    reason: str = "no attempt was made"
    retry_after_ms: int = 0
    started_ms: int = 0
    delivered: bool = False
    moving: bool = False
    ended: bool = False
    continuations: int = 0
    kept: KeptText = attrs.field(factory=KeptText)
    # The call before any of it was continued elsewhere.
    original: Call = attrs.field(init=False)
    refusal_status: int = 503

    def __attrs_post_init__(self) -> None:
        self.original = self.call
        self.attempts = OpenAttempts(self.channel)

    def run(self) -> Iterator[RouteEvent]:
        """Yield the parts of the response, then one final event."""
        self.started_ms = self.state.clock.now_ms()
        self.state.open_calls[id(self)] = self
        try:
            if not self._start_attempt():
                yield self._fail(self.refusal_status)
                return
            while not self.ended:
                event = self._next_message()
                if event is None:
                    yield self._fail(504)
                    return
                link, message = event
                yield from self.on_message(message, link)
        finally:
            del self.state.open_calls[id(self)]
            self.attempts.cancel_all()

    def queued_at(self) -> AgentLink | None:
        """Return the link of the agent that has the only attempt queued, or ``None``."""
        attempt = None if self.moving else self.attempts.only_queued()
        return None if attempt is None else attempt.link

    def move(self) -> None:
        """Withdraw the queued attempt; it is placed again once the agent has refused it."""
        self.moving = True
        for attempt in self.attempts:
            attempt.link.withdraw(attempt.identifier)

    def withdraw_queued(self, link: AgentLink) -> None:
        """Withdraw the attempts that are still queued at an agent."""
        if self.queued_at() is link:
            self.move()
            return
        for attempt in self.attempts:
            if attempt.link is link and not attempt.started and len(self.attempts) > 1:
                self.attempts.cancel((attempt.identifier,))

    def _next_message(self) -> tuple[AgentLink, Any] | None:
        while True:
            late_ms = self.state.clock.now_ms() - self.call.deadline.at_ms
            remaining_ms = FINAL_ANSWER_GRACE_MS - late_ms
            if remaining_ms <= 0:
                return None
            try:
                return self.channel.get(timeout=min(remaining_ms, HEDGE_CHECK_MS) / 1000)
            except Empty:
                self._hedge_late_start()

    def _start_attempt(self) -> bool:
        """Place and submit attempts until one is sent; return ``False`` if the call has to end."""
        while True:
            if not self._admit():
                return False
            down = self.state.suspects.down_agents()
            placement = self.state.place(self.call, frozenset(self.tried_agents) | down)
            if placement.agent is None and down:
                placement = self.state.place(self.call, frozenset(self.tried_agents))
            if placement.agent is None and self.tried_agents:
                placement = self.state.place(self.call, frozenset())
            if placement.agent is None:
                self.reason = placement.reason
                self.retry_after_ms = placement.retry_after_ms
                return False
            self.attempt_count += 1
            if self._submit(placement.agent):
                return True
            if not self._retry_allowed(Execution.NOT_RUN, 0):
                return False

    def _admit(self) -> bool:
        """Return whether an attempt is allowed after crashes of upstreams."""
        ruling = self.state.suspects.rule(self.original)
        if ruling.verdict in (Verdict.ORDINARY, Verdict.TRY_ALONE):
            return True
        self.reason = ruling.reason
        self.retry_after_ms = ruling.retry_after_ms
        self.refusal_status = refusal_status(ruling, self.execution)
        return False

    def _submit(self, agent: str) -> bool:
        state = self.state
        self.tried_agents.add(agent)
        link = state.table.links.get(agent)
        if link is None:
            return False
        submit = self.call.submit(
            state.next_attempt(), self.call.deadline.remaining_ms(state.clock)
        )
        now_ms = state.clock.now_ms()
        return self.attempts.submit(submit, link, self.call.request_class, now_ms)

    def _hedge_late_start(self) -> None:
        if self.attempts.race.winner is None and self.attempts and not self.moving:
            context = self._hedge_context(None)
            self._hedge(context, self.state.first_token_tail(self.call), self.call)

    def _check_slow_stream(self, attempt: Attempt) -> Iterator[RouteEvent]:
        """Resume a slow buffered response at another agent, or hedge it by total latency."""
        now_ms = self.state.clock.now_ms()
        tokens_per_second = attempt.link.observations.tokens_per_second.value
        if now_ms - attempt.checked_ms < SLOW_STREAM_CHECK_MS or tokens_per_second <= 0:
            return
        attempt.checked_ms = now_ms
        if self.call.request_class in RESUMABLE_CLASSES:
            yield from self._resume_elsewhere(attempt)
            return
        remaining = remaining_tokens(self.call, attempt)
        context = self._hedge_context(
            now_ms - self.started_ms + round(remaining * 1000 / tokens_per_second)
        )
        whole_call = attrs.evolve(self.call, expected_tokens=attempt.tokens + remaining)
        self._hedge(context, self.state.total_tail(self.call), whole_call)

    def _resume_elsewhere(self, attempt: Attempt) -> Iterator[RouteEvent]:
        agent = choose_resume_agent(self.state, self.call, attempt, self.continuations)
        if agent is None or not self._resume_after(attempt):
            return
        self.continuations += 1
        # A part of the call has run, so it can no longer be reported as not run.
        self.execution = weaker_guarantee(self.execution, Execution.FAILED)
        attempt.link.cancel(attempt.identifier)
        self.attempts.discard(attempt)
        self.tried_agents.clear()
        if not self._submit(agent) and not self._start_attempt():
            yield self._fail(503)

    def _hedge_context(self, projected_ms: int | None) -> HedgeContext:
        clock = self.state.clock
        return HedgeContext(
            idempotent=True,
            elapsed_ms=clock.now_ms() - self.started_ms,
            remaining_ms=self.call.deadline.remaining_ms(clock),
            attempts_open=len(self.attempts),
            alternative=None,
            alternative_ms=0,
            projected_ms=projected_ms,
            delivered=self.delivered,
        )

    def _hedge(self, context: HedgeContext, tail: LatencyTail, call: Call) -> None:
        agent = choose_hedge_agent(self.state, call, context, tail, frozenset(self.tried_agents))
        if agent is not None:
            self._submit(agent)

    @singledispatchmethod
    def on_message(self, message: object, link: AgentLink) -> Iterator[RouteEvent]:
        """Handle one message from an agent."""
        raise TypeError(type(message))

    @on_message.register
    def _(self, message: Started, link: AgentLink) -> Iterator[RouteEvent]:
        attempt = self.attempts.get(message.attempt)
        if attempt is not None:
            attempt.started = True
            self.moving = False
        return iter(())

    @on_message.register
    def _(self, message: Piece, link: AgentLink) -> Iterator[RouteEvent]:
        attempt = self.attempts.get(message.attempt)
        if attempt is None:
            return
        added = attempt.assembler.add(message)
        if not isinstance(added, Success):
            link.cancel(message.attempt)
            yield from self._attempt_failed(attempt, Execution.FAILED, added.failure().reason, 0)
            return
        if attempt.assembler.counter.pieces == 1:
            attempt.software = link.software = message.software
            if not self.kept.may_continue(message.software):
                yield from self._refuse_software(attempt)
                return
        self._record_piece(attempt, message)
        if self.call.streamed:
            self.delivered = True
            yield ResponsePart(message.data, message.version, message.tokens)
            return
        yield Progress(message.version, message.tokens, link.member.node)
        # A message in the channel may be the end of the stream, which must not be resumed then.
        if self.attempts.race.winner == attempt.identifier and self.channel.empty():
            yield from self._check_slow_stream(attempt)

    def _refuse_software(self, attempt: Attempt) -> Iterator[RouteEvent]:
        """Drop an attempt whose engine would go on with the text of another software version."""
        attempt.link.cancel(attempt.identifier)
        reason = f"text of software version {self.kept.software!r} goes on at {attempt.software!r}"
        self._begin_anew()
        yield from self._attempt_failed(attempt, Execution.FAILED, reason, 0)

    def _begin_anew(self) -> None:
        """Discard the output of earlier attempts, unless the caller already has a part of it."""
        if not self.delivered:
            self.call = self.kept.discard() or self.call

    def _record_piece(self, attempt: Attempt, message: Piece) -> None:
        state, now_ms = self.state, self.state.clock.now_ms()
        if attempt.assembler.counter.pieces == 1:
            if not self.kept.parts:
                state.first_token_tail(self.call).observe(now_ms - self.started_ms)
            self.attempts.record_first_token(attempt, now_ms)
        attempt.add_tokens(message.version, message.tokens)
        attempt.link.observations.record_progress(attempt.identifier, attempt.tokens, now_ms)

    @on_message.register
    def _(self, message: Finished, link: AgentLink) -> Iterator[RouteEvent]:
        attempt = self.attempts.get(message.attempt)
        if attempt is None:
            return
        if message.execution is not Execution.DONE:
            if message.crashed:
                self.state.suspects.record_crash(self.original, link)
            yield from self._attempt_failed(attempt, message.execution, message.reason, 0)
            return
        complete = attempt.assembler.finish(message)
        if not isinstance(complete, Success):
            reason = complete.failure().reason
            yield from self._attempt_failed(attempt, Execution.FAILED, reason, 0)
            return
        yield from self._complete(attempt, complete.unwrap())

    def _complete(self, attempt: Attempt, complete: CompleteResponse) -> Iterator[RouteEvent]:
        state, now_ms = self.state, self.state.clock.now_ms()
        self.attempts.finish(attempt, now_ms)
        if complete.finished.prompt_tokens > 0:
            prompt_tokens = complete.finished.prompt_tokens
            attempt.link.prefixes.record_completion(self.call.prefix, prompt_tokens, now_ms)
        state.total_tail(self.call).observe(now_ms - self.started_ms)
        state.record_success(self.call)
        agent = attempt.link.member.node
        state.suspects.record_success(self.original, agent)
        state.decisions.done(self.call, agent)
        self.ended = True
        if not self.call.streamed:
            yield ResponsePart(b"".join((*self.kept.parts, complete.body)), -1, 0)
        finished = complete.finished
        yield CallDone(finished.status, finished.headers, self.kept.version_spans(attempt), agent)

    @on_message.register
    def _(self, message: Refused, link: AgentLink) -> Iterator[RouteEvent]:
        attempt = self.attempts.get(message.attempt)
        if attempt is None:
            return
        if self.moving and message.execution is Execution.NOT_RUN:
            yield from self._place_again(attempt)
            return
        yield from self._attempt_failed(
            attempt, message.execution, message.reason, message.retry_after_ms
        )

    def _place_again(self, attempt: Attempt) -> Iterator[RouteEvent]:
        """Place a withdrawn attempt again, without counting it as a failed attempt."""
        self.moving = False
        self.attempts.discard(attempt)
        self.tried_agents.clear()
        self.attempt_count -= 1
        if not self.attempts and not self._start_attempt():
            yield self._fail(503)

    @on_message.register
    def _(self, message: LinkLost, link: AgentLink) -> Iterator[RouteEvent]:
        attempt = self.attempts.get(message.attempt)
        if attempt is None:
            return
        yield from self._attempt_failed(
            attempt, Execution.UNKNOWN, message.reason, 0, agent_lost=True
        )

    def _attempt_failed(
        self,
        attempt: Attempt,
        execution: Execution,
        reason: str,
        retry_after_ms: int,
        agent_lost: bool = False,
    ) -> Iterator[RouteEvent]:
        self.attempts.discard(attempt)
        self.moving = False
        self.execution = weaker_guarantee(self.execution, execution)
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        if self.attempts:
            return
        allowed = self._retry_allowed(execution, retry_after_ms, agent_lost)
        if allowed and self._resume_after(attempt) and self._start_attempt():
            return
        yield self._fail(503 if self.execution is Execution.NOT_RUN else 502)

    def _retry_allowed(
        self, execution: Execution, retry_after_ms: int, agent_lost: bool = False
    ) -> bool:
        failed = FailedAttempt(
            self.attempt_count, execution, self.call.idempotent, retry_after_ms, agent_lost
        )
        return wait_for_retry(self.state, self.call, failed, self.reason, self.tried_agents)

    def _resume_after(self, attempt: Attempt) -> bool:
        """Resume after a broken-off attempt's tokens if possible; return if another may follow."""
        if not attempt.tokens:
            return not self.delivered or bool(self.kept.parts)
        resumed = self.kept.keep(self.call, attempt)
        if resumed is None:
            self.reason = "the response broke off and cannot be resumed"
            if not attempt.software:
                self.reason += ", since its engine names no software version"
            self._begin_anew()
            return not self.delivered
        self.call = resumed
        return True

    def _fail(self, status: int) -> CallFailed:
        self.ended = True
        execution = self.execution
        if status == 504 and self.attempts:
            execution = Execution.UNKNOWN
            self.reason = "deadline passed"
        problem = Problem(
            status,
            "request not completed",
            self.reason,
            execution,
            self.call.request_id,
            self.retry_after_ms or DEFAULT_RETRY_AFTER_MS,
        )
        self.state.decisions.failed(self.call, problem)
        return CallFailed(problem)
