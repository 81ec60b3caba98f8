"""State that the routing of all calls of one entry shares."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from typing import Protocol

import attrs

from ..clock import Clock
from ..config.schema import Hedging
from ..logs import logger
from ..outcomes import RequestClass
from ..routing.candidates import Location
from ..routing.hedge import LatencyTail
from ..routing.placement import Placement, RoutingCosts, place
from ..routing.retry import RetryBudget
from .calls import Call
from .decisions import DecisionLog
from .links import AgentLink
from .suspects import EntrySuspects
from .table import LinkTable


class OpenCall(Protocol):
    """A call that has not ended yet."""

    def withdraw_queued(self, link: AgentLink) -> None:
        """Withdraw the attempts that are still queued at an agent."""


LatencyTails = dict[tuple[str, RequestClass], LatencyTail]


@attrs.define
class RoutingState:
    """Holds the links, retry and hedge budgets, recent latencies and open calls of an entry."""

    table: LinkTable
    clock: Clock
    location: Location
    rng: random.Random
    decisions: DecisionLog
    costs: RoutingCosts = attrs.field(factory=RoutingCosts)
    retry_budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    hedge_budgets: dict[RequestClass, RetryBudget] = attrs.field(factory=dict)
    first_token_tails: LatencyTails = attrs.field(factory=dict)
    total_tails: LatencyTails = attrs.field(factory=dict)
    attempt_prefix: str = ""
    attempt_numbers: Iterator[int] = attrs.field(factory=itertools.count)
    # Calls that may be queued at an agent, by object id, in the order in which they started.
    open_calls: dict[int, OpenCall] = attrs.field(factory=dict)
    suspects: EntrySuspects = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.table.on_leaving = self.withdraw_queued
        self.suspects = EntrySuspects(self.clock, self.table, logger("suspects"))

    def withdraw_queued(self, link: AgentLink) -> None:
        """Withdraw all work that is queued at an agent whose VM is leaving."""
        for call in list(self.open_calls.values()):
            call.withdraw_queued(link)

    def next_attempt(self) -> str:
        """Return an attempt id that is unique within this entry incarnation."""
        return f"{self.attempt_prefix}-{next(self.attempt_numbers)}"

    def retry_budget(self, call: Call) -> RetryBudget:
        """Return the retry budget of the call's target."""
        budget = self.retry_budgets.setdefault(call.target, RetryBudget())
        budget.share = self.table.policy.retry_share(call.target)
        return budget

    def hedge_budget(self, call: Call, hedging: Hedging) -> RetryBudget:
        """Return the hedge budget of the call's class."""
        budget = self.hedge_budgets.setdefault(call.request_class, RetryBudget())
        budget.share = hedging.budget
        return budget

    def record_success(self, call: Call) -> None:
        """Credit a complete response to the retry and hedge budgets."""
        now_ms = self.clock.now_ms()
        self.retry_budget(call).record_success(now_ms)
        hedging = self.table.policy.hedging(call.request_class)
        if hedging is not None:
            self.hedge_budget(call, hedging).record_success(now_ms)

    def first_token_tail(self, call: Call) -> LatencyTail:
        """Return recent times to first token for the call's target and class."""
        return self.first_token_tails.setdefault(_latency_key(call), LatencyTail())

    def total_tail(self, call: Call) -> LatencyTail:
        """Return recent total latencies for the call's target and class."""
        return self.total_tails.setdefault(_latency_key(call), LatencyTail())

    def preview_placement(self, call: Call, excluded: frozenset[str]) -> Placement:
        """Return where an attempt would be placed, without logging a decision."""
        return place(
            call.routed(excluded),
            self.table.candidates(call.request_class, call.prefix),
            self.location,
            self.clock.now_ms(),
            self.rng,
            self.costs,
        )

    def place(self, call: Call, excluded: frozenset[str]) -> Placement:
        """Place one attempt and log the decision."""
        placement = self.preview_placement(call, excluded)
        self.decisions.placed(call, placement)
        return placement


def _latency_key(call: Call) -> tuple[str, RequestClass]:
    return (call.target, call.request_class)
