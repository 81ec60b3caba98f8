"""Tasks that carry out the duties of the gateways at the one that holds their lease."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure

from ..clock import Clock
from ..exchange.service import StateExchange
from ..gateway.duty_holder import DutyHolder
from ..malformed import MALFORMED, describe
from ..measures import Measures
from ..objects.api import ObjectStore, StoredObject, StoreRejected, VersionConflict, WriteAmbiguous
from ..objects.read_back import put_with_read_back
from ..objects.values import ValueLimit
from .client import DutyAnswer, DutyClient, UsageReport
from .true_time import MIN_GATEWAYS, TrueTime
from .usage_counts import Counts, PublishedCounts
from .usage_record import UsageRecord
from .usage_reports import UsageReports, add_counts, lagging

USAGE_KEY = "duties/usage"
USAGE_TOPIC = "usage"
STEP_INTERVAL_MS = 100
# Pause after a failed call of the store.
STORE_RETRY_MS = 500
# Time that a new holder waits for the counts and the clocks of the others.
CATCH_UP_MS = 3_000
# A gateway is waited for that has published something in this time and two periods.
PATIENCE_MS = 2_000


@attrs.define
class UsageTasks:
    """Fixes and reports the usage of each window while this gateway holds the lease."""

    clock: Clock
    rng: random.Random
    holder: DutyHolder
    store: ObjectStore
    limit: ValueLimit
    exchange: StateExchange
    time: TrueTime
    client: DutyClient
    reports: UsageReports
    # Number of gateways, this one included, and the longest time between two messages of one.
    gateway_count: Callable[[], int]
    publish_period_ms: Callable[[], int]
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    # Fence of the lease for which the record was read, and since when it is held.
    fence: int | None = None
    took_over_ms: int = 0
    retry_ms: int = 0
    # The last window that was fixed when the others were last told what is fixed.
    told_window: int = -1
    # The last window reported with success; -1 before the first.
    reported_window: int = -1

    def fix_forever(self) -> None:
        """Fix the counts of each window in the store as soon as it is closed."""
        while True:
            self.fix_windows()
            self.clock.sleep_ms(STEP_INTERVAL_MS)

    def send_forever(self) -> None:
        """Send the reports that are due."""
        while True:
            self.send_report()
            self.clock.sleep_ms(STEP_INTERVAL_MS)

    def fix_windows(self) -> None:
        """Run one step of ``fix_forever``."""
        if not self.holder.holds_lease():
            self.fence = None
            self.reports.forget()
            return
        if self.fence != self.holder.fence:
            self.fence = self.holder.fence
            self.took_over_ms = self.clock.now_ms()
            self.reports.forget()
        if self.clock.now_ms() < self.retry_ms:
            return
        if not self.reports.loaded and not self._load():
            return
        for window in self.reports.expire():
            self._count("given up")
            self.log.error("usage not reported", window=window, reason="no success in time")
        if not self._may_record() or not self.reports.is_due():
            return
        published = self._published()
        if not self._has_caught_up(list(published.values())):
            return
        if self.reports.version is None:
            self._continue_without_record(list(published.values()))
        patience_ms = PATIENCE_MS + 2 * self.publish_period_ms()
        counts = list(published.values())
        missing = len({process.rpartition("/")[0] for process in published}) < self.gateway_count()
        if windows := self.reports.closable_windows(counts, patience_ms, missing):
            self._fix(self._totals(windows, published), published)

    def _may_record(self) -> bool:
        """Let the record name this holder before it sends what former ones have fixed.

        The fence in the record was used for reports, also if the lease was deleted since and began
        again with a lower one.
        """
        fence, node = self.holder.fence, self.holder.node
        used_fence = self.reports.used_fence(fence, node)
        if used_fence is not None:
            self.holder.exceed_fence(used_fence)
            return False
        if self.reports.version is None or self.reports.is_claimed(fence, node):
            return True
        if not self.reports.unsettled():
            return True
        return self._store({})

    def _has_caught_up(self, published: list[PublishedCounts]) -> bool:
        """Return whether this holder has the counts and the clocks of the other gateways.

        With a wrong time, it would fix a window before its end; it waits until that is urgent.
        """
        if self.gateway_count() >= MIN_GATEWAYS and not self.time.compared:
            return self.reports.is_urgent(published)
        if self.clock.now_ms() - self.took_over_ms >= CATCH_UP_MS:
            return True
        received_ms = self.exchange.caught_up_ms.get(USAGE_TOPIC)
        return received_ms is not None and received_ms >= self.took_over_ms

    def _published(self) -> dict[str, PublishedCounts]:
        """Return the published counts by gateway and process; what is packed is not yet checked."""
        return {
            f"{origin.node}/{origin.incarnation}": PublishedCounts(*value)
            for origin, value in self.exchange.board.values(USAGE_TOPIC).items()
        }

    def _totals(
        self, windows: list[int], published: dict[str, PublishedCounts]
    ) -> dict[int, Counts]:
        """Return the counts of some windows over all processes whose values are well-formed."""
        totals: dict[int, Counts] = {window: {} for window in windows}
        for process, each in published.items():
            try:
                add_counts(totals, each)
            except MALFORMED as error:
                self._count("malformed counts")
                self.log.error("malformed usage counts", process=process, error=describe(error))
            # Those of 10,000 accounts take some ms for each window.
            self.clock.sleep_ms(0)
        return totals

    def _load(self) -> bool:
        read = self.store.get(USAGE_KEY)
        if isinstance(read, Failure):
            self._store_failed("usage record not read", read.failure())
            return False
        self._adopt(read.unwrap())
        return True

    def _adopt(self, stored: StoredObject | None) -> None:
        if stored is None:
            # If it was deleted, what this process knows of it is stored again.
            self.reports.adopt(None, None)
            return
        try:
            self.reports.adopt(UsageRecord.from_bytes(stored.value), stored.version)
        except MALFORMED as error:
            self._count("malformed record")
            self.log.error("malformed usage record", error=describe(error))
            self.reports.adopt_malformed(stored.version)
            return
        self.log.info(
            "usage record read",
            last_window=self.reports.record.last_window if self.reports.record else -1,
            unsettled=self.reports.unsettled(),
            fence=self.fence,
        )

    def _continue_without_record(self, published: list[PublishedCounts]) -> None:
        if self.reports.continue_without_record(published):
            self._count("missing record")
            self.log.error("usage record missing", last_skipped=self.reports.last_fixed())

    def _fix(self, windows: dict[int, Counts], published: dict[str, PublishedCounts]) -> None:
        """Store the counts of windows; only what is known to be stored is sent."""
        reports = self.reports
        former = reports.record
        if former is not None and min(windows) > former.last_window + 1:
            self.log.error(
                "usage windows skipped", first=former.last_window + 1, last=min(windows) - 1
            )
        if not self._store(windows):
            return
        for window, counts in windows.items():
            self._count("fixed")
            self.log.info(
                "usage fixed",
                window=window,
                accounts=len(counts),
                total=sum(counts.values()),
                gateways=len(published),
                incomplete=lagging(published, window, reports.window_ms),
                fence=self.fence,
            )

    def _store(self, windows: dict[int, Counts]) -> bool:
        """Store the record with further windows; returns whether it is known to be stored."""
        reports = self.reports
        record = reports.extended(windows, self.holder.fence, self.holder.node)
        while True:
            token = f"{self.rng.getrandbits(64):016x}"
            value = record.to_bytes(token)
            if len(record.windows) > 1 and not self.limit.allows(value):
                record = record.without_oldest()
                continue
            written = put_with_read_back(self.store, USAGE_KEY, value, reports.version, token)
            if not isinstance(written, Failure):
                reports.adopt(record, written.unwrap().version)
                return True
            error = written.failure()
            if not isinstance(error, StoreRejected) or len(record.windows) <= 1:
                self._handle_failed_write(error)
                return False
            # The settings may state no limit of the size, or one that is too high.
            record = record.without_oldest()

    def _handle_failed_write(self, error: Any) -> None:
        if isinstance(error, VersionConflict):
            self._count("conflict")
            self._adopt(error.current)
            return
        if isinstance(error, WriteAmbiguous):
            # It may be stored or still be on its way; what is read next decides.
            self.reports.forget()
        if isinstance(error, StoreRejected):
            self._count("rejected record")
        self._store_failed("usage record not written", error)

    def _store_failed(self, event: str, error: Any) -> None:
        self.retry_ms = self.clock.now_ms() + STORE_RETRY_MS
        self.log.warning(event, reason=str(error), fence=self.fence)

    def send_report(self) -> None:
        """Run one step of ``send_forever``."""
        if not self.holder.may_act() or self.fence != self.holder.fence:
            return
        self._tell_fixed()
        report = self.reports.next_report()
        fence = self.holder.fence
        if report is None or not self.reports.is_claimed(fence, self.holder.node):
            return
        attempts = self.reports.begin(report.window)
        answer = self.client.report_usage(
            report, self.holder.node, fence, lambda: self._may_send(fence)
        )
        self._count(answer.value)
        if answer is DutyAnswer.REFUSED and not self._holds(fence):
            # Perhaps refused because of the fence, which is no statement on the report.
            answer = DutyAnswer.NO_ANSWER
        self.reports.answered(report.window, answer)
        self._log_answer(report, answer, attempts, fence)

    def _tell_fixed(self) -> None:
        """Tell the watchers which windows are fixed, before the report of a new one is sent.

        If the record is deleted and this holder dies at once, the next one must not fix them again.
        If no watcher answers, the record alone has to prevent that.
        """
        last_fixed = self.reports.last_fixed()
        if last_fixed <= self.told_window:
            return
        self.exchange.step()
        self.told_window = last_fixed

    def _holds(self, fence: int) -> bool:
        return self.holder.holds_lease() and self.holder.fence == fence

    def _may_send(self, fence: int) -> bool:
        if not self.holder.may_act(fence):
            return False
        self.holder.record_act()
        return True

    def _log_answer(
        self, report: UsageReport, answer: DutyAnswer, attempts: int, fence: int
    ) -> None:
        fields = {
            "window": report.window,
            "accounts": len(report.counts),
            "total": sum(report.counts.values()),
            "attempts": attempts,
            "fence": fence,
        }
        if answer is DutyAnswer.DONE:
            self.reported_window = max(self.reported_window, report.window)
            self.log.info("usage reported", **fields)
        elif answer is DutyAnswer.REFUSED:
            self.log.error("usage permanently refused", **fields)
        else:
            self.log.warning("usage report unanswered", answer=answer.value, **fields)

    def _count(self, outcome: str) -> None:
        self.measures.count("usage_reports", outcome)
