"""Runner of one admitted attempt, from claiming its key to reporting its result."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod

import attrs
import gevent

from ..admission.load import RunResult
from ..clock import Clock, Deadline
from ..idempotency import claim as claims
from ..idempotency.keys import is_issued
from ..idempotency.manager import MAX_RESULT_BYTES, ClaimManager
from ..outcomes import Execution
from ..prefixes.view import PrefixCacheUsage
from ..samples.spans import SpanRecorder, VersionSpan
from ..wire.assembly import PieceCounter
from ..wire.messages import Finished, Piece, Refused, Submit
from ..wire.session import Session
from .upstream import (
    NO_VERSION,
    Upstream,
    UpstreamCompleted,
    UpstreamFailed,
    UpstreamPiece,
    call,
)

# An entry that accepts no data for this long counts as disconnected.
SEND_TIMEOUT_S = 5.0
RETAINED_PIECE_BYTES = 64 * 1024


@attrs.frozen
class AttemptEnded:
    """Tell the agent's core that an attempt has ended, and with what result."""

    attempt: str
    result: RunResult


@attrs.frozen
class AttemptProgress:
    """Tell the agent's core how many tokens a running attempt has produced so far."""

    attempt: str
    tokens: int


# Limits the messages to the core; token rates are estimated over longer times than this.
PROGRESS_INTERVAL_MS = 250


