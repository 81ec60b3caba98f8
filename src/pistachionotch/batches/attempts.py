"""Attempts to generate one item on one engine."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

import attrs

from ..clock import Clock
from ..gateway.exchange import Exchange, UpstreamClient
from ..gateway.permits import NotPermittedError, RateLimitedError
from ..gateway.suspects import SuspectGuard
from ..gateway.upstream_protocol import RequestPurpose, UpstreamProtocol, UpstreamRequest
from ..gateway.upstreams import Upstream
from ..http_client import ExchangeError
from ..limits.pacer import PermitWant
from ..software.origin import Origin
from .model import Submission
from .progress import ItemProgress

# Timeouts for the start of a response, by the number of previous attempts in a row without one. A
# first event takes a tenth of a second, so no response within a second most likely means an engine
# that drops requests. The later timeouts allow for queues on all engines.
HEAD_TIMEOUTS_MS = (1_000, 2_000, 3_000)
# Timeout for the next event of a stream; extended for engines whose events are slow.
EVENT_TIMEOUT_MS = 1_500
# Time that an item waits for its permit at a rate-limited engine. Another engine may become free.
PERMIT_WAIT_MS = 150
# Maximum length of an item's text in characters; engines have memory for a third of this.
MAX_TEXT_CHARACTERS = 2 * 1024 * 1024
# Refusals have short bodies; no more than this is read.
MAX_REFUSAL_BYTES = 64 * 1024
UNPROCESSABLE_CONTENT = 422
OK = 200
SERVER_ERROR = 500


class _TextTooLargeError(Exception):
    """The text of an item exceeds the limit."""


class AttemptOutcome(enum.Enum):
    """Result of an attempt; the values are metric labels and go into logs."""

    DONE = "done"
    # After these, the item waits for another attempt.
    REFUSED = "refused"
    RATE_LIMITED = "rate limit"
    BROKEN = "broken"
    STALE = "stale weights"
    NOT_OWNER = "ownership not confirmed"
    FAILED = "generation failed"
    # No engine can ever generate the item.
    IMPOSSIBLE = "impossible"
    TOO_LARGE = "text too large"


@attrs.define
class ItemRunner:
    """Runs attempts to generate items."""

    clock: Clock
    client: UpstreamClient
    protocol: UpstreamProtocol
    log: Any
    # None if nothing is kept about crashes.
    suspects: SuspectGuard | None = None

    def run(
        self,
        submission: Submission,
        state: ItemProgress,
        upstream: Upstream,
        priority: int = 0,
        may_send: Callable[[], bool] | None = None,
        has_accounts: bool = False,
    ) -> AttemptOutcome:
        """Run one attempt; adds the text it receives to ``state``.

        ``may_send`` is asked right before the request is sent. With ``has_accounts``, the upstream
        is told the account of the batch, and not what the item's own headers say about it.
        """
        upstream.in_flight += 1
        exchange = None
        try:
            request = self._request(submission, state, upstream, priority, has_accounts)
            timeout_ms = HEAD_TIMEOUTS_MS[min(state.unanswered_attempts, len(HEAD_TIMEOUTS_MS) - 1)]
            state.unanswered_attempts += 1
            exchange = self.client.send_request(upstream, request, timeout_ms, True, may_send)
            state.unanswered_attempts = 0
            outcome = self._receive(submission, state, exchange)
        except RateLimitedError:
            state.unanswered_attempts = max(0, state.unanswered_attempts - 1)
            outcome = AttemptOutcome.RATE_LIMITED
        except NotPermittedError:
            state.unanswered_attempts -= 1
            outcome = AttemptOutcome.NOT_OWNER
        except _TextTooLargeError:
            outcome = AttemptOutcome.TOO_LARGE
        except (ExchangeError, ValueError) as error:
            upstream.record_failure(self.clock.now_ms())
            outcome = AttemptOutcome.BROKEN
            if self.suspects is not None and isinstance(error, ExchangeError):
                # An item is owed whatever crashes, so it never becomes a suspect.
                self.suspects.record_failure(state.item.id, "", upstream, error)
            self.log.warning(
                "attempt aborted",
                batch=submission.id,
                item=state.item.id,
                upstream=upstream.record.instance,
                reason=str(error),
                last_event=state.last_event,
            )
        finally:
            upstream.in_flight -= 1
            if exchange is not None and not exchange.connection.body_ended:
                exchange.connection.close()
        return outcome

    def _request(
        self,
        submission: Submission,
        state: ItemProgress,
        upstream: Upstream,
        priority: int,
        has_accounts: bool,
    ) -> UpstreamRequest:
        return UpstreamRequest(
            request_id=state.item.id,
            method="POST",
            target=state.item.target,
            host=submission.host,
            headers=state.item.headers,
            body=state.item.body,
            instance=upstream.record.instance,
            resume_after=state.last_event,
            purpose=RequestPurpose.ITEM,
            want=PermitWant(urgency=priority, max_wait_ms=PERMIT_WAIT_MS),
            account=submission.account if has_accounts else "",
            drops_credentials=has_accounts,
        )

    def _receive(
        self, submission: Submission, state: ItemProgress, exchange: Exchange
    ) -> AttemptOutcome:
        response = exchange.response
        upstream = exchange.upstream
        if response.not_run or response.head.status != OK:
            exchange.connection.read_body(HEAD_TIMEOUTS_MS[0], MAX_REFUSAL_BYTES)
            self.client.release(exchange)
            return self._handle_refusal(state, exchange)
        if not response.is_stream():
            raise ExchangeError("the response is no event stream", sent=True)
        if not response.versions:
            raise ExchangeError("no weight version in the response", sent=True)
        version = response.versions[-1]
        upstream.record_version(submission.model, version)
        if version < submission.min_version:
            exchange.connection.close()
            return AttemptOutcome.STALE
        started_ms = self.clock.now_ms()
        self._read_events(submission, state, exchange, version)
        self.client.release(exchange)
        now_ms = self.clock.now_ms()
        upstream.record_response(now_ms - started_ms, now_ms)
        return AttemptOutcome.DONE

    def _handle_refusal(self, state: ItemProgress, exchange: Exchange) -> AttemptOutcome:
        status = exchange.response.head.status
        if exchange.response.not_run:
            upstream = exchange.upstream
            limits = self.client.limits
            rate_limited = limits is not None and limits.limit(upstream.record) is not None
            upstream.record_engine_refusal(self.clock.now_ms(), rate_limited)
            return AttemptOutcome.REFUSED
        if status == UNPROCESSABLE_CONTENT:
            return AttemptOutcome.IMPOSSIBLE
        if status == SERVER_ERROR:
            exchange.upstream.record_attempt(False, self.clock.now_ms())
            state.failures += 1
            return AttemptOutcome.FAILED
        raise ExchangeError(f"status {status}", sent=True)

    def _read_events(
        self, submission: Submission, state: ItemProgress, exchange: Exchange, version: int
    ) -> None:
        reader = self.protocol.event_reader()
        upstream = exchange.upstream
        origin = Origin(upstream.record.service, upstream.record.software)
        previous_ms = None
        # Bytes that do not complete an event do not restart the timeout.
        waiting_since_ms = self.clock.now_ms()
        while True:
            timeout_ms = upstream.event_timeout_ms(EVENT_TIMEOUT_MS)
            left_ms = waiting_since_ms + timeout_ms - self.clock.now_ms()
            if left_ms <= 0:
                raise ExchangeError(f"no event for {timeout_ms} ms", sent=True)
            part = exchange.connection.read_part(left_ms)
            if not part:
                break
            now_ms = self.clock.now_ms()
            events = reader.feed(part)
            for event in events:
                if event.version is not None:
                    version = event.version
                    upstream.record_version(submission.model, version)
                state.add_event(event.number, event.data, version, origin)
                state.last_event_ms = now_ms
            if state.characters > MAX_TEXT_CHARACTERS:
                raise _TextTooLargeError
            if events and previous_ms is not None:
                upstream.record_event_gap((now_ms - previous_ms) / len(events), now_ms)
            if events:
                previous_ms = waiting_since_ms = now_ms
        if reader.incomplete or state.last_event is None:
            raise ExchangeError("the stream ends within or without an event", sent=True)
