"""Dispatcher that uses the project's placement, retry and hedge decisions."""

from __future__ import annotations

from functools import partial

import attrs

from ..clock import Deadline
from ..outcomes import Execution
from ..prefixes.cache_estimate import CacheReport, PrefixCacheEstimate
from ..routing.candidates import AgentObservations, Candidate, Location, RoutedRequest
from ..routing.hedge import (
    NO_ALTERNATIVE,
    HedgeContext,
    HedgeDecision,
    HedgeRace,
    LatencyTail,
    decide_hedge,
)
from ..routing.move import decide_move
from ..routing.placement import Placement, RoutingCosts, place
from ..routing.resume import RESUMABLE_CLASSES, StreamStatus, decide_resume, is_resume_candidate
from ..routing.retry import FailedAttempt, RetryBudget, decide_retry
from .agents import HEARTBEAT_MS, Attempt, FakeAgent, KeptStream
from .workload import ASSISTANT, LONG, TRAINING, Job, left_tokens
from .world import World

CANCEL_BYTES = 60
MOVE_CHECK_MS = 1_000
MOVED_KINDS = (TRAINING, LONG)
HEDGED_STREAMS = (ASSISTANT,)


@attrs.define(eq=False)
class _Open:
    """Follow one job at its entry."""

    job: Job
    race: HedgeRace = attrs.field(factory=HedgeRace)
    attempts: dict[str, Attempt] = attrs.field(factory=dict)
    tried: frozenset[str] = frozenset()
    sent: int = 0
    estimate_ms: int = 0
    continuations: int = 0
    kept: KeptStream | None = None


class Entry:
    """Hold what one entry knows."""

    def __init__(self, location: Location, agents: list[str]) -> None:
        self.location = location
        self.observations = {name: AgentObservations() for name in agents}
        self.prefixes = {name: PrefixCacheEstimate() for name in agents}
        self.budget = RetryBudget()
        self.tails: dict[str, LatencyTail] = {}
        self.totals: dict[str, LatencyTail] = {}


