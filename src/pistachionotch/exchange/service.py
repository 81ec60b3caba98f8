"""Task that sends this gateway's values to the watchers and receives what it subscribes to.

Each gateway tells the two watchers what has changed, in one request for all topics, and receives
from one of them what is new. The watchers tell each other everything.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any, Protocol

import attrs

from ..clock import Clock
from ..config.spec import Address
from ..logs import logger
from ..malformed import MALFORMED, describe
from ..measures import Measures
from .board import Board, Entry
from .messages import ClockMedian, StateReply, StateRequest

STATE_PREFIX = "/state/"
EXCHANGE_PATH = STATE_PREFIX + "exchange"
RESPONSE_TIMEOUT_MS = 400
# Time between two rounds of a gateway: at least the first, and the second for each gateway, which
# is 100 requests per second at a watcher.
MIN_PERIOD_MS = 250
PERIOD_PER_GATEWAY_MS = 10
WATCHER_PERIOD_MS = 1_000
# Period of a gateway that depends on the values of all others, of which there is one.
URGENT_PERIOD_MS = 500
# The periods differ by up to a tenth in both directions, so that gateways don't stay in step.
PERIOD_SPREAD = 0.1
# Time for which it is remembered what a former watcher was sent. A gateway avoids a watcher for 3 s
# after a missing answer; sending it the whole state after each of them would take megabytes.
FORGET_MS = 10_000


class PeerClocks(Protocol):
    """Clocks of the gateways, as heard with the messages."""

    def unix_ms(self) -> int:
        """Return the time since the start of 1970 as this gateway knows it."""

    def record(self, node: str, unix_ms: int) -> None:
        """Record what another gateway's clock shows now."""

    def median(self) -> ClockMedian | None:
        """Return the number of recorded clocks and their median now, or None without any."""

    def compare(self) -> None:
        """Compare this gateway's time with the recorded clocks."""

    def apply(self, gateways: int, unix_ms: int) -> None:
        """Compare this gateway's time with the median of some gateways."""


