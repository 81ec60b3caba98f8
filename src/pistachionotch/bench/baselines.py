"""Baseline dispatchers: round robin, least outstanding by lagged reports, two random choices."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from ..clock import ManualClock
from .agents import HEARTBEAT_MS, Attempt, FakeAgent, FifoQueue
from .upstreams import FakeUpstream
from .workload import Job
from .world import World

Chooser = Callable[["BaselineDispatcher", Job, Sequence[FakeAgent]], FakeAgent]


class BaselineDispatcher:
    """Send each job once to the agent that ``choose`` names."""

    def __init__(self, world: World, choose: Chooser) -> None:
        self.world = world
        self.choose = choose
        self.turns: Counter[tuple[int, str]] = Counter()
        self.open_here: Counter[tuple[int, str]] = Counter()
        for number, agent in enumerate(world.agents.values()):
            agent.start_heartbeats(number * HEARTBEAT_MS // len(world.agents))

    def start(self, job: Job) -> None:
        """Choose and send."""
        agent = self.choose(self, job, self.world.pools[job.kind.pool])
        self.open_here[(job.entry, agent.upstream.name)] += 1
        hop_ms = self.world.hop_ms(job.entry, agent)
        self.world.send(Attempt(job.name, job, agent.upstream.name, self, hop_ms))

    def refused(self, attempt: Attempt, reason: str, retry_after_ms: int) -> None:
        """Give up; the first-come queues of the baselines refuse nothing."""
        self.open_here[(attempt.job.entry, attempt.agent)] -= 1
        self.world.give_up(attempt.job, retry_after_ms)

    def first_token(self, attempt: Attempt) -> None:
        """Ignore first tokens."""

    def withdrawn(self, attempt: Attempt) -> None:
        """Ignore withdrawals; nothing is withdrawn."""

    def progress(self, attempt: Attempt, tokens: int) -> None:
        """Ignore progress."""

    def finished(self, attempt: Attempt) -> None:
        """Complete the job."""
        self.open_here[(attempt.job.entry, attempt.agent)] -= 1
        self.world.complete(attempt.job, attempt)


def make_fifo(clock: ManualClock, upstream: FakeUpstream) -> FifoQueue:
    """Create the queue of the baselines."""
    return FifoQueue(upstream.slots)


def round_robin(state: BaselineDispatcher, job: Job, agents: Sequence[FakeAgent]) -> FakeAgent:
    """Take turns, each entry for itself."""
    key = (job.entry, job.kind.pool)
    state.turns[key] += 1
    return agents[state.turns[key] % len(agents)]


def least_outstanding(
    state: BaselineDispatcher, job: Job, agents: Sequence[FakeAgent]
) -> FakeAgent:
    """Choose the least queued and running work in the last report, ties at random."""
    loads = [agent.report.total_queued() + agent.report.total_running() for agent in agents]
    least = min(loads)
    tied = [agent for agent, load in zip(agents, loads, strict=True) if load == least]
    return state.world.rng.choice(tied)


def two_choices(state: BaselineDispatcher, job: Job, agents: Sequence[FakeAgent]) -> FakeAgent:
    """Choose the one of two random agents with less work from this entry."""
    first, second = state.world.rng.sample(list(agents), 2)
    first_open = state.open_here[(job.entry, first.upstream.name)]
    second_open = state.open_here[(job.entry, second.upstream.name)]
    return first if first_open <= second_open else second