class OwnDispatcher:
    """Place, retry and hedge by the decision modules; each entry has its own facts."""

    def __init__(self, world: World, costs: RoutingCosts | None = None) -> None:
        self.world = world
        sites = world.deployment.sites
        self.costs = costs or RoutingCosts(
            zone_ms=world.deployment.zone_ms, region_ms=world.deployment.region_ms
        )
        self.states: dict[str, _Open] = {}
        names = list(world.agents)
        self.entries = [
            Entry(Location(f"entry-{site.zone}", site.zone, site.region), names) for site in sites
        ]
        for number, agent in enumerate(world.agents.values()):
            for entry in self.entries:
                agent.listeners.append(partial(self._learn, entry, agent.upstream.name))
            agent.start_heartbeats(number * HEARTBEAT_MS // len(world.agents))
        for number in range(len(self.entries)):
            world.loop.after(MOVE_CHECK_MS, self._move_waiting, number)

    def _learn(self, entry: Entry, agent: str, report: CacheReport) -> None:
        entry.prefixes[agent].apply(report, self.world.loop.clock.now_ms())

    def start(self, job: Job) -> None:
        """Place a new job, or refuse it at once."""
        state = _Open(job)
        placement = self._place(state)
        if placement.agent is None:
            self.world.give_up(job, placement.retry_after_ms)
            return
        state.estimate_ms = placement.estimate_ms
        self._send(state, placement.agent)
        if job.idempotent:
            self._check_hedge(state)

    def refused(self, attempt: Attempt, reason: str, retry_after_ms: int) -> None:
        """Retry a refused attempt elsewhere, or give up when it was the last one."""
        state = self.states.pop(attempt.name, None)
        if state is None:
            return
        self._drop(state, attempt)
        if state.job.done or not state.race.failed(attempt.name):
            return
        job = state.job
        entry = self.entries[job.entry]
        now_ms = self.world.loop.clock.now_ms()
        decision = decide_retry(
            FailedAttempt(state.sent, Execution.NOT_RUN, job.idempotent, retry_after_ms),
            remaining_ms=job.deadline_ms - now_ms,
            estimate_ms=state.estimate_ms,
            other_agents=len(self.world.pools[job.kind.pool]) - len(state.tried),
            budget=entry.budget,
            now_ms=now_ms,
            rng=self.world.rng,
        )
        if not decision.retry:
            self.world.give_up(job, retry_after_ms)
            return
        self.world.measures.counts["retries"] += 1
        self.world.loop.after(decision.wait_ms, self._retry, state)

    def first_token(self, attempt: Attempt) -> None:
        """Settle the race and cancel the loser."""
        state = self.states.get(attempt.name)
        if state is None:
            return
        job = state.job
        entry = self.entries[job.entry]
        now_ms = self.world.loop.clock.now_ms()
        entry.observations[attempt.agent].record_first_token(attempt.name, now_ms)
        if not attempt.kept_tokens:
            tail = entry.tails.setdefault(job.kind.name, LatencyTail())
            tail.observe(now_ms - job.arrived_ms)
        for loser in state.race.first_token(attempt.name).cancel:
            self._cancel(state, state.attempts[loser])

    def withdrawn(self, attempt: Attempt) -> None:
        """Place an attempt again that was given back before it started."""
        state = self.states.pop(attempt.name, None)
        if state is None:
            return
        self._drop(state, attempt)
        if state.job.done or not state.race.failed(attempt.name):
            return
        state.tried = frozenset()
        self.world.measures.counts["moves"] += 1
        self._retry(state)

    def progress(self, attempt: Attempt, tokens: int) -> None:
        """Learn the speed of the agent's streams."""
        state = self.states.get(attempt.name)
        if state is None:
            return
        seen = self.entries[attempt.job.entry].observations[attempt.agent]
        seen.record_progress(attempt.name, tokens, self.world.loop.clock.now_ms())
        speed = seen.tokens_per_second.value
        if state.race.winner != attempt.name:
            return
        if attempt.job.request_class in RESUMABLE_CLASSES:
            self._check_resume(state, attempt, tokens, speed)
        elif attempt.job.kind in HEDGED_STREAMS:
            self._check_slow_stream(state, tokens, speed)

    def finished(self, attempt: Attempt) -> None:
        """Complete the job."""
        state = self.states.pop(attempt.name, None)
        if state is None:
            return
        job = state.job
        entry = self.entries[job.entry]
        now_ms = self.world.loop.clock.now_ms()
        for loser in state.race.finished(attempt.name).cancel:
            self._cancel(state, state.attempts[loser])
        entry.totals.setdefault(job.kind.name, LatencyTail()).observe(now_ms - job.arrived_ms)
        prefix = job.prefix.encode()
        entry.prefixes[attempt.agent].record_completion(prefix, job.kind.prompt_tokens, now_ms)
        tokens = max(0, job.tokens - attempt.kept_tokens)
        entry.observations[attempt.agent].record_finished(attempt.name, tokens, now_ms)
        entry.budget.record_success(now_ms)
        self.world.complete(state.job, attempt)

    def candidates(self, job: Job) -> list[Candidate]:
        """Return the facts of all agents that serve the job, as its entry knows them."""
        entry = self.entries[job.entry]
        now_ms = self.world.loop.clock.now_ms()
        return [self._facts(entry, job, agent, now_ms) for agent in self.world.pools[job.kind.pool]]

    def _facts(self, entry: Entry, job: Job, agent: FakeAgent, now_ms: int) -> Candidate:
        name = agent.upstream.name
        seen = entry.observations[name]
        cached = entry.prefixes[name].cached(job.prefix.encode(), now_ms)
        return Candidate(
            agent=name,
            zone=agent.upstream.zone,
            region=agent.upstream.region,
            load=agent.report,
            report_received_ms=agent.reported_ms,
            local_in_flight=len(seen.attempts),
            sent_since_report=seen.sent_since(agent.reported_ms),
            cached_tokens=cached.tokens,
            cached_age_ms=cached.age_ms,
            local_observations=seen.summary(job.request_class, now_ms),
        )

    def _move_waiting(self, number: int) -> None:
        """Withdraw the last work sent to each agent that would start much earlier elsewhere."""
        last: dict[tuple[str, str], _Open] = {}
        for state in self.states.values():
            if state.job.entry != number or state.race.winner is not None:
                continue
            if state.job.kind in MOVED_KINDS and len(state.race.open_attempts) == 1:
                agent = state.attempts[state.race.open_attempts[0]].agent
                last[(state.job.kind.name, agent)] = state
        for (_, agent), state in last.items():
            self._move(state, agent)
        self.world.loop.after(MOVE_CHECK_MS, self._move_waiting, number)

    def _move(self, state: _Open, agent_name: str) -> None:
        job = state.job
        location = self.entries[job.entry].location
        now_ms = self.world.loop.clock.now_ms()
        request = attrs.evolve(self._request(state), excluded=frozenset())
        candidates = self.candidates(job)
        decision = decide_move(request, agent_name, candidates, location, now_ms, self.costs)
        if decision.agent is None:
            return
        attempt = state.attempts[state.race.open_attempts[0]]
        self._count_cancel(2)
        self.world.loop.after(attempt.hop_ms, self.world.agents[agent_name].withdraw, attempt)

    def _count_cancel(self, messages: int) -> None:
        self.world.count_control(messages, messages * CANCEL_BYTES)

    def _place(self, state: _Open, tokens: int | None = None) -> Placement:
        return place(
            self._request(state, tokens),
            self.candidates(state.job),
            self.entries[state.job.entry].location,
            self.world.loop.clock.now_ms(),
            self.world.rng,
            self.costs,
        )

    def _request(self, state: _Open, tokens: int | None = None) -> RoutedRequest:
        job = state.job
        return RoutedRequest(
            request_id=job.name,
            request_class=job.request_class,
            deadline=Deadline(job.deadline_ms),
            expected_tokens=job.kind.mean_tokens if tokens is None else tokens,
            prompt_tokens=job.kind.prompt_tokens,
            transfer_bytes=job.transfer_bytes,
            idempotent=job.idempotent,
            excluded=state.tried,
            prefix=job.prefix.encode(),
        )

    def _send(self, state: _Open, agent_name: str) -> None:
        state.sent += 1
        state.tried |= {agent_name}
        job = state.job
        agent = self.world.agents[agent_name]
        name = f"{job.name}#{state.sent}"
        attempt = Attempt(name, job, agent_name, self, self.world.hop_ms(job.entry, agent))
        attempt.kept = state.kept
        state.attempts[name] = attempt
        state.race.start(name)
        self.states[name] = state
        entry = self.entries[job.entry]
        entry.observations[agent_name].record_sent(
            name, job.request_class, self.world.loop.clock.now_ms()
        )
        self.world.send(attempt)

    def _retry(self, state: _Open) -> None:
        placement = self._place(state)
        if placement.agent is None:
            self.world.give_up(state.job, placement.retry_after_ms)
            return
        self._send(state, placement.agent)

    def _cancel(self, state: _Open, attempt: Attempt) -> None:
        self.states.pop(attempt.name, None)
        self._drop(state, attempt)
        self._count_cancel(1)
        agent = self.world.agents[attempt.agent]
        self.world.loop.after(attempt.hop_ms, agent.cancel, attempt)

    def _drop(self, state: _Open, attempt: Attempt) -> None:
        entry = self.entries[state.job.entry]
        entry.observations[attempt.agent].discard(attempt.name)

    def _check_hedge(self, state: _Open) -> None:
        job = state.job
        if job.done or state.race.winner is not None:
            return
        tail = self.entries[job.entry].tails.setdefault(job.kind.name, LatencyTail())
        facts = self._hedge_facts(state)
        checked = self._hedge(state, facts, tail, job.kind.mean_tokens)
        if checked.check_again_ms is not None:
            self.world.loop.after(checked.check_again_ms, self._check_hedge, state)

    def _check_slow_stream(self, state: _Open, tokens: int, speed: float) -> None:
        if speed <= 0:
            return
        left = left_tokens(state.job, tokens)
        facts = self._hedge_facts(state)
        projected_ms = round(facts.elapsed_ms + left * 1_000 / speed)
        tail = self.entries[state.job.entry].totals.setdefault(state.job.kind.name, LatencyTail())
        facts = attrs.evolve(facts, projected_ms=projected_ms)
        self._hedge(state, facts, tail, tokens + left)

    def _check_resume(self, state: _Open, attempt: Attempt, tokens: int, speed: float) -> None:
        whole = attempt.kept_tokens + tokens
        facts = StreamStatus(whole, left_tokens(state.job, whole), speed, state.continuations)
        if not is_resume_candidate(facts):
            return
        # Placement costs time, so that the cheap conditions come first.
        state.tried = frozenset({attempt.agent})
        placement = self._place(state, facts.left_tokens)
        facts = attrs.evolve(
            facts,
            alternative=placement.agent,
            alternative_ms=placement.estimate_ms,
            alternative_wait_ms=placement.wait_ms,
        )
        decision = decide_resume(facts)
        if decision.agent is not None:
            self._continue_at(state, attempt, whole, decision.agent)

    def _continue_at(self, state: _Open, attempt: Attempt, tokens: int, agent: str) -> None:
        state.kept = KeptStream(tokens, attempt.first_started_ms, attempt.version)
        state.continuations += 1
        self.world.measures.counts["continued"] += 1
        state.race.failed(attempt.name)
        self._cancel(state, attempt)
        self._send(state, agent)

    def _hedge_facts(self, state: _Open) -> HedgeContext:
        job = state.job
        now_ms = self.world.loop.clock.now_ms()
        return HedgeContext(
            idempotent=job.idempotent,
            elapsed_ms=now_ms - job.arrived_ms,
            remaining_ms=job.deadline_ms - now_ms,
            attempts_open=len(state.race.open_attempts),
            alternative=None,
            alternative_ms=0,
        )

    def _hedge(
        self, state: _Open, facts: HedgeContext, tail: LatencyTail, tokens: int
    ) -> HedgeDecision:
        entry = self.entries[state.job.entry]
        now_ms = self.world.loop.clock.now_ms()
        decision = decide_hedge(facts, tail, entry.budget, now_ms)
        if decision.reason != NO_ALTERNATIVE:
            return decision
        # Placement costs time, so that the cheap conditions come first.
        placement = self._place(state, tokens)
        facts = attrs.evolve(
            facts, alternative=placement.agent, alternative_ms=placement.estimate_ms
        )
        decision = decide_hedge(facts, tail, entry.budget, now_ms)
        if decision.agent is not None:
            self.world.measures.counts["hedges"] += 1
            self._send(state, decision.agent)
        return decision
