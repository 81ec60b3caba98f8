"""Routing of idempotent calls: placement, retries, hedges and resumed streams."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from functools import singledispatchmethod
from typing import Any

import attrs
from gevent.queue import Empty, Queue
from returns.result import Success

from ..clock import Clock
from ..outcomes import Execution, Problem, RequestClass
from ..routing.facts import Location
from ..routing.hedge import HedgeFacts, LatencyTail, decide_hedge
from ..routing.place import Placement, RoutingCosts, place
from ..routing.retry import FailedAttempt, RetryBudget, decide_retry
from ..samples.spans import VersionSpan, merge_spans
from ..wire.assembly import Assembler
from ..wire.messages import Finished, Piece, Refused, Started
from .calls import Call, CallDone, CallFailed, Delivered, RouteEvent, graver
from .decisions import DecisionLog
from .links import AgentLink, LinkLost
from .table import LinkTable

# The agent reports an expired attempt at its deadline; its answer is truer than the entry's guess.
FINAL_ANSWER_GRACE_MS = 150
HEDGE_CHECK_MS = 50
DEFAULT_RETRY_AFTER_MS = 1000


@attrs.define
class RoutingState:
    """Hold what the routing of all calls of one entry shares."""

    table: LinkTable
    clock: Clock
    here: Location
    rng: random.Random
    decisions: DecisionLog
    costs: RoutingCosts = attrs.field(factory=RoutingCosts)
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    tails: dict[tuple[str, RequestClass], LatencyTail] = attrs.field(factory=dict)
    attempt_prefix: str = ""
    attempt_numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def next_attempt(self) -> str:
        """Return an attempt id that no other attempt of this entry incarnation has."""
        return f"{self.attempt_prefix}-{next(self.attempt_numbers)}"

    def tail(self, call: Call) -> LatencyTail:
        """Return the recent times to first token of calls like this one."""
        return self.tails.setdefault((call.target, call.request_class), LatencyTail())

    def place(self, call: Call, excluded: frozenset[str]) -> Placement:
        """Place one attempt and log the decision."""
        placement = place(
            call.routed(excluded),
            self.table.candidates(call.request_class),
            self.here,
            self.clock.now_ms(),
            self.rng,
            self.costs,
        )
        self.decisions.placed(call, placement)
        return placement


@attrs.define
class _Attempt:
    identifier: str
    link: AgentLink
    assembler: Assembler
    started: bool = False


@attrs.define
class RoutedCall:
    """Route one idempotent call until it ends."""

    state: RoutingState
    call: Call
    channel: Queue = attrs.field(factory=Queue)
    attempts: dict[str, _Attempt] = attrs.field(factory=dict)
    tried: set[str] = attrs.field(factory=set)
    number: int = 0
    execution: Execution = Execution.NOT_RUN
    reason: str = "no attempt was made"
    retry_after_ms: int = 0
    winner: str | None = None
    delivered: list[bytes] = attrs.field(factory=list)
    delivered_tokens: int = 0
    spans: tuple[VersionSpan, ...] = ()
    submitted_ms: int = 0
    alternatives: tuple[str, ...] = ()
    ended: bool = False

    def run(self) -> Iterator[RouteEvent]:
        """Yield the parts of the response and one final event."""
        self.submitted_ms = self.state.clock.now_ms()
        try:
            if not self._start_attempt():
                yield self._failed(503)
                return
            while not self.ended:
                event = self._next_message()
                if event is None:
                    yield self._failed(504)
                    return
                link, message = event
                yield from self.on_message(message, link)
        finally:
            self._cancel_all()

    def _next_message(self) -> tuple[AgentLink, Any] | None:
        while True:
            left_ms = self.call.deadline.remaining_ms(self.state.clock) + FINAL_ANSWER_GRACE_MS
            if self.call.deadline.expired(self.state.clock):
                left_ms = self._grace_left_ms()
            if left_ms <= 0:
                return None
            try:
                return self.channel.get(timeout=min(left_ms, self._wait_ms()) / 1000)
            except Empty:
                self._maybe_hedge()

    def _grace_left_ms(self) -> int:
        late_ms = self.state.clock.now_ms() - self.call.deadline.at_ms
        return FINAL_ANSWER_GRACE_MS - late_ms

    def _wait_ms(self) -> int:
        return HEDGE_CHECK_MS if self.winner is None else FINAL_ANSWER_GRACE_MS

    def _start_attempt(self) -> bool:
        """Place and submit attempts until one was written; false ends the call."""
        while True:
            placement = self.state.place(self.call, frozenset(self.tried))
            if placement.agent is None and self.tried:
                placement = self.state.place(self.call, frozenset())
            if placement.agent is None:
                self.reason = placement.reason
                self.retry_after_ms = placement.retry_after_ms
                return False
            self.number += 1
            self.alternatives = placement.alternatives
            self.tried.add(placement.agent)
            if self._submit(placement.agent):
                return True
            if not self._retry_allowed(Execution.NOT_RUN, 0):
                return False

    def _submit(self, agent: str) -> bool:
        state = self.state
        link = state.table.links.get(agent)
        if link is None:
            return False
        identifier = state.next_attempt()
        submit = self.call.submit(identifier, self.call.deadline.remaining_ms(state.clock))
        if not link.submit(submit, self.channel):
            return False
        self.attempts[identifier] = _Attempt(identifier, link, Assembler(identifier))
        link.observations.sent(identifier, self.call.request_class, state.clock.now_ms())
        return True

    def _maybe_hedge(self) -> None:
        if self.winner is not None or not self.attempts:
            return
        state = self.state
        untried = [agent for agent in self.alternatives if agent not in self.tried]
        facts = HedgeFacts(
            idempotent=self.call.idempotent,
            elapsed_ms=state.clock.now_ms() - self.submitted_ms,
            remaining_ms=self.call.deadline.remaining_ms(state.clock),
            first_token_seen=False,
            attempts_open=len(self.attempts),
            alternative=untried[0] if untried else None,
            alternative_ms=0,
        )
        decision = decide_hedge(facts, state.tail(self.call), state.budget, state.clock.now_ms())
        if decision.agent is None:
            return
        state.decisions.hedged(self.call, decision.agent, decision.reason)
        self.tried.add(decision.agent)
        self._submit(decision.agent)

    @singledispatchmethod
    def on_message(self, message: object, link: AgentLink) -> Iterator[RouteEvent]:
        """Act on one message of an agent."""
        raise TypeError(type(message))

    @on_message.register
    def _(self, message: Started, link: AgentLink) -> Iterator[RouteEvent]:
        attempt = self.attempts.get(message.attempt)
        if attempt is not None:
            attempt.started = True
        return iter(())

    @on_message.register
    def _(self, message: Piece, link: AgentLink) -> Iterator[RouteEvent]:
        attempt = self.attempts.get(message.attempt)
        if attempt is None:
            return
        if self.winner is None:
            self._win(attempt)
        added = attempt.assembler.add(message)
        if not isinstance(added, Success):
            link.cancel(message.attempt)
            yield from self._attempt_failed(attempt, Execution.FAILED, added.failure().reason, 0)
            return
        self.delivered.append(message.data)
        self.delivered_tokens += message.tokens
        if message.tokens:
            span = VersionSpan(message.version, message.tokens)
            self.spans = merge_spans((*self.spans, span))
        yield Delivered(message.data, message.version, message.tokens)

    def _win(self, attempt: _Attempt) -> None:
        state = self.state
        self.winner = attempt.identifier
        now_ms = state.clock.now_ms()
        state.tail(self.call).observe(now_ms - self.submitted_ms)
        attempt.link.observations.first_token(attempt.identifier, now_ms)
        for identifier, other in list(self.attempts.items()):
            if identifier == attempt.identifier:
                continue
            self._drop(other)

    def _drop(self, attempt: _Attempt) -> None:
        del self.attempts[attempt.identifier]
        attempt.link.cancel(attempt.identifier)
        attempt.link.observations.dropped(attempt.identifier)

    @on_message.register
    def _(self, message: Finished, link: AgentLink) -> Iterator[RouteEvent]:
        attempt = self.attempts.get(message.attempt)
        if attempt is None:
            return
        if message.execution is not Execution.DONE:
            yield from self._attempt_failed(attempt, message.execution, message.reason, 0)
            return
        complete = attempt.assembler.finish(message)
        if not isinstance(complete, Success):
            reason = complete.failure().reason
            yield from self._attempt_failed(attempt, Execution.FAILED, reason, 0)
            return
        state = self.state
        if self.winner is None:
            self._win(attempt)
        del self.attempts[attempt.identifier]
        tokens = sum(span.tokens for span in message.spans)
        link.observations.finished(attempt.identifier, tokens, state.clock.now_ms())
        state.budget.record_success(state.clock.now_ms())
        state.decisions.done(self.call, link.member.node)
        self.ended = True
        yield CallDone(message.status, message.headers, self._labels(), link.member.node)

    def _labels(self) -> tuple[VersionSpan, ...]:
        if any(span.version < 0 for span in self.spans):
            return ()
        return self.spans

    @on_message.register
    def _(self, message: Refused, link: AgentLink) -> Iterator[RouteEvent]:
        attempt = self.attempts.get(message.attempt)
        if attempt is None:
            return
        yield from self._attempt_failed(
            attempt, message.execution, message.reason, message.retry_after_ms
        )

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
        attempt: _Attempt,
        execution: Execution,
        reason: str,
        retry_after_ms: int,
        agent_lost: bool = False,
    ) -> Iterator[RouteEvent]:
        self.attempts.pop(attempt.identifier, None)
        attempt.link.observations.dropped(attempt.identifier)
        self.execution = graver(self.execution, execution)
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        if self.attempts:
            return
        if not self._retry_allowed(execution, retry_after_ms, agent_lost):
            yield self._failed(503 if self.execution is Execution.NOT_RUN else 502)
            return
        if not self._resume():
            yield self._failed(502)
            return
        if not self._start_attempt():
            yield self._failed(503 if self.execution is Execution.NOT_RUN else 502)

    def _retry_allowed(
        self, execution: Execution, retry_after_ms: int, agent_lost: bool = False
    ) -> bool:
        state = self.state
        untried = [link for link in state.table.ready() if link.member.node not in self.tried]
        serving = [link for link in untried if self.call.target in link.member.models]
        decision = decide_retry(
            FailedAttempt(self.number, execution, self.call.idempotent, retry_after_ms, agent_lost),
            self.call.deadline.remaining_ms(state.clock),
            0,
            len(serving),
            state.budget,
            state.clock.now_ms(),
            state.rng,
        )
        state.decisions.retried(self.call, self.reason, decision)
        if decision.retry:
            state.clock.sleep_ms(decision.wait_ms)
        return decision.retry

    def _resume(self) -> bool:
        """Prepare the call to go on after what was already delivered."""
        self.winner = None
        if not self.delivered:
            return True
        resumed = self.call.resumed(b"".join(self.delivered), self.delivered_tokens)
        if resumed is None:
            self.reason = "the response broke off and cannot be resumed"
            return False
        self.call = resumed
        self.delivered = []
        self.delivered_tokens = 0
        return True

    def _failed(self, status: int) -> CallFailed:
        self.ended = True
        execution = self.execution
        if status == 504 and self.attempts:
            execution = Execution.UNKNOWN
            self.reason = "deadline passed"
        retry_after_ms = self.retry_after_ms or DEFAULT_RETRY_AFTER_MS
        problem = Problem(
            status,
            "request not completed",
            self.reason,
            execution,
            self.call.request_id,
            retry_after_ms,
        )
        self.state.decisions.failed(self.call, problem)
        return CallFailed(problem)

    def _cancel_all(self) -> None:
        for attempt in list(self.attempts.values()):
            self._drop(attempt)