@attrs.define
class StateExchange:
    """Publishes, receives and serves the values of a board."""

    clock: Clock
    rng: random.Random
    board: Board
    clocks: PeerClocks
    # The watchers by node; None stands for this gateway.
    active_watchers: Callable[[], Mapping[str, Address | None]]
    # Number of gateways, this one included.
    gateway_count: Callable[[], int]
    # Sends a request to a path of another gateway; returns None without an answer.
    post: Callable[[Address, str, bytes], bytes | None]
    measures: Measures = attrs.field(factory=Measures)
    # Called before each round, to publish what has changed.
    publishers: list[Callable[[], None]] = attrs.field(factory=list)
    # Return the topics to receive, and whether all values are needed soon.
    subscriptions: list[Callable[[], frozenset[str]]] = attrs.field(factory=list)
    urgent: Callable[[], bool] = lambda: False
    # Change number up to which each watcher has what it should, and the state received from it,
    # with the subscription that this state is for.
    pushed: dict[str, int] = attrs.field(factory=dict)
    received: dict[str, tuple[str, tuple[frozenset[str], bool]]] = attrs.field(factory=dict)
    incarnations: dict[str, str] = attrs.field(factory=dict)
    # Last time at which each gateway was a watcher.
    watched_ms: dict[str, int] = attrs.field(factory=dict)
    # Watchers that did not answer the last request.
    silent: set[str] = attrs.field(factory=set)
    # Summaries received, with the time of receipt.
    summaries: dict[str, tuple[int, Any]] = attrs.field(factory=dict)
    # Start of the last request that was answered with what is new of a topic, by topic.
    caught_up_ms: dict[str, int] = attrs.field(factory=dict)

    def run(self) -> None:
        """Exchange values forever."""
        while True:
            self.step()
            spread = 1 + self.rng.uniform(-PERIOD_SPREAD, PERIOD_SPREAD)
            self.clock.sleep_ms(round(self.period_ms() * spread))

    def period_ms(self) -> int:
        """Return the time in ms between two rounds."""
        period_ms = self.regular_period_ms()
        if self.board.local.node in self.active_watchers():
            period_ms = WATCHER_PERIOD_MS
        return min(period_ms, URGENT_PERIOD_MS) if self.urgent() else period_ms

    def regular_period_ms(self) -> int:
        """Return the time in ms between two rounds of a gateway without a special role."""
        return max(MIN_PERIOD_MS, PERIOD_PER_GATEWAY_MS * self.gateway_count())

    def longest_period_ms(self) -> int:
        """Return the longest time in ms between two rounds of any gateway, without the spread."""
        return max(WATCHER_PERIOD_MS, self.regular_period_ms())

    def step(self) -> None:
        """Run one round with both watchers."""
        for publish in self.publishers:
            publish()
        self.board.maintain()
        watchers = self.active_watchers()
        watching = self.board.local.node in watchers
        if watching:
            self.clocks.compare()
        others = {node: address for node, address in watchers.items() if address is not None}
        if watching and not others:
            self._record_caught_up(frozenset(self.board.topics), self.clock.now_ms())
        # A watcher that did not answer the last request is asked last. The first one that answers
        # also sends what this gateway subscribes to.
        subscribes = True
        for node in sorted(others, key=self._preference):
            topics = self._subscribed(watching) if subscribes or watching else frozenset()
            if self._exchange(node, others[node], topics, watching):
                subscribes = False
        self._forget(watchers)

    def _preference(self, node: str) -> tuple[bool, int]:
        """Return the order of a watcher; its hash divides the subscribers between the two."""
        pair = f"{self.board.local.node} {node}"
        return node in self.silent, zlib.crc32(pair.encode())

    def summary(self, topic: str) -> Any:
        """Return a topic's summary, as computed or received last; None if there is none."""
        if self.board.local.node in self.active_watchers():
            return self.board.summary(topic)
        received = self.summaries.get(topic)
        if received is None:
            return None
        received_ms, value = received
        expired = self.clock.now_ms() - received_ms >= self.board.topics[topic].keep_ms
        return None if expired else value

    def _subscribed(self, watching: bool) -> frozenset[str]:
        if watching:
            return frozenset(self.board.topics)
        topics: frozenset[str] = frozenset()
        for subscription in self.subscriptions:
            topics |= subscription()
        return topics

    def _exchange(
        self, node: str, address: Address, topics: frozenset[str], watching: bool
    ) -> bool:
        """Send what a watcher lacks; returns whether it has answered."""
        number = self.board.number
        entries = self._unsent(node, watching)
        if not entries and not topics:
            return False
        started_ms = self.clock.now_ms()
        subscription = (topics, watching)
        token, subscribed = self.received.get(node, ("", subscription))
        request = StateRequest(
            node=self.board.local.node,
            unix_ms=self.clocks.unix_ms(),
            token=token if subscribed == subscription else "",
            topics=topics,
            wants_values=watching,
            entries=tuple(entries),
        )
        body = self.post(address, EXCHANGE_PATH, request.to_bytes(started_ms))
        if body is None:
            self._record_silence(node)
            return False
        try:
            reply = StateReply.from_bytes(body, self.clock.now_ms())
            self.board.merge(reply.entries, node)
        except MALFORMED as error:
            self._record_malformed("reply", node, error)
            self._record_silence(node)
            return False
        self._apply(node, reply, subscription, number)
        self._record_caught_up(topics, started_ms)
        return True

    def _record_caught_up(self, topics: frozenset[str], started_ms: int) -> None:
        for topic in topics:
            self.caught_up_ms[topic] = started_ms

    def _unsent(self, node: str, watching: bool) -> list[Entry]:
        """Return what a watcher may not have.

        One that has just started or become a watcher gets all that is known here: it may be the
        last trace of a gateway that was killed along with the former watchers.
        """
        cursor = self.pushed.get(node)
        entries = self.board.since(cursor or 0, self.board.topics)
        if cursor is None:
            return entries
        if watching:
            return [entry for entry in entries if entry.source != node]
        return [entry for entry in entries if entry.origin == self.board.local]

    def _apply(
        self,
        node: str,
        reply: StateReply,
        subscription: tuple[frozenset[str], bool],
        number: int,
    ) -> None:
        self.silent.discard(node)
        incarnation = reply.token.partition(":")[0]
        if self.incarnations.get(node, incarnation) == incarnation:
            self.pushed[node] = number
        else:
            # It has started again, and what it was sent earlier is lost.
            self.pushed.pop(node, None)
        self.incarnations[node] = incarnation
        self.received[node] = (reply.token, subscription)
        for topic, value in reply.summaries.items():
            self.summaries[topic] = (self.clock.now_ms(), value)
        if reply.clocks is not None:
            self.clocks.apply(*reply.clocks)

    def _record_silence(self, node: str) -> None:
        self.silent.add(node)
        self.measures.count("state_exchanges", "no answer")

    def _forget(self, watchers: Mapping[str, Address | None]) -> None:
        """Forget what gateways were sent that have been no watchers for a while."""
        now_ms = self.clock.now_ms()
        self.watched_ms.update(dict.fromkeys(watchers, now_ms))
        for node, watched_ms in list(self.watched_ms.items()):
            if now_ms - watched_ms < FORGET_MS:
                continue
            del self.watched_ms[node]
            self.incarnations.pop(node, None)
            self.pushed.pop(node, None)
            self.received.pop(node, None)
        self.silent &= watchers.keys()

    def _record_malformed(self, kind: str, peer: str, error: Exception) -> None:
        self.measures.count("state_exchanges", f"malformed {kind}")
        logger("exchange").warning(f"malformed {kind}", peer=peer, error=describe(error))

    def answer(self, body: bytes) -> tuple[HTTPStatus, bytes]:
        """Return status and body for the request of another gateway."""
        now_ms = self.clock.now_ms()
        try:
            request = StateRequest.from_bytes(body, now_ms)
            self.board.merge(request.entries, request.node)
        except MALFORMED as error:
            self._record_malformed("request", "", error)
            return HTTPStatus.BAD_REQUEST, b""
        self.clocks.record(request.node, request.unix_ms)
        self.measures.count("state_exchanges", "answered")
        cursor = self._cursor(request.token)
        if request.wants_values:
            entries = self.board.since(cursor, request.topics)
            summaries: dict[str, Any] = {}
        else:
            entries, summaries = self._for_subscriber(cursor, request.topics)
        reply = StateReply(
            token=f"{self.board.local.incarnation}:{self.board.number}",
            clocks=self.clocks.median(),
            # A sender without a valid token may have lost what it told.
            entries=tuple(each for each in entries if not cursor or each.source != request.node),
            summaries=summaries,
        )
        return HTTPStatus.OK, reply.to_bytes(now_ms)

    def _for_subscriber(
        self, cursor: int, topics: frozenset[str]
    ) -> tuple[list[Entry], dict[str, Any]]:
        """Return what changed after ``cursor``: values, or summaries where there are any."""
        board = self.board
        known = {name: board.topics[name] for name in topics if name in board.topics}
        plain = {name for name, topic in known.items() if topic.summarize is None}
        summaries = {
            name: board.summary(name)
            for name in known.keys() - plain
            if board.topic_numbers.get(name, 0) > cursor
        }
        return board.since(cursor, plain), summaries

    def _cursor(self, token: str) -> int:
        incarnation, _, number = token.partition(":")
        known = incarnation == self.board.local.incarnation and number.isdigit()
        return int(number) if known else 0
