"""Decides which gateway paces the requests to a rate-limited upstream, and grants permits.

Performs no I/O by itself; a function that asks another gateway is passed in.

Load pattern: two of three servers limit themselves to about one request per second, while each of
up to hundreds of gateways has a request for them now and then. A fixed share of the limit for each
gateway would be far below one request per second. So one gateway, chosen by a hash of the upstream,
paces all requests to it, and the others ask it for a permit before each request.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Collection, Sequence

import attrs

from ..clock import Clock
from .announcements import Announcement, AnnouncementBoard
from .pacer import PermitWant, RatePacer, Verdict

# Number of gateways that may pace an upstream: the first by hash, and its deputy.
PACING_GATEWAYS = 2
# Share of the limit that a gateway grants while another one may still grant permits too: after its
# own start, and as deputy of a gateway that has stopped answering. Both together then stay within
# the factor of 1.5 that the platform tolerates.
OVERLAP_SHARE = 0.5
# Peers have listed a new gateway after this time at the latest.
START_OVERLAP_MS = 5_000
# Peers that have already listed a restarted gateway ask it again after this time at the latest.
RESTART_OVERLAP_MS = 2_000
# Gateways that start at the same time have registered after this time.
REGISTRATION_MS = 2_000
# A gateway that has not answered for this time counts as lost.
DEPUTY_OVERLAP_MS = 10_000
# Pause before a gateway that did not answer is asked again.
AVOID_MS = 1_000
# Time after which an unused pacer is removed; its bucket is full long before.
PACER_MEMORY_MS = 60_000


@attrs.frozen(kw_only=True)
class PermitRequest:
    """A gateway's request for permits for one upstream."""

    upstream: str
    # The limit as the requesting gateway knows it, and the age of that statement.
    per_second: float | None
    age_ms: int
    wants: tuple[PermitWant, ...]
    # Whether a deputy passes on the request of another gateway.
    relayed: bool = False


@attrs.frozen(kw_only=True)
class PermitReply:
    """The limit in force at the pacing gateway and its verdicts, in the order of the wants."""

    # None if the limit has ended; there are no verdicts then, and no permits are needed.
    per_second: float | None
    age_ms: int
    verdicts: tuple[Verdict, ...]
    # The gateway that decided, and the share of the limit that it grants. A gateway that is about
    # to stop grants nothing any more; there are no verdicts then either.
    node: str
    share: float

    @property
    def resigned(self) -> bool:
        """Whether the gateway is about to stop and leaves the decision to its deputy."""
        return self.share <= 0.0


@attrs.define
class _Outage:
    """A gateway that does not answer, or has resigned."""

    since_ms: int
    retry_at_ms: int
    resigned: bool


AskGateway = Callable[[str, PermitRequest], PermitReply | None]


