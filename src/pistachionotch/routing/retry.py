"""Retries, limited by a budget that is a share of recent successes."""

from __future__ import annotations

import random
from collections import deque

import attrs

from ..outcomes import Execution


@attrs.define
class RetryBudget:
    """Limit of extra attempts: a share of the successes within a sliding window, plus a minimum."""

    share: float = 0.1
    # Allows retries at an entry with little traffic; in a total outage, no others are allowed.
    minimum: int = 3
    window_ms: int = 10_000
    successes: deque[int] = attrs.field(factory=deque)
    spent: deque[int] = attrs.field(factory=deque)

    def record_success(self, now_ms: int) -> None:
        """Record one completed request."""
        self.successes.append(now_ms)
        self._drop_expired(now_ms)

    def available(self, now_ms: int) -> int:
        """Return the number of extra attempts that the budget allows now."""
        self._drop_expired(now_ms)
        return int(self.minimum + self.share * len(self.successes)) - len(self.spent)

    def spend(self, now_ms: int) -> bool:
        """Charge one extra attempt to the budget; return False if the budget is exhausted."""
        if self.available(now_ms) <= 0:
            return False
        self.spent.append(now_ms)
        return True

    def _drop_expired(self, now_ms: int) -> None:
        for times in (self.successes, self.spent):
            while times and times[0] <= now_ms - self.window_ms:
                times.popleft()


@attrs.frozen
class FailedAttempt:
    """A failed attempt; ``number`` counts the attempts of its request from 1."""

    number: int
    execution: Execution
    idempotent: bool
    retry_after_ms: int = 0
    # The agent was lost together with the attempt, so a retry replaces load instead of adding to it
    # and is not charged to the budget.
    agent_lost: bool = False


@attrs.frozen
class RetryDecision:
    """Whether to retry, and after which delay."""

    retry: bool
    reason: str
    wait_ms: int = 0


MAX_ATTEMPTS = 4
BACKOFF_MS = 20


def decide_retry(
    failed: FailedAttempt,
    remaining_ms: int,
    estimate_ms: int,
    other_agents: int,
    budget: RetryBudget,
    now_ms: int,
    rng: random.Random,
) -> RetryDecision:
    """Decide whether to retry a failed attempt, and charge the retry to the budget.

    ``estimate_ms`` is the expected duration of the retry, ``other_agents`` the number of usable
    agents that were not tried yet. If there is none, the retry waits for the failed agent's
    ``Retry-After``.
    """
    if not failed.idempotent and failed.execution is not Execution.NOT_RUN:
        return RetryDecision(False, f"not idempotent and its execution is {failed.execution}")
    if failed.number >= MAX_ATTEMPTS:
        return RetryDecision(False, f"already attempted {failed.number} times")
    wait_ms = rng.randrange(BACKOFF_MS * 2 ** (failed.number - 1))
    if not other_agents:
        wait_ms += failed.retry_after_ms
    if wait_ms + estimate_ms >= remaining_ms:
        return RetryDecision(False, f"{remaining_ms} ms left do not suffice for another attempt")
    if not failed.agent_lost and not budget.spend(now_ms):
        return RetryDecision(False, "retry budget is spent")
    return RetryDecision(True, f"attempt {failed.number + 1} within the budget", wait_ms)
