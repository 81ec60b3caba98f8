"""Keeps requests under which upstreams crashed away from further upstreams."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import gevent
from gevent.event import Event

from ..clock import MS_PER_SECOND, Clock
from ..http_client import ConnectionPool, ExchangeError
from ..measures import Measures
from ..quarantine.board import CrashBoard, CrashReport, Ruling, Stakes, Verdict
from .crash_exchange import CrashExchange
from .upstreams import Upstream, UpstreamRecord, UpstreamTable

# Timeout for the check whether an upstream that closed a connection is still there. Round trips
# take at most 24 ms.
CHECK_TIMEOUT_MS = 300
# Pause before the second check of an upstream that accepts connections.
SECOND_CHECK_MS = 50
# A check also answers for connections that the same upstream closed this much later.
CHECK_VALIDITY_MS = 500
# A lost connection counts as a crash if the registration of its upstream ends within this time;
# registrations of upstreams that are silent lapse after some seconds.
GONE_AFTER_MS = 6_000
MAX_UNEXPLAINED = 50
# A failed call is answered once the other gateways know of the crash, but no later than this.
SPREAD_WAIT_MS = 300
# Longest wait of a suspect for the trial of another one, and its share of the remaining time.
TRIAL_WAIT_MS = 500
TRIAL_WAIT_SHARE = 0.25


@attrs.define
class SuspectGuard:
    """Admits requests, observes crashes and reserves the upstreams of trials."""

    clock: Clock
    table: UpstreamTable
    pool: ConnectionPool
    board: CrashBoard
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    # None if this process shares its observations with no other one.
    exchange: CrashExchange | None = None
    # Called with each crash under a request of this process.
    observed: Callable[[CrashReport], None] = lambda _report: None
    # Running trials by the incarnation of the upstream.
    reserved: Counter[str] = attrs.field(factory=Counter)
    checks: dict[str, tuple[int, gevent.Greenlet]] = attrs.field(factory=dict)
    trial_ended: Event = attrs.field(factory=Event)
    # Requests that lost their connection to an upstream which accepted others, by incarnation.
    unexplained: dict[str, list[CrashReport]] = attrs.field(factory=dict)

    # Admission

    def admit(self, request: str, content: str, service: str, left_ms: int) -> Ruling:
        """Return what may be done with a request; a suspect waits a little for running trials."""
        if not self.board.is_suspect(content):
            return Ruling(Verdict.ORDINARY)
        wait_ms = min(TRIAL_WAIT_MS, int(left_ms * TRIAL_WAIT_SHARE))
        until_ms = self.clock.now_ms() + wait_ms
        while True:
            now_ms = self.clock.now_ms()
            stakes = self.stakes(service)
            ruling = self.board.rule(content, service, stakes, now_ms)
            waits = ruling.verdict is Verdict.HOLD and self.board.trials
            if not waits or now_ms >= until_ms:
                break
            self.trial_ended.wait((until_ms - now_ms) / MS_PER_SECOND)
        if ruling.verdict is not Verdict.ORDINARY:
            self.measures.count("suspects", ruling.verdict.value)
            self.log.info(
                "suspect ruled",
                request=request,
                content=content,
                service=service,
                verdict=ruling.verdict.value,
                reason=ruling.reason,
                crashes=self._crashes(content),
                up=stakes.up,
                listed=stakes.listed,
                retry_after_ms=ruling.retry_after_ms,
            )
        return ruling

    def stakes(self, service: str) -> Stakes:
        """Return how many upstreams a service has and how many of them are up."""
        now_ms = self.clock.now_ms()
        listed = self.table.available_for(service)
        up = sum(1 for each in listed if not self.board.is_down(each.record.incarnation, now_ms))
        return Stakes(len(listed), up)

    def _crashes(self, content: str) -> list[str]:
        now_ms = self.clock.now_ms()
        return [
            f"{crash.upstream} {now_ms - crash.at_ms} ms ago, with {len(crash.contents) - 1} others"
            for crash in self.board.by_content.get(content, ())
        ]

    # Trials

    def begin(self, content: str, upstream: Upstream, ruling: Ruling) -> bool:
        """Reserve an upstream if the attempt is a trial; returns whether it is one."""
        if ruling.verdict is not Verdict.TRY_ALONE:
            return False
        self.board.begin_trial(content, upstream.record.service)
        self.reserved[upstream.record.incarnation] += 1
        return True

    def end(self, content: str, upstream: Upstream) -> None:
        """Release the upstream of a trial."""
        self.board.end_trial(content)
        self.reserved[upstream.record.incarnation] -= 1
        self.reserved += Counter()
        self.trial_ended.set()
        self.trial_ended = Event()

    def accepts(self, record: UpstreamRecord, ruling: Ruling, strictly: bool) -> bool:
        """Return whether a request should go to an upstream as far as crashes matter.

        ``strictly`` also excludes those that would only do if there are no others.
        """
        if not (self.reserved or self.board.crashes):
            return True
        trial = ruling.verdict is Verdict.TRY_ALONE
        if (trial or strictly) and self.reserved[record.incarnation]:
            return False
        if not strictly:
            return True
        known = self.table.upstreams.get(record.instance)
        if trial and known is not None and known.in_flight:
            return False
        return not self.board.is_down(record.incarnation, self.clock.now_ms())

    # Observation

    def record_success(self, content: str) -> None:
        """Note that a request was served whole, which exonerates it."""
        if not self.board.is_suspect(content):
            return
        crashes = self._crashes(content)
        report = CrashReport(content, "", "", self.clock.now_ms())
        self.board.apply(report, self.clock.now_ms())
        self.measures.count("suspects", "exonerated")
        self.log.info("suspect exonerated", content=content, crashes=crashes)
        if self.exchange is not None:
            self.exchange.publish(report)

    def record_failure(
        self, request: str, content: str, upstream: Upstream, error: ExchangeError
    ) -> None:
        """Note that an attempt failed.

        A closed connection alone proves nothing. The upstream has crashed if it also refuses new
        connections.
        """
        if not error.sent and error.refused:
            self._record_unreachable(upstream)
        if not error.closed:
            return
        record = upstream.record
        report = CrashReport(content, record.service, record.incarnation, self.clock.now_ms())
        if not self._has_crashed(upstream):
            self._remember_unexplained(report)
            return
        self._record_crash(report, request, upstream.in_flight)

    def record_gone(self, records: Iterable[UpstreamRecord]) -> None:
        """Note that upstreams are no longer listed, or that others have taken their place.

        One that ended connections shortly before, and did not say that it would leave, has crashed
        and was started again, or something else accepts its connections.
        """
        now_ms = self.clock.now_ms()
        for record in records:
            for report in self.unexplained.pop(record.incarnation, ()):
                if not record.leaving and now_ms - report.at_ms < GONE_AFTER_MS:
                    self._record_crash(report, "", 0)

    def _remember_unexplained(self, report: CrashReport) -> None:
        now_ms = self.clock.now_ms()
        for key, reports in list(self.unexplained.items()):
            if now_ms - reports[-1].at_ms >= GONE_AFTER_MS:
                del self.unexplained[key]
        found = self.unexplained.setdefault(report.upstream, [])
        found.append(report)
        del found[:-MAX_UNEXPLAINED]

    def _record_crash(self, report: CrashReport, request: str, in_flight: int) -> None:
        content = report.content
        is_new = self.board.apply(report, self.clock.now_ms())
        self.measures.count("crashes", "under a request" if content else "under an item")
        self.log.warning(
            "upstream crashed",
            request=request,
            content=content,
            upstream=_instance(report),
            service=report.service,
            in_flight=in_flight,
            crashes=self._crashes(content),
            listing=self.table.revision,
        )
        if not (is_new and content):
            return
        self.observed(report)
        if self.exchange is not None:
            self.exchange.publish(report)

    def _record_unreachable(self, upstream: Upstream) -> None:
        record = upstream.record
        report = CrashReport("", record.service, record.incarnation, self.clock.now_ms())
        self.board.apply(report, self.clock.now_ms())

    def record_answer(self, upstream: Upstream) -> None:
        """Note that an upstream answers."""
        self.board.record_alive(upstream.record.incarnation)

    def wait_until_known(self, content: str, left_ms: int) -> None:
        """Wait until the other gateways know of the crashes under a request."""
        if self.exchange is not None and self.board.is_suspect(content):
            self.exchange.flush(min(SPREAD_WAIT_MS, left_ms))

    def log_received(self, report: CrashReport) -> None:
        """Log what another gateway reported."""
        self.log.info(
            "crash reported" if report.upstream else "exoneration reported",
            content=report.content,
            upstream=_instance(report),
            age_ms=self.clock.now_ms() - report.at_ms,
            crashes=self._crashes(report.content),
        )

    def status(self) -> dict[str, int]:
        """Return the numbers of suspects and of those that are condemned."""
        return {
            "suspects": len(self.board.by_content),
            "condemned": len(self.board.condemned()),
            "crashes_forgotten": self.board.forgotten,
        }

    def _has_crashed(self, upstream: Upstream) -> bool:
        """Return whether an upstream refuses connections; asks once for all that it closed."""
        now_ms = self.clock.now_ms()
        for key, (started_ms, _check) in list(self.checks.items()):
            if now_ms - started_ms >= CHECK_VALIDITY_MS:
                del self.checks[key]
        key = upstream.record.incarnation
        if key not in self.checks:
            # A greenlet of its own, since that of a request ends when its client leaves.
            check = gevent.spawn(self._refuses_connections, upstream)
            self.checks[key] = (now_ms, check)
        return bool(self.checks[key][1].get())

    def _refuses_connections(self, upstream: Upstream) -> bool:
        address = upstream.record.address
        if self.pool.refuses(address, CHECK_TIMEOUT_MS):
            return True
        # A process that ends may close its connections before it stops to listen.
        self.clock.sleep_ms(SECOND_CHECK_MS)
        if self.pool.refuses(address, CHECK_TIMEOUT_MS):
            return True
        self.measures.count("crashes", "connection lost only")
        self.log.info("connection lost, upstream is up", upstream=upstream.record.instance)
        return False


def _instance(report: CrashReport) -> str:
    """Return the name of the upstream of a report without that of its start."""
    return report.upstream.partition("@")[0]
