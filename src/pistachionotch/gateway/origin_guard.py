"""Keeps the attempts of a call at the software version that began its stream."""

from __future__ import annotations

import attrs

from ..clock import Clock
from ..measures import Measures
from ..software.origin import Origin
from ..software.take_up import TakeUpOutcome
from .call_progress import CallProgress
from .responses import CallFailure, FailureCause
from .stream_origins import StreamOrigins, is_client_stream
from .upstreams import Upstream, UpstreamRecord

# Retry-After while the origin of a stream can't be found out because the object API is down.
UNCERTAIN_RETRY_MS = 500


@attrs.frozen
class OriginGuard:
    """Checks calls and upstreams against the origins of streams."""

    clock: Clock
    # None if no client takes up a stream.
    origins: StreamOrigins | None
    measures: Measures

    def check(self, progress: CallProgress) -> CallFailure | None:
        """Return the refusal of a stream that can't go on; otherwise set its origin."""
        call, route = progress.call, progress.route
        if self.origins is None or not is_client_stream(route):
            return None
        if not call.takes_up():
            left_ms = progress.deadline_ms - self.clock.now_ms()
            if not self.origins.wait_until_recorded(route, progress.service, left_ms):
                progress.reason = "no upstream whose software version is recorded"
            return None
        decision = self.origins.decide(call, route)
        if decision.outcome is TakeUpOutcome.UNCERTAIN:
            return CallFailure(FailureCause.NOT_RUN, decision.reason, UNCERTAIN_RETRY_MS)
        if decision.outcome is not TakeUpOutcome.GO_ON or decision.origin is None:
            return CallFailure(FailureCause.BEGIN_ANEW, decision.reason)
        progress.origin = decision.origin
        progress.service = decision.origin.service
        return None

    def may_serve(self, progress: CallProgress, record: UpstreamRecord) -> bool:
        """Return whether an upstream may serve a call as far as its software version matters."""
        if progress.origin is not None:
            return Origin(record.service, record.software) == progress.origin
        if self.origins is None or not is_client_stream(progress.route):
            return True
        return self.origins.may_begin(progress.route, record)

    def record_first_event(self, progress: CallProgress, upstream: Upstream) -> None:
        """Note which software version brings the first event of an answer."""
        origin = Origin(upstream.record.service, upstream.record.software)
        progress.origin = origin
        if self.origins is None or not is_client_stream(progress.route):
            return
        self.origins.remember(progress.call, origin)
        if progress.call.takes_up():
            self.measures.count("take_ups", TakeUpOutcome.GO_ON.value)
