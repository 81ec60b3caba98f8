"""Admission of calls by account when a service is nearly full; does no I/O.

Load pattern: accounts with very different numbers of requests (81 of them with a Zipf skew of 1.2)
ask a service for half as much again as it can serve, through many gateways. Each gateway sees a
part of an account's calls, often less than one at a time, and learns the numbers of the whole fleet
about a second late. Single calls last some tens of milliseconds, so numbers of that age tell what
an account asks for, and not whether a slot is free now. Therefore the fleet's numbers only decide
which part of an account's calls is within its share. Whether there is room for calls beyond it is
decided by the upstreams' own rejections, which each gateway sees at once.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from itertools import accumulate
from typing import Protocol

import attrs

from ..clock import Clock
from .call_precedence import ArrivingCall, CallPrecedence

# A share is kept for each account with demand, whatever its priority: this part of an equal
# division of the slots. An account of the lowest priority thus always makes progress.
PROGRESS_SHARE = 0.25
# Precedence of a returned call for each refusal, in calls that its account may still send.
PRECEDENCE_STEP = 0.5
# Credits of an account that sends nothing for this long are dropped.
CREDIT_MEMORY_MS = 10_000
# Bound on the credit that an account's calls collect while returned calls go first.
MAX_CREDIT = 2.0
# A rejection by an upstream multiplies the part of the calls beyond their account's share that is
# let through; it grows back to all of them within RECOVERY_MS. Rejections of the same moment count
# once. The bounds were weighed in docs/design/fair-sharing.md.
FULL_FACTOR = 0.7
FULL_INTERVAL_MS = 20
RECOVERY_MS = 500
# Delay before a refused call should return if its account asks for no more than its share.
BUSY_RETRY_MS = 250
# The delay grows with the account's excess up to this factor and is jittered by half of itself.
MAX_RETRY_FACTOR = 3.0
RETRY_JITTER = 0.5
# Shortest delay, of sessions that were refused often.
MIN_RETRY_MS = 60
# Shares are computed anew at most this often, and less often with thousands of accounts, so that it
# takes at most a part of 1 / SHARES_REST of the process's time.
SHARES_PERIOD_MS = 250
SHARES_REST = 25

# Reason of an admission by the account's credit.
WITHIN_SHARE = "within its share"
# Reason of a refusal for want of a place, whatever the account's share.
NO_PLACE = "all upstreams are full"


def fair_shares(
    room: float, demands: Mapping[str, float], weights: Mapping[str, float] | None = None
) -> dict[str, float]:
    """Return the weighted max-min fair division of ``room`` slots among accounts.

    ``demands`` has the slots that each account wants. No account gets more than it wants, and what
    one leaves goes to the others by weight; an account without a weight has weight 1. Raises
    ``ValueError`` if a weight is not positive.
    """
    weights = weights or {}
    weighted = []
    for account, wanted in demands.items():
        weight = weights.get(account, 1.0)
        if not weight > 0:
            raise ValueError(f"weight {weight} of account {account!r} is not positive")
        weighted.append((wanted / weight, account, weight))
    weighted.sort()
    # Weights from each account on, summed from the end, so that no difference loses precision.
    weights_left = list(accumulate(weight for _level, _account, weight in reversed(weighted)))
    left = max(0.0, room)
    shares = {}
    for level, account, weight in weighted:
        share = min(level, left / weights_left.pop()) * weight
        shares[account] = share
        left = max(0.0, left - share)
    return shares


@attrs.frozen
class Demand:
    """Slots that an account uses, and further slots that its refused calls would have used.

    ``priority`` is the highest one (the lowest number) of its calls.
    """

    in_flight: float = 0.0
    refused: float = 0.0
    priority: int = 0

    def wanted(self) -> float:
        """Return the slots that the account asks for."""
        return self.in_flight + self.refused


def priority_shares(room: float, demands: Mapping[str, Demand]) -> dict[str, float]:
    """Return the slots of each account, those of the highest priority (0) first.

    Before that, each account gets its part of ``PROGRESS_SHARE`` of the room. Accounts of equal
    priority share as in ``fair_shares``.
    """
    classes: dict[int, dict[str, float]] = {}
    for account, demand in demands.items():
        classes.setdefault(demand.priority, {})[account] = demand.wanted()
    if len(classes) <= 1:
        return fair_shares(room, next(iter(classes.values()), {}))
    least = PROGRESS_SHARE * room / len(demands)
    shares = {account: min(demand.wanted(), least) for account, demand in demands.items()}
    left = room - sum(shares.values())
    for _priority, members in sorted(classes.items()):
        rest = {account: wanted - shares[account] for account, wanted in members.items()}
        for account, more in fair_shares(left, rest).items():
            shares[account] += more
            left -= more
    return shares


class ServiceDemands(Protocol):
    """Demand for one service by account, of the whole fleet as far as it is known here."""

    def demand(self, account: str) -> Demand:
        """Return the demand of one account."""

    def all_demands(self) -> dict[str, Demand]:
        """Return the demand by account."""


@attrs.frozen
class Admit:
    """The call may be sent."""

    reason: str


@attrs.frozen(kw_only=True)
class Refuse:
    """The call is refused; slots are of the whole fleet as far as this gateway knows."""

    reason: str
    retry_after_ms: int
    share: float
    use: float
    wanted: float


@attrs.define
class _Credit:
    """Calls that an account may send beyond those it has sent, and when it last sent one."""

    calls: float
    used_ms: int


@attrs.define
class AccountAdmission:
    """Decides for one service which calls are admitted while it is nearly full.

    The service counts as nearly full from a rejection by one of its upstreams until all calls
    beyond their account's share would be let through again.
    """

    clock: Clock
    rng: random.Random
    # Part of the calls beyond their account's share that is let through, and when it was set.
    passing: float = 1.0
    passing_set_ms: int = 0
    full_ms: int = -FULL_INTERVAL_MS
    shares: dict[str, float] = attrs.field(factory=dict)
    shares_until_ms: int = -1
    credits: dict[str, _Credit] = attrs.field(factory=dict)
    precedence: CallPrecedence = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.precedence = CallPrecedence(self.clock)

    def record_full(self) -> None:
        """Record that an upstream rejected a call because it was full."""
        now_ms = self.clock.now_ms()
        if now_ms - self.full_ms < FULL_INTERVAL_MS:
            return
        self.passing = self.passing_share() * FULL_FACTOR
        self.passing_set_ms = self.full_ms = now_ms

    def passing_share(self) -> float:
        """Return the part of the calls beyond their account's share that is let through now."""
        if self.passing >= 1.0:
            return 1.0
        since_ms = self.clock.now_ms() - self.passing_set_ms
        return min(1.0, self.passing + since_ms / RECOVERY_MS)

    def nearly_full(self) -> bool:
        """Return whether calls may be refused."""
        return self.passing_share() < 1.0

    def decide(self, call: ArrivingCall, demands: ServiceDemands) -> Admit | Refuse:
        """Return whether a call may be sent; asked once for each attempt of a client."""
        self.precedence.record_arrival(call)
        passing = self.passing_share()
        if passing >= 1.0:
            return Admit("room for all")
        if call.expected_ms is not None and call.expected_ms > call.left_ms:
            return self.refuse(call, demands, "its time is too short")
        if self._within_share(call, demands):
            return Admit(WITHIN_SHARE)
        if self.rng.random() < self._pass_chance(call.account, demands, passing):
            return Admit("room beyond its share")
        return self.refuse(call, demands, "over its share")

    def refuse(self, call: ArrivingCall, demands: ServiceDemands, reason: str) -> Refuse:
        """Refuse a call and remember it, so that it takes precedence when it returns."""
        share, demand = self._share(call.account, demands)
        excess = demand.wanted() / share if share > 0 else 1.0
        delay_ms = BUSY_RETRY_MS * min(MAX_RETRY_FACTOR, max(1.0, excess))
        delay_ms *= 1.0 + RETRY_JITTER * (2.0 * self.rng.random() - 1.0)
        delay_ms = max(MIN_RETRY_MS, delay_ms / self.precedence.haste(call))
        self.precedence.record_refusal(call)
        return Refuse(
            reason=reason,
            retry_after_ms=round(delay_ms),
            share=share,
            use=demand.in_flight,
            wanted=demand.wanted(),
        )

    def refund(self, call: ArrivingCall) -> None:
        """Give back the credit of a call within its account's share that found no place."""
        credit = self.credits.get(call.account)
        if credit is not None:
            credit.calls = min(MAX_CREDIT, credit.calls + 1.0)

    def record_sent(self, call: ArrivingCall) -> None:
        """Forget the refusals of a call that an upstream accepted."""
        self.precedence.record_sent(call)

    def evict(self) -> None:
        """Drop the state of accounts that have sent nothing lately."""
        now_ms = self.clock.now_ms()
        for account, credit in list(self.credits.items()):
            if now_ms - credit.used_ms > CREDIT_MEMORY_MS:
                del self.credits[account]
        self.precedence.evict()

    def _share(self, account: str, demands: ServiceDemands) -> tuple[float, Demand]:
        demand = demands.demand(account)
        now_ms = self.clock.now_ms()
        if now_ms >= self.shares_until_ms:
            # The slots in use and not those listed: while calls are rejected, these are the slots
            # that really serve, also after a zone has lost servers that are still listed.
            known = demands.all_demands()
            room = sum(each.in_flight for each in known.values())
            self.shares = priority_shares(room, known)
            took_ms = self.clock.now_ms() - now_ms
            self.shares_until_ms = now_ms + max(SHARES_PERIOD_MS, took_ms * SHARES_REST)
        return self.shares.get(account, demand.wanted()), demand

    def _pass_chance(self, account: str, demands: ServiceDemands, passing: float) -> float:
        """Return the chance of a call beyond its account's share.

        The chance falls with the account's excess, so that the room beyond all shares is divided
        among accounts in the same way, whatever the number of their calls.
        """
        share, demand = self._share(account, demands)
        part = min(1.0, share / demand.wanted()) if demand.wanted() > 0 else 1.0
        return part * passing / (1.0 - passing)

    def _within_share(self, call: ArrivingCall, demands: ServiceDemands) -> bool:
        """Return whether the account's credit covers a call, and take it if so.

        Each call adds the part of the account's demand that its share covers. A returned call may
        use credit that new ones may not, so that new calls wait until those refused before them
        have been sent.
        """
        now_ms = self.clock.now_ms()
        share, demand = self._share(call.account, demands)
        part = min(1.0, share / demand.wanted()) if demand.wanted() > 0 else 1.0
        credit = self.credits.get(call.account)
        if credit is None:
            # At random, since most gateways see few calls of an account.
            credit = self.credits[call.account] = _Credit(self.rng.random(), now_ms)
        credit.used_ms = now_ms
        credit.calls = min(MAX_CREDIT, credit.calls + part)
        needed = 1.0 - PRECEDENCE_STEP * self.precedence.refusals(call)
        if credit.calls < needed:
            return False
        credit.calls -= 1.0
        return True
