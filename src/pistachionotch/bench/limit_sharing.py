"""Compares ways to share an upstream's rate limit among gateways.

``python -m pistachionotch.bench.limit_sharing`` prints the share of the limit that is used, the
busiest window relative to the limit, and the messages between gateways per second.
"""

from __future__ import annotations

import random
from bisect import bisect_right
from collections.abc import Callable, Collection, Iterator
from typing import Protocol

import attrs

from ..clock import MS_PER_SECOND, ManualClock
from ..limits.announcements import AnnouncementBoard
from ..limits.broker import START_OVERLAP_MS, PermitBroker, PermitReply, PermitRequest
from ..limits.messages import dump_reply, dump_request
from ..limits.pacer import BURST_S, Permit, PermitWant, RatePacer

UPSTREAM = "i-1@1"
WINDOW_MS = 4_000
RUN_S = 120
# Requests are offered at this multiple of the limit.
OVERLOAD = 2.0
# Share of the requests that the busiest gateway gets under uneven load, and how long it stays so.
BUSIEST_SHARE = 0.8
BUSIEST_MS = 10_000
# Interval at which gateways report their demand and get their next share.
REPORT_MS = 1_000
MAX_WAIT_MS = 100


class SharingDesign(Protocol):
    """A way to decide which requests of which gateway are sent."""

    messages: int

    def send_time_ms(self, gateway: int, now_ms: int) -> int | None:
        """Return when a request of a gateway is sent, None if it is rejected."""


@attrs.define
class FixedShares:
    """Each gateway paces its own requests at an equal share of the limit."""

    count: int
    per_second: float
    messages: int = 0
    pacers: list[RatePacer] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        share = self.per_second / self.count
        self.pacers = [RatePacer(random.Random(1), share, 0) for _ in range(self.count)]

    def send_time_ms(self, gateway: int, now_ms: int) -> int | None:
        """Return when a request of a gateway is sent, None if it is rejected."""
        return _send_time_ms(self.pacers[gateway], now_ms)


@attrs.define
class ReportedShares:
    """Gateways report their demand every second and get a share in proportion to it."""

    count: int
    per_second: float
    messages: int = 0
    pacers: list[RatePacer] = attrs.field(init=False)
    demand: list[int] = attrs.field(init=False)
    reported_ms: int = 0

    def __attrs_post_init__(self) -> None:
        share = self.per_second / self.count
        self.pacers = [RatePacer(random.Random(1), share, 0) for _ in range(self.count)]
        self.demand = [0] * self.count

    def send_time_ms(self, gateway: int, now_ms: int) -> int | None:
        """Return when a request of a gateway is sent, None if it is rejected."""
        while now_ms - self.reported_ms >= REPORT_MS:
            self.reported_ms += REPORT_MS
            self._share_out()
        self.demand[gateway] += 1
        return _send_time_ms(self.pacers[gateway], now_ms)

    def _share_out(self) -> None:
        self.messages += 2 * self.count
        total = sum(self.demand)
        for pacer, demand in zip(self.pacers, self.demand, strict=True):
            # Every gateway keeps a small share, so that it can send its first request.
            share = (demand + 1.0) / (total + self.count)
            pacer.change_rate(self.per_second * share, self.reported_ms)
        self.demand = [0] * self.count


