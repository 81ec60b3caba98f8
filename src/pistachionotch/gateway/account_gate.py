"""Sharing of services among accounts in one gateway: counts, decisions, log lines and exchange."""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from ..admission.account_shares import (
    NO_PLACE,
    WITHIN_SHARE,
    AccountAdmission,
    Admit,
    Demand,
    Refuse,
)
from ..admission.account_use import AccountUse
from ..admission.call_precedence import ArrivingCall
from ..admission.room_exchange import NoExchange, RoomExchange
from ..admission.room_totals import FleetDemands, read_room_value, room_value
from ..clock import Clock
from ..measures import Measures
from .call_progress import CallProgress
from .load_balancing import NoCapacity
from .upstream_protocol import RequestPurpose

# Interval at which this gateway's numbers are published and the fleet's are read.
EXCHANGE_PERIOD_MS = 500
# Older numbers of the fleet are not used; shares then follow from this gateway's own numbers.
MAX_TOTALS_AGE_MS = 5_000
# Calls without an account share as one account while calls with accounts arrive, and for this time
# after the last one.
ACTIVE_MS = 10_000
# A call with less time than this part of the usual duration of its route's calls can't be served.
LEAST_TIME_SHARE = 0.5
DURATION_WEIGHT = 0.1


@attrs.define
class AccountGate:
    """Decides which calls of this gateway may be sent while their service is nearly full.

    Without calls that have an account, it does nothing.
    """

    clock: Clock
    rng: random.Random
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    exchange: RoomExchange = attrs.field(factory=NoExchange)
    use: AccountUse = attrs.field(init=False)
    admissions: dict[str, AccountAdmission] = attrs.field(factory=dict)
    published: Mapping[str, Mapping[str, Demand]] = attrs.field(factory=dict)
    totals: Mapping[str, Mapping[str, Demand]] = attrs.field(factory=dict)
    # When the totals were computed; None if there are none.
    totals_from_ms: int | None = None
    # Time until which calls without an account take part.
    active_until_ms: int | None = None
    # Usual duration of calls by route.
    durations_ms: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.use = AccountUse(self.clock)

    def run(self) -> None:
        """Exchange numbers with the other gateways; never returns."""
        while True:
            self.clock.sleep_ms(EXCHANGE_PERIOD_MS)
            self.refresh()

    def refresh(self) -> None:
        """Publish this gateway's numbers, read the fleet's and drop what is outdated."""
        if self.active_until_ms is None:
            return
        self.published = {service: self.use.demands(service) for service in self.use.accounts}
        self.exchange.publish(room_value(self.published))
        received = self.exchange.totals()
        self.totals, self.totals_from_ms = {}, None
        if received is not None and received.age_ms <= MAX_TOTALS_AGE_MS:
            self._read(received.value, received.age_ms)
        for admission in self.admissions.values():
            admission.evict()

    def _read(self, value: Any, age_ms: int) -> None:
        try:
            self.totals = read_room_value(value)
        except ValueError as error:
            self.measures.count("room_totals", "malformed")
            self.log.error("malformed demands of the fleet", error=str(error))
            return
        self.totals_from_ms = self.clock.now_ms() - age_ms

    def age_ms(self) -> int | None:
        """Return the age of the fleet's numbers, None if only this gateway's are used."""
        if self.totals_from_ms is None:
            return None
        return self.clock.now_ms() - self.totals_from_ms

    def refusal(self, progress: CallProgress, left_ms: int) -> NoCapacity | None:
        """Return why a call must not be sent now; None if it may, then also in later attempts."""
        if progress.share_ruling is not None or progress.tried or not self._applies(progress):
            return None
        admission = self._admission(progress.service)
        call = self._arriving(progress, left_ms)
        ruling = admission.decide(call, self._demands(progress.service))
        progress.share_ruling = ruling
        if isinstance(ruling, Admit):
            return None
        self._record_refusal(progress, ruling)
        return NoCapacity(ruling.reason, ruling.retry_after_ms)

    def record_full(self, progress: CallProgress) -> None:
        """Record that an upstream rejected a call, or that all upstreams were known to do so."""
        progress.found_full = True
        if self._applies(progress):
            self._admission(progress.service).record_full()

    def retry_after_ms(self, progress: CallProgress) -> int | None:
        """Return when a call should return that failed without having run."""
        former = progress.share_ruling
        # A rate limit tells by itself when to return, and it may be later.
        if isinstance(former, Refuse) or not progress.found_full or progress.rate_limited:
            return progress.retry_after_ms
        if not self._applies(progress):
            return progress.retry_after_ms
        admission = self._admission(progress.service)
        call = self._arriving(progress, 0)
        if former is None:
            # The call found no upstream to decide about.
            admission.precedence.record_arrival(call)
        elif former.reason == WITHIN_SHARE:
            admission.refund(call)
        ruling = admission.refuse(call, self._demands(progress.service), NO_PLACE)
        self._record_refusal(progress, ruling)
        return ruling.retry_after_ms

    def begin(self, progress: CallProgress) -> None:
        """Count an attempt that takes a slot."""
        if self._applies(progress) and progress.slot_since_ms is None:
            progress.slot_since_ms = self.clock.now_ms()
            self.use.begin(progress.service, progress.call.account, progress.route.priority)

    def end(self, progress: CallProgress, served: bool) -> None:
        """Count the end of an attempt; ``served`` if an upstream answered it."""
        since_ms, progress.slot_since_ms = progress.slot_since_ms, None
        if since_ms is None:
            return
        duration_ms = self.clock.now_ms() - since_ms if served else None
        self.use.end(progress.service, progress.call.account, duration_ms)
        if duration_ms is None:
            return
        name = progress.route.name
        usual_ms = self.durations_ms.get(name, float(duration_ms))
        self.durations_ms[name] = usual_ms + DURATION_WEIGHT * (duration_ms - usual_ms)
        self._admission(progress.service).record_sent(self._arriving(progress, 0))

    def counted(self, progress: CallProgress, parts: Iterator[bytes]) -> Iterator[bytes]:
        """Return the parts of a stream, whose end also ends the use of its slot."""
        return _CountedParts(self, progress, parts)

    def begin_item(self, service: str, account: str, priority: int) -> None:
        """Count a batch item that takes a slot."""
        if account:
            self._activate()
            self.use.begin(service, account, priority)

    def end_item(self, service: str, account: str) -> None:
        """Count the end of a batch item that took a slot."""
        if account:
            self.use.end(service, account, None)

    def slots_in_use(self, service: str, account: str) -> float:
        """Return the slots of a service that an account uses now in the whole fleet."""
        others = self._demands(service).others(account)
        return self.use.slots_in_use(service, account) + others.in_flight

    def _activate(self) -> None:
        self.active_until_ms = self.clock.now_ms() + ACTIVE_MS

    def _applies(self, progress: CallProgress) -> bool:
        """Return whether a call takes part; reward calls belong to items, which stay owed."""
        if progress.call.purpose is RequestPurpose.REWARD:
            return False
        if progress.call.account:
            self._activate()
            return True
        return self.active_until_ms is not None and self.clock.now_ms() < self.active_until_ms

    def _admission(self, service: str) -> AccountAdmission:
        found = self.admissions.get(service)
        if found is None:
            found = self.admissions[service] = AccountAdmission(self.clock, self.rng)
        return found

    def _demands(self, service: str) -> FleetDemands:
        age_ms = self.age_ms()
        if age_ms is None or age_ms > MAX_TOTALS_AGE_MS:
            return FleetDemands(self.use, service)
        return FleetDemands(
            self.use, service, self.published.get(service, {}), self.totals.get(service, {})
        )

    def _arriving(self, progress: CallProgress, left_ms: int) -> ArrivingCall:
        usual_ms = self.durations_ms.get(progress.route.name)
        return ArrivingCall(
            account=progress.call.account,
            content=progress.call.content,
            left_ms=left_ms,
            expected_ms=None if usual_ms is None else usual_ms * LEAST_TIME_SHARE,
            route=progress.route.name,
            budget_ms=progress.call.budget_ms,
            session=progress.call.session,
        )

    def _record_refusal(self, progress: CallProgress, ruling: Refuse) -> None:
        call, service = progress.call, progress.service
        self.use.refuse(service, call.account, progress.route.priority)
        self.measures.count("calls_refused", ruling.reason)
        self.log.info(
            "call refused",
            request=call.request_id,
            account=call.account,
            service=service,
            reason=ruling.reason,
            share=round(ruling.share, 2),
            use=round(ruling.use, 2),
            wanted=round(ruling.wanted, 2),
            age_ms=self.age_ms(),
            passing=round(self._admission(service).passing_share(), 2),
            retry_ms=ruling.retry_after_ms,
        )


@attrs.define
class _CountedParts:
    """An iterator over the parts of a stream that takes a slot until it ends or is closed."""

    gate: AccountGate
    progress: CallProgress
    rest: Iterator[bytes]

    def __iter__(self) -> _CountedParts:
        return self

    def __next__(self) -> bytes:
        try:
            return next(self.rest)
        except BaseException:
            self.gate.end(self.progress, served=True)
            raise

    def close(self) -> None:
        """Release the stream."""
        self.gate.end(self.progress, served=True)
        self.rest.close()  # type: ignore[attr-defined]
