"""What the holder of the duties sends to the platform, and the interface of its client."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs


class DutyAnswer(enum.Enum):
    """The platform's answer; the values are metric labels."""

    DONE = "done"
    # Too many calls, or a failure that a later call may not have.
    BUSY = "busy"
    # The same call will never succeed.
    REFUSED = "refused"
    # Not sent, or the answer was lost: the platform may have acted on it.
    NO_ANSWER = "no answer"


@attrs.frozen
class UsageReport:
    """The number of requests that upstreams began to run in one window, by account."""

    window: int
    counts: Mapping[str, int]


@attrs.frozen
class ServerOrder:
    """The number of servers that a service should have in one zone."""

    service: str
    zone: str
    desired: int


class DutyClient(Protocol):
    """Client of the platform's interface for duties.

    ``holder`` is the name of the gateway and ``fence`` the fencing token under which it acts.
    ``may_send`` is asked once the connection is open; if it returns False, nothing is sent.
    """

    def report_usage(
        self, report: UsageReport, holder: str, fence: int, may_send: Callable[[], bool]
    ) -> DutyAnswer:
        """Report the usage of one window."""

    def order_servers(
        self, order: ServerOrder, holder: str, fence: int, may_send: Callable[[], bool]
    ) -> DutyAnswer:
        """Order a number of servers."""