@attrs.define
class Permits:
    """One gateway, chosen by a hash of the upstream, grants a permit for each request."""

    count: int
    per_second: float
    messages: int = 0
    message_bytes: int = 0
    clock: ManualClock = attrs.field(factory=ManualClock)
    brokers: dict[str, PermitBroker] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        nodes = [f"gateway-{number}" for number in range(self.count)]
        self.brokers = {
            node: PermitBroker(
                node,
                self.clock,
                random.Random(1),
                AnnouncementBoard(),
                _others(nodes, node),
                self.clock.now_ms,
                self._ask,
            )
            for node in nodes
        }
        self.clock.advance(START_OVERLAP_MS)

    def _ask(self, node: str, request: PermitRequest) -> PermitReply | None:
        reply = self.brokers[node].handle(request)
        self.messages += 2
        self.message_bytes += len(dump_request(request)) + len(dump_reply(reply))
        return reply

    def send_time_ms(self, gateway: int, now_ms: int) -> int | None:
        """Return when a request of a gateway is sent, None if it is rejected."""
        self.clock.current_ms = max(self.clock.current_ms, START_OVERLAP_MS + now_ms)
        broker = self.brokers[f"gateway-{gateway}"]
        heard_ms = self.clock.now_ms()
        broker.board.record_response(UPSTREAM, self.per_second, heard_ms, heard_ms)
        reply = broker.request(UPSTREAM, [PermitWant(max_wait_ms=MAX_WAIT_MS)])
        verdict = reply.verdicts[0]
        return now_ms + verdict.wait_ms if isinstance(verdict, Permit) else None


def _others(nodes: list[str], node: str) -> Callable[[], Collection[str]]:
    return lambda: [each for each in nodes if each != node]


def _send_time_ms(pacer: RatePacer, now_ms: int) -> int | None:
    verdict = pacer.decide(PermitWant(max_wait_ms=MAX_WAIT_MS), now_ms)
    return now_ms + verdict.wait_ms if isinstance(verdict, Permit) else None


@attrs.frozen(kw_only=True)
class SharingResult:
    """How a design used a limit."""

    # Sent requests relative to what the limit allows.
    used: float
    # Requests in the busiest window of four seconds relative to what the limit allows.
    busiest: float
    messages_per_second: float


def requests(
    rng: random.Random, count: int, per_second: float, uneven: bool
) -> Iterator[tuple[int, int]]:
    """Yield times and gateways of requests that arrive at random."""
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(per_second / MS_PER_SECOND)
        if at_ms >= RUN_S * MS_PER_SECOND:
            return
        busiest = int(at_ms // BUSIEST_MS) % count
        gateway = rng.randrange(count)
        yield int(at_ms), busiest if uneven and rng.random() < BUSIEST_SHARE else gateway


def measure(design: SharingDesign, count: int, per_second: float, uneven: bool) -> SharingResult:
    """Offer a seeded load to a design."""
    sent = []
    for at_ms, gateway in requests(random.Random(5), count, per_second * OVERLOAD, uneven):
        send_ms = design.send_time_ms(gateway, at_ms)
        if send_ms is not None:
            sent.append(send_ms)
    sent.sort()
    window = WINDOW_MS / MS_PER_SECOND * per_second
    busiest = 0
    for number, at_ms in enumerate(sent):
        busiest = max(busiest, bisect_right(sent, at_ms + WINDOW_MS) - number)
    return SharingResult(
        used=len(sent) / (RUN_S * per_second),
        busiest=busiest / window,
        messages_per_second=design.messages / RUN_S,
    )


def main() -> None:
    """Print a table of all designs, sizes and loads."""
    designs = (FixedShares, ReportedShares, Permits)
    print("gateways  limit  load    design          used  busiest  messages/s")
    for count in (4, 22, 58, 330):
        for per_second in (1.0, 5.0):
            for uneven in (False, True):
                for design in designs:
                    result = measure(design(count, per_second), count, per_second, uneven)
                    print(
                        f"{count:8d}  {per_second:5.1f}  {'uneven' if uneven else 'even':6s}  "
                        f"{design.__name__:14s}  {result.used:4.2f}  {result.busiest:7.2f}  "
                        f"{result.messages_per_second:10.1f}"
                    )
    permits = Permits(58, 5.0)
    measure(permits, 58, 5.0, False)
    print(f"bytes of a request and its reply: {permits.message_bytes / (permits.messages / 2):.0f}")
    print(f"requests saved up for a burst: {BURST_S} s of the limit")


if __name__ == "__main__":
    main()