@attrs.define
class AttemptRunner:
    """Run one attempt from its admission to its final message."""

    submit: Submit
    session: Session
    upstream: Upstream
    claim_manager: ClaimManager
    clock: Clock
    deadline: Deadline
    on_progress: Callable[[AttemptProgress], None]
    may_start: Callable[[], bool] = attrs.field(default=lambda: True)
    counter: PieceCounter = attrs.field(factory=PieceCounter)
    spans: SpanRecorder = attrs.field(factory=SpanRecorder)
    body: bytearray = attrs.field(factory=bytearray)
    started_ms: int = 0
    last_progress_ms: int = 0
    first_piece_ms: int | None = None
    succeeded: bool = False
    permission_id: int | None = None
    usage: PrefixCacheUsage | None = None

    def run(self) -> None:
        """Run the attempt and send its final message."""
        self.started_ms = self.clock.now_ms()
        try:
            self.succeeded = self._run()
        except Exception as error:  # the entry needs an answer after an internal error too
            self._finish_failed(UpstreamFailed(f"{type(error).__name__}: {error}", sent=True))
            raise

    def end_message(self) -> AttemptEnded:
        """Return the message that reports the attempt's end to the core, also if it was killed."""
        now_ms = self.clock.now_ms()
        first_ms = self.first_piece_ms
        result = RunResult(
            None if first_ms is None else first_ms - self.started_ms,
            self._tokens(),
            now_ms - self.started_ms,
            self.succeeded,
        )
        return AttemptEnded(self.submit.attempt, result)

    def _run(self) -> bool:
        if self.submit.idempotent:
            return self._call_upstream()
        decision = self.claim_manager.begin(self.submit.scope, self.submit.key, self.submit.epoch)
        if not isinstance(decision, claims.RunPermitted):
            self._answer_claim(decision)
            return False
        self.permission_id = decision.permission_id
        # Checked again here because writing the claim may have taken long with a slow object API.
        expired = self.deadline.expired(self.clock)
        if expired or not self.may_start():
            self.claim_manager.abandon(self.submit.scope, self.submit.key, self.permission_id)
            self._refuse_unsent(
                "deadline passed before sending" if expired else "upstream is leaving"
            )
            return False
        self.claim_manager.mark_sending(self.submit.scope, self.submit.key, self.permission_id)
        return self._call_upstream()

    def _call_upstream(self) -> bool:
        outcome: UpstreamCompleted | UpstreamFailed | None = None
        remaining_s = self.deadline.remaining_ms(self.clock) / 1000
        # A non-idempotent call continues past its deadline so that its claim can record the result.
        limit = gevent.Timeout(remaining_s) if self.submit.idempotent else None
        try:
            if limit is not None:
                limit.start()
            outcome = call(self.upstream, self.submit, self.clock, self._emit)
        except gevent.Timeout as timeout:
            if timeout is not limit:
                raise
            outcome = UpstreamFailed("deadline passed while running", sent=True)
        finally:
            if limit is not None:
                limit.close()
        return self._finish(outcome)

    def _emit(self, piece: UpstreamPiece) -> None:
        if self.first_piece_ms is None:
            self.first_piece_ms = self.clock.now_ms()
        self.spans.add(None if piece.version == NO_VERSION else piece.version, piece.tokens)
        self._report_progress()
        keep = self.submit.retain or not self.submit.idempotent
        # Stops only after exceeding the limit, so that the claim manager can tell that the result
        # is too large to replay.
        if keep and len(self.body) <= MAX_RESULT_BYTES:
            self.body += piece.data
        sequence = self.counter.add(piece.data)
        message = Piece(
            self.submit.attempt,
            sequence,
            piece.data,
            piece.version,
            piece.tokens,
            # The first piece speaks for all.
            piece.software if sequence == 0 else "",
        )
        delivered = self.session.send_blocking(message, SEND_TIMEOUT_S)
        if not delivered and self.submit.idempotent:
            raise ConnectionError("entry is gone")

    def _report_progress(self) -> None:
        now_ms = self.clock.now_ms()
        if now_ms - self.last_progress_ms < PROGRESS_INTERVAL_MS:
            return
        self.last_progress_ms = now_ms
        self.on_progress(AttemptProgress(self.submit.attempt, self._tokens()))

    def _tokens(self) -> int:
        return sum(span.tokens for span in self.spans.spans)

    def _finish(self, outcome: UpstreamCompleted | UpstreamFailed) -> bool:
        if isinstance(outcome, UpstreamFailed):
            return self._finish_failed(outcome)
        if not self.submit.idempotent:
            result = claims.StoredResult(outcome.status, outcome.headers, bytes(self.body))
            self.claim_manager.record_response(
                self.submit.scope, self.submit.key, result, self.permission_id
            )
        self.usage = outcome.usage
        self._send_finished(outcome.status, outcome.headers, Execution.DONE, "")
        return True

    def _finish_failed(self, outcome: UpstreamFailed) -> bool:
        if not outcome.sent:
            if self.submit.idempotent:
                self.refuse(outcome.reason, Execution.NOT_RUN)
                return False
            self.claim_manager.mark_not_sent(self.submit.scope, self.submit.key, self.permission_id)
            self._refuse_unsent(outcome.reason)
            return False
        if self.submit.idempotent:
            self._send_finished(0, (), Execution.FAILED, outcome.reason, outcome.crashed)
            return False
        self.claim_manager.record_unknown_outcome(
            self.submit.scope, self.submit.key, self.permission_id
        )
        self._send_finished(0, (), Execution.UNKNOWN, outcome.reason, outcome.crashed)
        return False

    def _refuse_unsent(self, reason: str) -> None:
        """Refuse a permitted call that was not sent; an issued key has been revoked already."""
        issued = is_issued(self.submit.key)
        if not issued:
            self.claim_manager.release_abandoned(self.submit.scope, self.submit.key)
        self.refuse(reason, Execution.NOT_RUN, not_run_proved=True, revoked=issued)

    def _send_finished(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        execution: Execution,
        reason: str,
        crashed: bool = False,
    ) -> None:
        spans = self.spans.finish().value_or(())
        message = finished_message(
            self.submit.attempt, self.counter, status, headers, spans, execution, reason, self.usage
        )
        self.session.send_blocking(attrs.evolve(message, crashed=crashed), SEND_TIMEOUT_S)

    def refuse(
        self,
        reason: str,
        execution: Execution,
        retry_after_ms: int = 0,
        home: str = "",
        not_run_proved: bool = False,
        revoked: bool = False,
    ) -> None:
        """Send the final message of an attempt that produced no response."""
        self.session.send(
            Refused(
                self.submit.attempt,
                reason,
                execution,
                retry_after_ms,
                home,
                not_run_proved,
                revoked,
            )
        )

    @singledispatchmethod
    def _answer_claim(self, decision: object) -> None:
        raise TypeError(type(decision))

    @_answer_claim.register
    def _(self, decision: claims.Replay) -> None:
        result = decision.result
        if result.body:
            self._emit(UpstreamPiece(result.body, NO_VERSION, 0))
        self._send_finished(result.status, result.headers, Execution.DONE, "replayed")

    @_answer_claim.register
    def _(self, decision: claims.InProgress) -> None:
        self.refuse("the same key is in progress", Execution.UNKNOWN, decision.retry_after_ms)

    @_answer_claim.register
    def _(self, decision: claims.OutcomeUnknown) -> None:
        self.refuse(decision.reason, Execution.UNKNOWN)

    @_answer_claim.register
    def _(self, decision: claims.AttemptRefused) -> None:
        self.refuse(decision.reason, Execution.NOT_RUN, decision.retry_after_ms)

    @_answer_claim.register
    def _(self, decision: claims.KeyRevoked) -> None:
        not_run_proved = is_issued(self.submit.key)
        self.refuse(decision.reason, Execution.NOT_RUN, not_run_proved=not_run_proved, revoked=True)

    @_answer_claim.register
    def _(self, decision: claims.WrongAgent) -> None:
        self.refuse("the key belongs to another agent", Execution.NOT_RUN, 0, decision.home)


def send_body(session: Session, attempt: str, body: bytes) -> None:
    """Send a retained body in pieces, followed by the final message."""
    counter = PieceCounter()
    for start in range(0, len(body), RETAINED_PIECE_BYTES):
        data = body[start : start + RETAINED_PIECE_BYTES]
        session.send(Piece(attempt, counter.add(data), data, -1, 0))
    session.send(finished_message(attempt, counter))


def finished_message(
    attempt: str,
    counter: PieceCounter,
    status: int = 200,
    headers: tuple[tuple[str, str], ...] = (),
    spans: tuple[VersionSpan, ...] = (),
    execution: Execution = Execution.DONE,
    reason: str = "",
    usage: PrefixCacheUsage | None = None,
) -> Finished:
    """Return the final message of a response whose pieces ``counter`` has counted."""
    return Finished(
        attempt,
        counter.pieces,
        counter.size_bytes,
        counter.checksum,
        status,
        headers,
        spans,
        execution,
        reason,
        -1 if usage is None else usage.cached_tokens,
        -1 if usage is None else usage.prompt_tokens,
    )
