"""Slots that accounts use and ask for at this process, averaged over a second or two; no I/O.

Load pattern: calls last some tens of milliseconds, and a gateway often has none of an account in
flight. A number of calls at one moment says little about the account, an average does.
"""

from __future__ import annotations

import math

import attrs

from ..clock import Clock
from .account_shares import Demand

# Time constant of the averages.
AVERAGING_MS = 1_500
# Assumed duration of a refused call before any call of its service has ended.
DEFAULT_DURATION_MS = 100.0
DURATION_WEIGHT = 0.1
# The clock counts whole milliseconds; a refused call shorter than one is demand nevertheless.
LEAST_DURATION_MS = 1.0
# Averages below this number of slots are dropped.
LEAST_SLOTS = 0.0005


@attrs.define
class _AccountUse:
    """Numbers of one account at one service as of ``updated_ms``."""

    updated_ms: int
    open: int = 0
    in_flight: float = 0.0
    refused_slots: float = 0.0
    duration_ms: float | None = None
    priority: int = 0

    def update(self, now_ms: int) -> None:
        """Bring the averages to the present."""
        kept = math.exp((self.updated_ms - now_ms) / AVERAGING_MS)
        self.in_flight = self.open + (self.in_flight - self.open) * kept
        self.refused_slots *= kept
        self.updated_ms = now_ms

    def demand(self) -> Demand:
        """Return the demand as of ``updated_ms``."""
        return Demand(self.in_flight, self.refused_slots, self.priority)


@attrs.define
class AccountUse:
    """Use of and demand for services by account, as far as this process sees them."""

    clock: Clock
    accounts: dict[str, dict[str, _AccountUse]] = attrs.field(factory=dict)
    durations_ms: dict[str, float] = attrs.field(factory=dict)

    def begin(self, service: str, account: str, priority: int) -> None:
        """Count a request that takes a slot; ``priority`` is its account's or its route's."""
        use = self._of(service, account)
        use.open += 1
        use.priority = priority

    def end(self, service: str, account: str, duration_ms: int | None) -> None:
        """Count the end of a request; ``duration_ms`` is None if it tells nothing about others."""
        use = self._of(service, account)
        use.open -= 1
        if duration_ms is None:
            return
        use.duration_ms = _average(use.duration_ms, duration_ms)
        self.durations_ms[service] = _average(self.durations_ms.get(service), duration_ms)

    def refuse(self, service: str, account: str, priority: int) -> None:
        """Count a refused request as the slots that its account's requests usually take."""
        use = self._of(service, account)
        use.priority = priority
        usual_ms = use.duration_ms or self.durations_ms.get(service, DEFAULT_DURATION_MS)
        use.refused_slots += max(LEAST_DURATION_MS, usual_ms) / AVERAGING_MS

    def open(self, service: str, account: str) -> int:
        """Return the number of slots that an account's requests take now."""
        use = self.accounts.get(service, {}).get(account)
        return 0 if use is None else use.open

    def slots_in_use(self, service: str, account: str) -> float:
        """Return the slots that an account uses, half of it by the average.

        Accounts with the same number of slots are thus told apart by their recent use.
        """
        return (self.open(service, account) + self.demand(service, account).in_flight) / 2

    def demands(self, service: str) -> dict[str, Demand]:
        """Return the demand for a service by account."""
        now_ms = self.clock.now_ms()
        found = {}
        for account, use in list(self.accounts.get(service, {}).items()):
            use.update(now_ms)
            demand = use.demand()
            if not use.open and demand.wanted() < LEAST_SLOTS:
                del self.accounts[service][account]
                continue
            found[account] = demand
        return found

    def demand(self, service: str, account: str) -> Demand:
        """Return the demand of one account."""
        use = self.accounts.get(service, {}).get(account)
        if use is None:
            return Demand()
        use.update(self.clock.now_ms())
        return use.demand()

    def _of(self, service: str, account: str) -> _AccountUse:
        now_ms = self.clock.now_ms()
        found = self.accounts.setdefault(service, {}).get(account)
        if found is None:
            found = self.accounts[service][account] = _AccountUse(now_ms)
        found.update(now_ms)
        return found


def _average(average: float | None, sample: float) -> float:
    return sample if average is None else average + DURATION_WEIGHT * (sample - average)
