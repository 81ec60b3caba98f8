"""Log lines and measures of the decisions about calls."""

from __future__ import annotations

from typing import Any

import attrs

from ..clock import Clock
from ..measures import Measures
from .call_progress import CallProgress
from .load_balancing import SelectedUpstream
from .responses import FailureCause
from .upstreams import Upstream, UpstreamTable


@attrs.frozen
class CallLog:
    """Logs and counts placements, failures and answers of calls."""

    clock: Clock
    table: UpstreamTable
    log: Any
    measures: Measures
    zone_spillover: bool = False

    def placed(self, progress: CallProgress, choice: SelectedUpstream) -> None:
        """Log the upstream of an attempt."""
        call, upstream = progress.call, choice.upstream
        distance = choice.distance.name.lower()
        if self.zone_spillover:
            self.measures.count("call_placements", distance)
        left = {}
        if choice.left_because:
            self.measures.count("calls_left_zone", choice.left_because)
            left = {"distance": distance, "left_zone_because": choice.left_because}
        self.log.info(
            "call placed",
            request=call.request_id,
            route=progress.route.name,
            upstream=upstream.record.instance,
            software=upstream.record.software,
            content=call.content,
            verdict=progress.ruling.verdict.value,
            begun_by=call.begun_by,
            begun_with=progress.origin.software if progress.origin is not None else "",
            resume_after=call.resume_after,
            expected_ms=round(choice.expected_ms),
            in_flight=upstream.in_flight,
            listing=self.table.revision,
            candidates=len(self.table.available_for(progress.service)),
            limit=self.table.rate_limits.limit(upstream.record),
            left_ms=progress.deadline_ms - self.clock.now_ms(),
            reason=choice.reason,
            **({"account": call.account} if call.account else {}),
            **left,
        )

    def failed(
        self,
        progress: CallProgress,
        upstream: Upstream,
        reason: str,
        may_have_run: bool,
        closed: bool = False,
    ) -> None:
        """Log a failed attempt; ``closed`` if the upstream ended the connection."""
        self.measures.count("attempts_failed", "may have run" if may_have_run else "not run")
        self.log.warning(
            "attempt failed",
            request=progress.call.request_id,
            content=progress.call.content,
            upstream=upstream.record.instance,
            reason=reason,
            may_have_run=may_have_run,
            closed=closed,
            in_flight=upstream.in_flight,
            left_ms=progress.deadline_ms - self.clock.now_ms(),
        )

    def answered(
        self, progress: CallProgress, upstream: Upstream, status: int, started_ms: int
    ) -> None:
        """Log an upstream's whole answer to an attempt."""
        now_ms = self.clock.now_ms()
        total_ms = now_ms - progress.call.received_ms
        self.measures.time("calls", progress.route.kind, total_ms)
        self.log.info(
            "call answered",
            request=progress.call.request_id,
            upstream=upstream.record.instance,
            status=status,
            attempt_ms=now_ms - started_ms,
            total_ms=total_ms,
            attempts=len(progress.tried),
        )

    def given_up(self, progress: CallProgress, cause: FailureCause) -> None:
        """Log a call that ends without an upstream's answer."""
        self.measures.count("calls_given_up", cause.value)
        self.log.warning(
            "call given up",
            request=progress.call.request_id,
            route=progress.route.name,
            cause=cause.value,
            reason=progress.reason,
            attempts=len(progress.tried),
            listing=self.table.revision,
            total_ms=self.clock.now_ms() - progress.call.received_ms,
        )
