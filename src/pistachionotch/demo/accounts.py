"""Calls of two accounts to one service, as the demo sends and judges them."""

from __future__ import annotations

import time
from collections import Counter
from http import HTTPStatus

import attrs
import gevent

from ..http_client import ExchangeError
from .gateway import DemoGateway

# ``dealer`` asks for several times as much as ``club``, and each for more than half of what the
# servers can run.
CALLS_PER_S = {"club": 25, "dealer": 75}
CALLS_S = 6.0
# Time until shares follow the demand, which is averaged over 1.5 s; not counted.
WARM_UP_S = 2.0
# Part of the mean share that the account with less must get: halfway between an equal division and
# the one by demand, which leaves ``club`` a quarter of the calls. The target for the worst tenth of
# accounts, 0.9, is measured over longer runs, see docs/design/fair-sharing.md.
LEAST_PART_OF_MEAN = 0.75
# Error of usage reports that the platform allows.
ALLOWED_USAGE_ERROR = 0.05
# A window of 1 s is closed 2.5 s after its end, by a new holder up to 3 s later.
REPORT_TIMEOUT_S = 15.0
POLL_S = 0.1


@attrs.frozen(kw_only=True)
class AccountResults:
    """Results of the calls; counts are by account."""

    unknown_key_status: int
    served: dict[str, int]
    refused: dict[str, int]
    # Calls that ended without a response.
    unanswered: int
    # What the servers ran, and what the gateway reported.
    run: dict[str, int]
    reported: dict[str, int]

    def failures(self) -> list[str]:
        """Return what did not go as promised."""
        found = []
        if self.unknown_key_status != HTTPStatus.UNAUTHORIZED:
            found.append(f"an unknown key was answered with {self.unknown_key_status}")
        if not self.refused:
            found.append("the service was never at capacity")
        part = self.least_part_of_mean()
        if part < LEAST_PART_OF_MEAN:
            found.append(f"an account got only {part:.2f} of the mean share: {self.served}")
        if self.unanswered:
            found.append(f"{self.unanswered} calls got no response")
        if not self.run or not self.usage_agrees():
            found.append(f"usage reported {self.reported}, run {self.run}")
        return found

    def usage_agrees(self) -> bool:
        """Return whether the reports are within the allowed error of what was run."""
        for account in self.run.keys() | self.reported.keys():
            number = self.run.get(account, 0)
            if abs(self.reported.get(account, 0) - number) > ALLOWED_USAGE_ERROR * number:
                return False
        return True

    def least_part_of_mean(self) -> float:
        """Return the served calls of the account with the fewest, divided by the mean."""
        total = sum(self.served.values())
        if not total:
            return 0.0
        return min(self.served.get(name, 0) for name in CALLS_PER_S) * len(CALLS_PER_S) / total


def run_accounts(gateway: DemoGateway) -> AccountResults:
    """Send a call with an unknown key, then calls of both accounts, and wait for the reports."""
    unknown_key = gateway.call("unknown")
    calls = _Calls(gateway, time.monotonic() + WARM_UP_S)
    gevent.joinall([gevent.spawn(calls.send_all, account) for account in CALLS_PER_S])
    gevent.joinall(calls.tasks, raise_error=True)
    run = gateway.runs_by_account()
    with gevent.Timeout(REPORT_TIMEOUT_S, False):
        while gateway.duties.reported_usage() != run:
            gevent.sleep(POLL_S)
    return AccountResults(
        unknown_key_status=unknown_key.status,
        served=dict(calls.served),
        refused=dict(calls.refused),
        unanswered=calls.unanswered,
        run=run,
        reported=gateway.duties.reported_usage(),
    )


@attrs.define
class _Calls:
    """Calls of both accounts; those sent from ``count_from_s`` on are counted by account."""

    gateway: DemoGateway
    count_from_s: float
    served: Counter[str] = attrs.field(factory=Counter)
    refused: Counter[str] = attrs.field(factory=Counter)
    unanswered: int = 0
    tasks: list[gevent.Greenlet] = attrs.field(factory=list)

    def send_all(self, account: str) -> None:
        """Start the calls of an account at its rate, whatever becomes of earlier ones."""
        next_s = time.monotonic()
        end_s = self.count_from_s + CALLS_S
        while next_s < end_s:
            self.tasks.append(gevent.spawn(self._send, account, next_s >= self.count_from_s))
            next_s += 1 / CALLS_PER_S[account]
            gevent.sleep(max(0.0, next_s - time.monotonic()))

    def _send(self, account: str, counted: bool) -> None:
        try:
            response = self.gateway.call(self.gateway.keys[account])
        except ExchangeError:
            self.unanswered += 1
            return
        if counted:
            results = self.served if response.status == HTTPStatus.OK else self.refused
            results[account] += 1
