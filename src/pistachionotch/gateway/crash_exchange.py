"""Tells all gateways about crashed upstreams and the requests in flight on them.

A gateway that sees a crash sends its reports to a few others, each of which passes them on to its
share of the rest before it answers. A gateway that was out of reach gets them once it answers, and
each compares what it knows with another one from time to time.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import attrs
import cbor2
import gevent
from gevent.event import Event

from ..clock import MS_PER_SECOND, Clock
from ..config.spec import Address
from ..http_client import ConnectionPool
from ..malformed import MALFORMED, load_cbor
from ..measures import Measures
from ..quarantine.board import CrashBoard, CrashReport
from .limit_exchange import post_to_gateway

CRASHES_PREFIX = "/crashes/"
REPORTS_PATH = CRASHES_PREFIX + "reports"
STATE_PATH = CRASHES_PREFIX + "state"
# Number of gateways to which one gateway passes reports on directly.
FANOUT = 8
# Timeout for a gateway and those that it passes reports on to.
SPREAD_TIMEOUT_MS = 300
# Interval at which a gateway compares its state with another one; the platform expects a gateway
# to act on what the others know 4 s after it is in touch again.
COMPARE_INTERVAL_MS = 1_500
# After its start, a gateway compares its state with this many others as soon as it can.
FIRST_COMPARISONS = 3
LOOK_INTERVAL_MS = 300
# Time for which a gateway that has sent something counts as known.
HEARD_MS = 20_000
# Time for which a gateway that did not answer is sent the state again.
MISSED_MEMORY_MS = 60_000


@attrs.define
class CrashExchange:
    """Sends and receives reports of crashes."""

    clock: Clock
    rng: random.Random
    pool: ConnectionPool
    board: CrashBoard
    # Addresses of the other gateways by node.
    other_gateways: Callable[[], Mapping[str, Address]]
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    # Called with each report of another gateway that is new here.
    received: Callable[[CrashReport], None] = lambda _report: None
    pending: list[CrashReport] = attrs.field(factory=list)
    wake: Event = attrs.field(factory=Event)
    # Set while nothing waits to be sent.
    idle: Event = attrs.field(factory=Event)
    # Gateways that did not answer, until when their state is in doubt.
    missed: dict[Address, int] = attrs.field(factory=dict)
    # Own address, and gateways that are not listed yet but have sent something, until when.
    own_address: str = ""
    heard: dict[Address, int] = attrs.field(factory=dict)
    # Number of gateways with which the state has been compared.
    compared: int = 0

    def __attrs_post_init__(self) -> None:
        self.idle.set()

    def publish(self, report: CrashReport) -> None:
        """Start to tell the other gateways about a crash or a success."""
        self.pending.append(report)
        self.idle.clear()
        self.wake.set()

    def flush(self, most_ms: int) -> None:
        """Wait until the other gateways know what has been published."""
        if most_ms > 0:
            self.idle.wait(most_ms / MS_PER_SECOND)

    def run(self) -> None:
        """Send published reports forever."""
        while True:
            self.wake.wait()
            self.wake.clear()
            reports, self.pending = self.pending, []
            if reports:
                self._spread(self.addresses(), reports)
            if not self.pending:
                self.idle.set()

    def compare(self) -> None:
        """Compare the state with that of other gateways forever."""
        due_ms = 0
        while True:
            self.clock.sleep_ms(LOOK_INTERVAL_MS)
            now_ms = self.clock.now_ms()
            if now_ms >= due_ms or self.compared < FIRST_COMPARISONS:
                self.compare_once()
                due_ms = now_ms + COMPARE_INTERVAL_MS

    def addresses(self) -> list[Address]:
        """Return the addresses of the other gateways, listed or heard."""
        now_ms = self.clock.now_ms()
        listed = self.other_gateways().values()
        heard = [address for address, until_ms in self.heard.items() if now_ms < until_ms]
        return list(dict.fromkeys([*listed, *heard]))

    def compare_once(self) -> None:
        """Bring this gateway and one that may know less or more to the same state."""
        now_ms = self.clock.now_ms()
        self.board.evict(now_ms)
        addresses = self.addresses()
        if not addresses:
            return
        for address, until_ms in list(self.missed.items()):
            if now_ms >= until_ms or address not in addresses:
                del self.missed[address]
        if self.missed:
            self._spread(list(self.missed), self.board.reports())
        peer = self.rng.choice(addresses)
        reply = self._post(peer, STATE_PATH, cbor2.dumps([self.own_address, self.digest()]))
        if reply is None:
            return
        self.missed.pop(peer, None)
        self.compared += 1
        try:
            digest, fields = load_cbor(reply)
            self._apply(fields)
            if digest != self.digest():
                self._post(peer, REPORTS_PATH, self._message([], self.board.reports()))
        except MALFORMED as error:
            self.log.warning("malformed crash reports", peer=str(peer), error=repr(error))

    def answer(self, path: str, body: bytes) -> bytes:
        """Answer another gateway; raises one of ``MALFORMED``."""
        if path == STATE_PATH:
            sender, known = load_cbor(body)
            self._hear(sender)
            digest = self.digest()
            reports = [] if known == digest else self.board.reports()
            return cbor2.dumps([digest, self._fields(reports)])
        sender, others, fields = load_cbor(body)
        self._hear(sender)
        addresses = [Address.parse(text) for text in others]
        self._apply(fields)
        if addresses:
            reports = self._parse(fields)
            self._spread(addresses, reports)
        return cbor2.dumps(True)

    def digest(self) -> int:
        """Return a number that differs between gateways that know different crashes."""
        found = sorted(f"{each.content} {each.upstream}" for each in self.board.reports())
        return zlib.crc32("\n".join(found).encode())

    def _spread(self, addresses: Sequence[Address], reports: Sequence[CrashReport]) -> None:
        """Send reports to gateways directly or through each other."""
        shuffled = list(addresses)
        self.rng.shuffle(shuffled)
        groups = [shuffled[start::FANOUT] for start in range(min(FANOUT, len(shuffled)))]
        tasks = [gevent.spawn(self._send_group, group, reports) for group in groups]
        gevent.joinall(tasks)

    def _send_group(self, group: Sequence[Address], reports: Sequence[CrashReport]) -> None:
        head, rest = group[0], group[1:]
        reply = self._post(head, REPORTS_PATH, self._message(rest, reports))
        if reply is not None:
            self.missed.pop(head, None)
            return
        self.missed.setdefault(head, self.clock.now_ms() + MISSED_MEMORY_MS)
        if rest:
            self._spread(rest, reports)

    def _post(self, address: Address, path: str, body: bytes) -> bytes | None:
        self.measures.count("crash_messages", path.removeprefix(CRASHES_PREFIX))
        return post_to_gateway(self.pool, address, path, body, SPREAD_TIMEOUT_MS, self.log)

    def _message(self, addresses: Iterable[Address], reports: Iterable[CrashReport]) -> bytes:
        others = [str(address) for address in addresses]
        return cbor2.dumps([self.own_address, others, self._fields(reports)])

    def _hear(self, sender: Any) -> None:
        if sender:
            self.heard[Address.parse(str(sender))] = self.clock.now_ms() + HEARD_MS
        for address, until_ms in list(self.heard.items()):
            if self.clock.now_ms() >= until_ms:
                del self.heard[address]

    def _fields(self, reports: Iterable[CrashReport]) -> list[Any]:
        now_ms = self.clock.now_ms()
        return [
            [report.content, report.service, report.upstream, now_ms - report.at_ms]
            for report in reports
        ]

    def _parse(self, fields: Any) -> list[CrashReport]:
        now_ms = self.clock.now_ms()
        return [
            CrashReport(str(content), str(service), str(upstream), now_ms - max(0, int(age_ms)))
            for content, service, upstream, age_ms in fields
        ]

    def _apply(self, fields: Any) -> None:
        for report in self._parse(fields):
            if self.board.apply(report, self.clock.now_ms()):
                self.received(report)
