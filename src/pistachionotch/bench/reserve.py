"""Trial of reservations at two agents: the first grant wins and the other is dropped (2SYN)."""

from __future__ import annotations

from .agents import Attempt
from .own import CANCEL_BYTES, OpenJob, OwnDispatcher
from .workload import Job
from .world import SUBMIT_BYTES

RESERVE_BYTES = 120


class ReservingDispatcher(OwnDispatcher):
    """Queue a reservation at the two best agents and submit the work on the first grant."""

    def start(self, job: Job) -> None:
        """Reserve at the best two agents, or refuse at once."""
        state = OpenJob(job)
        placement = self._place(state)
        if placement.agent is None:
            self.world.give_up(job, placement.retry_after_ms)
            return
        state.estimate_ms = placement.estimate_ms
        for agent in (placement.agent, *placement.alternatives[:1]):
            self._reserve(state, agent)
        if job.idempotent:
            self._check_hedge(state)

    def granted(self, attempt: Attempt) -> None:
        """Submit on the first grant and drop the other reservation."""
        state = self.states.get(attempt.name)
        if state is None:
            return
        for other in [name for name in state.race.open_attempts if name != attempt.name]:
            state.race.open_attempts.remove(other)
            self._cancel(state, state.attempts[other])
        agent = self.world.agents[attempt.agent]
        self.world.count_control(1, SUBMIT_BYTES)
        self.world.count_transfer(attempt)
        if attempt.job.prefix:
            self.entries[attempt.job.entry].remember_prefix(attempt.agent, attempt.job.prefix)
        self.world.loop.after(attempt.hop_ms, agent.start_granted, attempt)

    def _reserve(self, state: OpenJob, agent_name: str) -> None:
        attempt = self._new_attempt(state, agent_name)
        attempt.reserved = True
        # The grant is one message as well.
        self.world.count_control(2, RESERVE_BYTES + CANCEL_BYTES)
        agent = self.world.agents[agent_name]
        self.world.loop.after(attempt.hop_ms, agent.submit, attempt)
