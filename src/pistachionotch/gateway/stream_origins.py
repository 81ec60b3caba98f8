"""Keeps and finds the origins of client streams, so that each goes on at its software version."""

from __future__ import annotations

from collections.abc import Callable, Mapping
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
from ..software.history import Beginning, OriginHistory
from ..software.memory import StreamMemory
from ..software.origin import BegunStream, Origin
from ..software.take_up import TakeUpDecision, TakeUpFacts, TakeUpOutcome, decide_take_up
from .catalog import Catalog, Route, RouteKind
from .limit_exchange import post_to_gateway
from .origin_store import OriginStore
from .responses import ClientCall
from .upstreams import UpstreamRecord, UpstreamTable

STREAMS_PATH = "/streams/origin"
# Interval of passes without an event that triggers one earlier.
PASS_INTERVAL_MS = 1_000
# Pause after a failed read or write of the object API.
RETRY_PAUSE_MS = 500
# All gateways together use at most this share of the object API's rate for their streams, and one
# gateway writes no more often than this.
WRITE_RATE_SHARE = 0.15
MIN_SAVE_INTERVAL_MS = 100
# A stream that other gateways began may not have been written yet.
SAVE_SLACK_MS = 150
# Timeout for asking other gateways while the object API can't be read.
PEER_TIMEOUT_MS = 300
# Wait for the history to get the software version of a route's servers.
RECORD_WAIT_MS = 300
# Time for which a client without a time budget may take up its stream.
UNLIMITED_BUDGET_MS = 10 * 60_000
# Clocks of VMs jump by seconds.
CLOCK_MARGIN_MS = 10_000
# Interval at which the holder of the orders lease marks versions that have left in the history,
# and at which the others read it while it leaves more than one origin possible.
MAINTENANCE_INTERVAL_MS = 60_000


