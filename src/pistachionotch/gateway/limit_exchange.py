"""Exchange of announced rate limits between gateways.

A gateway pushes changed limits to the watchers, which compare theirs every second. The others get
the changes with the copies of the listing of upstreams that they fetch from the watchers.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

import attrs
import cbor2
from gevent.event import Event

from ..clock import MS_PER_SECOND, Clock
from ..config.spec import Address
from ..http_client import ConnectionPool, ExchangeError
from ..limits.announcements import AnnouncementBoard
from ..limits.messages import announcement_fields, read_announcements
from ..malformed import MALFORMED, load_cbor

LIMITS_PREFIX = "/limits/"
ANNOUNCEMENTS_PATH = LIMITS_PREFIX + "announcements"
ANNOUNCEMENTS_TIMEOUT_MS = 400
# Pause between two pushes of announcements, to coalesce bursts of changes.
PUSH_PAUSE_MS = 100
# Interval at which the watchers compare their announcements.
COMPARE_INTERVAL_MS = 1_000
CBOR_TYPE = ("Content-Type", "application/cbor")


def post_to_gateway(
    pool: ConnectionPool, address: Address, path: str, body: bytes, timeout_ms: int, log: Any
) -> bytes | None:
    """Send a request to another gateway; returns None if it does not answer."""
    try:
        head, reply = pool.ask(address, "POST", path, (CBOR_TYPE,), body, timeout_ms)
    except ExchangeError as error:
        log.warning("gateway unreachable", peer=str(address), path=path, reason=error.reason)
        return None
    if head.status != HTTPStatus.OK:
        log.warning("request to a gateway failed", peer=str(address), path=path, status=head.status)
        return None
    return reply


@attrs.define
class LimitExchange:
    """Sends and receives the changes of an announcement board."""

    node: str
    clock: Clock
    pool: ConnectionPool
    board: AnnouncementBoard
    # The watchers by node; None stands for this gateway.
    active_watchers: Callable[[], Mapping[str, Address | None]]
    log: Any
    # Called after a change of a limit, to wake up gateways that wait for a copy.
    changed: Callable[[], None] = lambda: None
    # Distinguishes the versions of this board from those of earlier starts.
    incarnation: str = attrs.field(factory=lambda: secrets.token_hex(4))
    # Version of the board that each watcher has, and the state last received from it.
    pushed: dict[str, int] = attrs.field(factory=dict)
    tokens: dict[str, str] = attrs.field(factory=dict)
    dirty: Event = attrs.field(factory=Event)

    def publish(self) -> None:
        """Start to tell the other gateways about a change."""
        self.dirty.set()
        self.changed()

    def publish_since(self, version: int) -> None:
        """Start to tell the other gateways about changes since a version of the board, if any."""
        if self.board.version != version:
            self.publish()

    def run(self) -> None:
        """Push changed limits to the watchers, and compare the watchers' limits, forever."""
        while True:
            self.dirty.wait(COMPARE_INTERVAL_MS / MS_PER_SECOND)
            self.dirty.clear()
            self.push_announcements()
            self.clock.sleep_ms(PUSH_PAUSE_MS)

    def push_announcements(self) -> None:
        """Send each watcher what it may not know; watchers also fetch what they miss."""
        watchers = self.active_watchers()
        for node, address in watchers.items():
            if address is None:
                continue
            version = self.board.version
            if self.pushed.get(node) == version and self.node not in watchers:
                continue
            self._push(node, address, version)

    def _push(self, node: str, address: Address, version: int) -> None:
        since = self.board.since(self.pushed.get(node, 0))
        fields = announcement_fields(since, self.clock.now_ms())
        body = cbor2.dumps([self.tokens.get(node, ""), fields])
        reply = post_to_gateway(
            self.pool, address, ANNOUNCEMENTS_PATH, body, ANNOUNCEMENTS_TIMEOUT_MS, self.log
        )
        if reply is None:
            # The watcher may have been replaced by one that knows nothing.
            self.pushed.pop(node, None)
            return
        self.pushed[node] = version
        try:
            self.apply_changes(node, load_cbor(reply))
        except MALFORMED as error:
            self.log.warning("malformed rate limits", peer=node, error=repr(error))

    def answer(self, body: bytes) -> bytes:
        """Answer a push of another gateway; raises one of ``MALFORMED``."""
        token, fields = load_cbor(body)
        self._merge(fields, "pushed")
        return cbor2.dumps(self.changes(str(token)))

    def has_changes(self, token: str) -> bool:
        """Return whether limits have changed since the state that a token identifies."""
        return token != self._token()

    def changes(self, token: str) -> list[Any]:
        """Return the token of the current state, and the changes since that of ``token``."""
        incarnation, _, number = token.partition(":")
        known = incarnation == self.incarnation and number.isdigit()
        since = self.board.since(int(number) if known else 0)
        return [self._token(), announcement_fields(since, self.clock.now_ms())]

    def apply_changes(self, node: str, changes: Any) -> None:
        """Apply the changes received from another gateway; raises one of ``MALFORMED``."""
        token, fields = changes
        self._merge(fields, "copied")
        self.tokens[node] = str(token)

    def _token(self) -> str:
        return f"{self.incarnation}:{self.board.version}"

    def _merge(self, fields: Any, source: str) -> None:
        version = self.board.version
        for upstream, stated in read_announcements(fields, self.clock.now_ms()).items():
            former = self.board.limit(upstream)
            if not self.board.merge(upstream, stated):
                continue
            self.log.info(
                "rate limit received",
                upstream=upstream,
                limit=stated.per_second,
                former=former,
                age_ms=self.clock.now_ms() - stated.stated_ms,
                source=source,
            )
        self.publish_since(version)