@attrs.define
class PermitBroker:
    """Grants permits for the upstreams that this gateway paces and requests the others."""

    node: str
    clock: Clock
    rng: random.Random
    board: AnnouncementBoard
    # Names of the other gateways.
    other_gateways: Callable[[], Collection[str]]
    # Time at which their list was last known to be current; None if it has not been read yet.
    peers_listed_ms: Callable[[], int | None]
    # Asks another gateway; returns None if it does not answer.
    ask: AskGateway
    started_ms: int = attrs.field(init=False)
    # Time until which other gateways may still be asked in place of this one.
    overlap_until_ms: int = attrs.field(init=False)
    # Time from which a list of the other gateways is complete.
    list_complete_ms: int = attrs.field(init=False)
    # Whether this process is about to stop and no longer paces upstreams.
    resigned: bool = False
    pacers: dict[str, RatePacer] = attrs.field(factory=dict)
    outages: dict[str, _Outage] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.started_ms = self.clock.now_ms()
        self.overlap_until_ms = self.started_ms + START_OVERLAP_MS
        self.list_complete_ms = self.started_ms + REGISTRATION_MS

    def shorten_overlap(self) -> None:
        """Record that this gateway and the others were registered before its process started."""
        self.overlap_until_ms = self.started_ms + RESTART_OVERLAP_MS
        self.list_complete_ms = self.started_ms

    def request(self, upstream: str, wants: Sequence[PermitWant]) -> PermitReply:
        """Return verdicts for this gateway's own requests."""
        limit = self.board.limit(upstream)
        if limit is None:
            return self._reply(upstream, (), 1.0)
        request = PermitRequest(
            upstream=upstream,
            per_second=limit,
            age_ms=self._age_ms(upstream),
            wants=tuple(wants),
        )
        ranked = self._ranked(upstream)
        reply = self._ask_first(ranked[:PACING_GATEWAYS], request)
        if reply is not None:
            return reply
        if self.node in ranked[:PACING_GATEWAYS] and not self.resigned:
            return self._grant(request, self._pacing_share(ranked))
        # Cut off from both pacing gateways: all gateways in this state together stay within the
        # share of an overlap.
        return self._grant(request, OVERLAP_SHARE / len(ranked))

    def handle(self, request: PermitRequest) -> PermitReply:
        """Return verdicts for the requests of another gateway."""
        self._merge(request.upstream, request.per_second, request.age_ms)
        if self.resigned:
            return self._reply(request.upstream, (), 0.0)
        ranked = self._ranked(request.upstream)
        if not request.relayed:
            relayed = attrs.evolve(request, relayed=True)
            reply = self._ask_first(ranked[: PACING_GATEWAYS - 1], relayed)
            if reply is not None:
                return reply
        return self._grant(request, self._pacing_share(ranked))

    def evict(self, listed: Collection[str]) -> None:
        """Remove the state of upstreams and gateways that are no longer listed or used."""
        now_ms = self.clock.now_ms()
        self.board.evict(listed, now_ms)
        for upstream, pacer in list(self.pacers.items()):
            if now_ms - pacer.updated_ms >= PACER_MEMORY_MS:
                del self.pacers[upstream]
        others = self.other_gateways()
        for node in list(self.outages):
            if node not in others:
                del self.outages[node]

    def _ranked(self, upstream: str) -> list[str]:
        """Return all gateways, ordered by their preference for pacing an upstream."""
        nodes = {self.node, *self.other_gateways()}
        return sorted(nodes, key=lambda node: (zlib.crc32(f"{upstream} {node}".encode()), node))

    def _ask_first(self, nodes: Sequence[str], request: PermitRequest) -> PermitReply | None:
        """Ask the gateways in turn, up to this one; returns None if none of them answers."""
        for node in nodes:
            if node == self.node:
                if self.resigned:
                    continue
                return None
            reply = self._ask(node, request)
            if reply is not None:
                return reply
        return None

    def _ask(self, node: str, request: PermitRequest) -> PermitReply | None:
        outage = self.outages.get(node)
        if outage is not None and self.clock.now_ms() < outage.retry_at_ms:
            return None
        reply = self.ask(node, request)
        now_ms = self.clock.now_ms()
        if reply is None or reply.resigned:
            since_ms = now_ms if outage is None else outage.since_ms
            resigned = reply is not None or (outage is not None and outage.resigned)
            self.outages[node] = _Outage(since_ms, now_ms + AVOID_MS, resigned)
            return None
        self.outages.pop(node, None)
        self._merge(request.upstream, reply.per_second, reply.age_ms)
        return reply

    def _merge(self, upstream: str, per_second: float | None, age_ms: int) -> None:
        self.board.merge(upstream, Announcement(per_second, self.clock.now_ms() - age_ms))

    def _age_ms(self, upstream: str) -> int:
        announcement = self.board.announcements.get(upstream)
        return 0 if announcement is None else self.clock.now_ms() - announcement.stated_ms

    def _pacing_share(self, ranked: Sequence[str]) -> float:
        """Return the share of the limit that this gateway may grant."""
        now_ms = self.clock.now_ms()
        listed_ms = self.peers_listed_ms()
        if listed_ms is None or listed_ms < self.list_complete_ms:
            # An unlisted gateway may pace the upstream too.
            return OVERLAP_SHARE
        if now_ms < self.overlap_until_ms:
            return OVERLAP_SHARE
        first = ranked[0]
        if first == self.node:
            return 1.0
        outage = self.outages.get(first)
        if outage is None:
            return OVERLAP_SHARE
        lost = outage.resigned or now_ms - outage.since_ms >= DEPUTY_OVERLAP_MS
        return 1.0 if lost else OVERLAP_SHARE

    def _grant(self, request: PermitRequest, share: float) -> PermitReply:
        now_ms = self.clock.now_ms()
        upstream = request.upstream
        limit = self.board.limit(upstream)
        verdicts: list[Verdict] = []
        if limit is not None:
            pacer = self.pacers.get(upstream)
            if pacer is None:
                pacer = RatePacer(self.rng, limit * share, *self._new_bucket(upstream, share))
                self.pacers[upstream] = pacer
            pacer.change_rate(limit * share, now_ms)
            verdicts.extend(pacer.decide(want, now_ms) for want in request.wants)
        return self._reply(upstream, tuple(verdicts), share)

    def _new_bucket(self, upstream: str, share: float) -> tuple[int, float]:
        """Return the time from which a new token bucket fills, and its tokens at that time."""
        if share < 1.0 or self._ranked(upstream)[0] != self.node:
            # Another gateway may just have granted a burst.
            return self.clock.now_ms(), 0.0
        now_ms = self.clock.now_ms()
        since_ms = self.board.limited_since_ms.get(upstream, now_ms)
        return min(now_ms, max(since_ms, self.overlap_until_ms)), 1.0

    def _reply(self, upstream: str, verdicts: tuple[Verdict, ...], share: float) -> PermitReply:
        return PermitReply(
            per_second=self.board.limit(upstream),
            age_ms=self._age_ms(upstream),
            verdicts=verdicts,
            node=self.node,
            share=share,
        )
