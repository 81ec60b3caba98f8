"""Retries within a budget that is a share of recent successes."""

from __future__ import annotations

import random
from collections import deque

import attrs

from ..outcomes import Execution


@attrs.define
class RetryBudget:
    """Allow extra attempts up to a share of the successes within the window, plus a minimum."""

    share: float = 0.1
    # Lets a quiet entry retry at all; also the only retries left in a total outage.
    minimum: int = 3
    window_ms: int = 10_000
    successes: deque[int] = attrs.field(factory=deque)
    spent: deque[int] = attrs.field(factory=deque)

    def record_success(self, now_ms: int) -> None:
        """Count one completed request."""
        self.successes.append(now_ms)
        self._drop_expired(now_ms)

    def available(self, now_ms: int) -> int:
        """Return how many extra attempts may be made now."""
        self._drop_expired(now_ms)
        return int(self.minimum + self.share * len(self.successes)) - len(self.spent)

    def spend(self, now_ms: int) -> bool:
        """Take one extra attempt from the budget if there is one."""
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
    """Describe the attempt that failed; ``number`` counts from 1."""

    number: int
    execution: Execution
    idempotent: bool
    retry_after_ms: int = 0
    # The agent went away with the attempt, so another attempt replaces work instead of adding it.
    agent_lost: bool = False


@attrs.frozen
class RetryDecision:
    """Tell whether to try again and after which pause."""

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
    """Decide on one more attempt and take it from the budget.

    ``estimate_ms`` is the expected time of the new attempt, ``other_agents`` the number of usable
    agents not tried yet; without any, the agent's own ``Retry-After`` is waited for.
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
