"""Results of asking for the permission to send a request to an upstream."""

from __future__ import annotations

import attrs

from ..http_client import ExchangeError


class RateLimitedError(ExchangeError):
    """The request was not sent because of the upstream's rate limit.

    A permit can be expected after ``next_ms``; the caller should return after ``retry_ms``.
    """

    def __init__(self, reason: str, next_ms: int, retry_ms: int) -> None:
        super().__init__(reason, sent=False)
        self.next_ms = next_ms
        self.retry_ms = retry_ms


class NotPermittedError(ExchangeError):
    """The request was not sent because its sender may no longer do so.

    It says nothing about the upstream.
    """

    def __init__(self) -> None:
        super().__init__("no longer permitted", sent=False)


@attrs.frozen
class SendPermit:
    """A permit for one request; it must be sent before ``expires_ms``."""

    upstream: str
    expires_ms: int