@attrs.define
class StreamOrigins:
    """The origins of streams, as far as this gateway needs them."""

    clock: Clock
    store: OriginStore
    table: UpstreamTable
    catalog: Callable[[], Catalog | None]
    # Addresses of the other gateways by node.
    other_gateways: Callable[[], Mapping[str, Address]]
    pool: ConnectionPool
    log: Any
    # Write calls per second that the object API serves for all gateways; 0 if unknown.
    store_writes_per_s: float = 0.0
    holds_lease: Callable[[], bool] = lambda: False
    measures: Measures = attrs.field(factory=Measures)
    memory: StreamMemory = attrs.field(factory=StreamMemory)
    # Beginnings that are in the stored history and have listed servers.
    recorded: frozenset[Beginning] = frozenset()
    # Origins whose streams need a record, as of the last read of the history.
    ambiguous: frozenset[Origin] = frozenset()
    # State of the memory that is stored.
    saved_changes: int = 0
    saved_ms: int = 0
    maintained_ms: int = 0
    # Revision of the listing and version of the configuration that ``recorded`` belongs to.
    seen: tuple[int, int] = (-1, -1)
    formerly_listed: frozenset[Origin] = frozenset()
    # Time at which the listing of the upstreams was last known to be current.
    listed_ms: Callable[[], int | None] = lambda: None
    wake: Event = attrs.field(factory=Event)
    changed: Event = attrs.field(factory=Event)

    # Beginning streams

    def may_begin(self, route: Route, upstream: UpstreamRecord) -> bool:
        """Return whether a client's stream may begin at an upstream."""
        return _beginning(route, upstream) in self.recorded

    def wait_until_recorded(self, route: Route, service: str, most_ms: int) -> bool:
        """Wait until streams may begin at some upstream of a service; returns whether they may."""
        deadline_ms = self.clock.now_ms() + min(RECORD_WAIT_MS, most_ms)
        while True:
            changed = self.changed
            upstreams = self.table.available_for(service)
            if any(self.may_begin(route, each.record) for each in upstreams):
                return True
            left_ms = deadline_ms - self.clock.now_ms()
            if not upstreams or left_ms <= 0:
                return False
            self.wake.set()
            changed.wait(left_ms / MS_PER_SECOND)

    def remember(self, call: ClientCall, origin: Origin) -> None:
        """Remember a stream whose first event is about to be sent to its client."""
        now_ms = self.clock.now_ms()
        budget_ms = UNLIMITED_BUDGET_MS if call.budget_ms is None else call.budget_ms
        stream = BegunStream(origin, now_ms, call.received_ms + budget_ms + CLOCK_MARGIN_MS)
        stream_id = call.begun_by if call.takes_up() else call.request_id
        if stream_id:
            self.memory.remember(stream_id, stream)
        if origin in self.ambiguous:
            self.wake.set()

    # Taking streams up

    def decide(self, call: ClientCall, route: Route) -> TakeUpDecision:
        """Return whether a stream that a client takes up goes on, and at which origin."""
        started_ms = self.clock.now_ms()
        serving = self._serving(route)
        facts = TakeUpFacts(
            remembered=self.memory.find(call.begun_by, started_ms),
            serving=serving,
            formerly_listed=self._note_listed(),
            listing_age_ms=started_ms - (self.listed_ms() or started_ms),
            now_ms=started_ms,
        )
        if facts.remembered is None:
            facts = self._read_facts(call, facts)
        decision = decide_take_up(facts)
        if decision.outcome is not TakeUpOutcome.GO_ON:
            self.measures.count("take_ups", decision.outcome.value)
        log = self.log.info if decision.outcome is TakeUpOutcome.GO_ON else self.log.warning
        log(
            "take-up decided",
            request=call.request_id,
            route=route.name,
            begun_by=call.begun_by,
            last_event=call.resume_after,
            begun_with=str(decision.origin.software) if decision.origin else "",
            service=str(decision.origin.service) if decision.origin else "",
            serving=sorted(origin.software for origin in serving),
            known_by=decision.known_by.value,
            age_ms=decision.age_ms,
            possible=None if facts.possible is None else len(facts.possible),
            listing=self.table.revision,
            listing_age_ms=facts.listing_age_ms,
            outcome=decision.outcome.value,
            reason=decision.reason,
            took_ms=self.clock.now_ms() - started_ms,
        )
        return decision

    def _note_listed(self) -> frozenset[Origin]:
        """Return all origins that have been listed since the start of this process."""
        listed = {
            Origin(each.record.service, each.record.software)
            for each in self.table.upstreams.values()
        }
        self.formerly_listed |= listed
        return self.formerly_listed

    def _serving(self, route: Route) -> frozenset[Origin]:
        found = set()
        for share in route.shares:
            for upstream in self.table.available_for(share.service):
                found.add(Origin(share.service, upstream.record.software))
        return frozenset(found)

    def _read_facts(self, call: ClientCall, facts: TakeUpFacts) -> TakeUpFacts:
        """Add what the object API or else the other gateways know of a stream."""
        path = call.target.partition("?")[0]
        for attempt in (1, 2):
            records = self.store.read_all()
            if records is None:
                return attrs.evolve(facts, told=self._ask_gateways(call.begun_by))
            possible = records.history.possible_origins(call.host.lower(), path)
            recorded = records.streams.get(call.begun_by) if call.begun_by else None
            facts = attrs.evolve(facts, possible=possible, recorded=recorded)
            if recorded is not None or len(possible) <= 1 or not call.begun_by or attempt == 2:
                break
            # A gateway that lives writes the stream soon.
            self.clock.sleep_ms(self.save_interval_ms() + SAVE_SLACK_MS)
        return facts

    def _ask_gateways(self, stream_id: str) -> BegunStream | None:
        """Return the stream as another gateway remembers it."""
        if not stream_id:
            return None
        body = cbor2.dumps(stream_id)
        requests = [
            gevent.spawn(
                post_to_gateway, self.pool, address, STREAMS_PATH, body, PEER_TIMEOUT_MS, self.log
            )
            for address in self.other_gateways().values()
        ]
        gevent.joinall(requests, timeout=PEER_TIMEOUT_MS / MS_PER_SECOND)
        now_ms = self.clock.now_ms()
        for request in requests:
            if not request.value:
                continue
            try:
                reply = load_cbor(request.value)
                if reply is None:
                    continue
                service, software, age_ms, left_ms = reply
                origin = Origin(str(service), str(software))
                return BegunStream(origin, now_ms - int(age_ms), now_ms + int(left_ms))
            except MALFORMED as error:
                self.log.warning("malformed origin of a stream", error=repr(error))
        return None

    def answer(self, body: bytes) -> bytes:
        """Answer another gateway's question for a stream; raises one of ``MALFORMED``."""
        now_ms = self.clock.now_ms()
        stream = self.memory.find(str(load_cbor(body)), now_ms)
        if stream is None:
            return cbor2.dumps(None)
        return cbor2.dumps(
            [
                stream.origin.service,
                stream.origin.software,
                now_ms - stream.begun_ms,
                stream.expires_ms - now_ms,
            ]
        )

    # Keeping records

    def save_interval_ms(self) -> int:
        """Return the shortest time between two writes of this gateway's streams."""
        if self.store_writes_per_s <= 0:
            return MIN_SAVE_INTERVAL_MS
        gateways = len(self.other_gateways()) + 1
        share_ms = gateways * MS_PER_SECOND / (self.store_writes_per_s * WRITE_RATE_SHARE)
        return max(MIN_SAVE_INTERVAL_MS, int(share_ms))

    def run(self) -> None:
        """Keep the records current forever."""
        while True:
            self.wake.wait(PASS_INTERVAL_MS / MS_PER_SECOND)
            self.wake.clear()
            if not self.step():
                self.clock.sleep_ms(RETRY_PAUSE_MS)

    def step(self) -> bool:
        """Record what has changed; returns whether the object API confirmed it."""
        now_ms = self.clock.now_ms()
        self.memory.evict_expired(now_ms)
        if self.memory.overflowed:
            self.log.warning("too many streams to remember", forgotten=self.memory.overflowed)
            self.memory.overflowed = 0
        if not self._record_beginnings():
            return False
        if now_ms - self.maintained_ms >= MAINTENANCE_INTERVAL_MS and self.recorded:
            self.maintained_ms = now_ms
            self._maintain_history()
        return self._save_streams()

    def _record_beginnings(self) -> bool:
        catalog = self.catalog()
        if catalog is None:
            return True
        seen = (self.table.revision, catalog.version)
        if seen == self.seen:
            return True
        self._note_listed()
        needed = self._needed_beginnings(catalog)
        # A version that left and comes back may have lapsed from the history.
        self.recorded &= needed
        if needed - self.recorded:
            history = self.store.add_to_history(needed)
            if history is None:
                return False
            self._apply_history(history)
            added = needed - self.recorded
            self.recorded = needed
            self.log.info(
                "software versions recorded",
                versions=sorted(
                    {f"{each.origin.service} {each.origin.software}" for each in added}
                ),
                possible=len(history.absent_since_ms),
                ambiguous=len(self.ambiguous),
                listing=seen[0],
                catalog=seen[1],
            )
        self.seen = seen
        self.changed.set()
        self.changed = Event()
        return True

    def _needed_beginnings(self, catalog: Catalog) -> frozenset[Beginning]:
        """Return the beginnings that the routes and upstreams allow now."""
        found = set()
        for route in catalog.routes:
            if not is_client_stream(route):
                continue
            for share in route.shares:
                for upstream in self.table.available_for(share.service):
                    found.add(_beginning(route, upstream.record))
        return frozenset(found)

    def _apply_history(self, history: OriginHistory) -> None:
        ambiguous = history.ambiguous_origins()
        if ambiguous - self.ambiguous:
            # The streams that began before need a record from now on.
            self.saved_changes = -1
        self.ambiguous = ambiguous

    def _maintain_history(self) -> None:
        listed = {
            Origin(each.record.service, each.record.software)
            for each in self.table.upstreams.values()
        }
        now_ms = self.store.unix_ms()
        holds_lease = self.holds_lease()
        if not (holds_lease or self.ambiguous):
            return
        history = self.store.change_history(
            lambda found: holds_lease and found.update_absent(listed, now_ms)
        )
        if history is not None:
            self._apply_history(history)

    def _save_streams(self) -> bool:
        if not self.ambiguous or self.memory.changes == self.saved_changes:
            return True
        wait_ms = self.saved_ms + self.save_interval_ms() - self.clock.now_ms()
        if wait_ms > 0:
            self.clock.sleep_ms(wait_ms)
        changes = self.memory.changes
        self.saved_ms = self.clock.now_ms()
        if not self.store.save_streams(self.memory, self.ambiguous):
            return False
        self.saved_changes = changes
        return True


def is_client_stream(route: Route) -> bool:
    """Return whether clients may take up the responses of a route."""
    return route.resumable and route.kind is not RouteKind.BATCH


def _beginning(route: Route, upstream: UpstreamRecord) -> Beginning:
    return Beginning(route.host, route.prefix, Origin(upstream.service, upstream.software))
