"""Claim book: decides whether a non-idempotent call may be sent to the upstream.

Why no call runs twice, although memory is bounded. A run is permitted in two cases only:
(1) An issued key of this incarnation has no record and lies above the floor. Every such key that
was ever sent has a record, and evicting a record first raises the floor to its sequence number.
(2) The claim object of a caller's key was created by this incarnation, or taken over from
``released`` or ``revoked``, by a conditional update, and the call was not sent since. Evicting a
record leaves the claim object in place, so a later ``begin`` finds it. The clean-up deletes only
final claims that are older than the retention (see ``cleanup``).
``sending`` succeeds once for each permission, and a call may be sent only after it returned.

Why nothing runs after a refusal said ``not-run``. For a caller's key, the refusing entry first
replaces a free claim by a revoked one of the next epoch; a claim is made only in the epoch that the
request's entry read when it received the request. For an issued key, this book keeps a record of
the refusal.

``begin``, ``give_back`` and ``maintain`` use the store and may wait for it; the other methods
change memory only.
Call ``maintain`` a few times a second: it saves final states, releases abandoned claims and evicts
old records.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from ..clock import Clock
from ..objects.api import ObjectStore
from .claim import (
    AttemptRefused,
    ClaimDecision,
    ClaimPhase,
    ClaimStateError,
    InProgress,
    KeyRevoked,
    OutcomeUnknown,
    Replay,
    RunPermitted,
    StoredClaim,
    StoredResult,
    WrongAgent,
)
from .keys import IssuedKey, claim_key, decode_key, encode_key, is_issued
from .records import FINAL_PHASES, UNSETTLED_PHASES, Record, RecordPhase, Records
from .writer import RELEASABLE_PHASES, ClaimOutcome, ClaimWriter

MAX_RECORDS = 4_000
MAX_RESULT_BYTES = 256 * 1024
MAX_MEMORY_BYTES = 2 * 1024 * 1024
RETRY_AFTER_MS = 1_000
SETTLING_WAIT_MS = 1_000
SETTLING_POLL_MS = 10
REVOKED_SINCE = "the key was revoked after the request was received"
OUTCOME_UNKNOWN = "the outcome at the upstream is not known"

IsLive = Callable[[str, str], bool]


def assume_live(_agent: str, _incarnation: str) -> bool:
    """Take every claimant for live, so that its claims count as in progress."""
    return True


class ClaimManager:
    """Hold the claims of one agent incarnation."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        agent: str,
        incarnation: str,
        deployment_key: bytes,
        retention_ms: int,
        rng: random.Random,
        is_live: IsLive = assume_live,
        max_records: int = MAX_RECORDS,
        max_memory_bytes: int = MAX_MEMORY_BYTES,
    ) -> None:
        self.store = store
        self.clock = clock
        self.agent = agent
        self.incarnation = incarnation
        self.deployment_key = deployment_key
        self.retention_ms = retention_ms
        self.rng = rng
        self.is_live = is_live
        self.records = Records(max_records, max_memory_bytes)
        self.writer = ClaimWriter(store, agent, incarnation)
        # Records for which ``maintain`` has a write to make.
        self.unsettled: dict[str, Record] = {}
        self.issued = 0
        self.claims = 0
        self.runs = 0

    def issue_key(self, scope: str) -> str:
        """Return a new key that only this incarnation may run."""
        self.issued += 1
        return encode_key(
            IssuedKey(self.agent, self.incarnation, self.issued), scope, self.deployment_key
        )

    def begin(self, scope: str, key: str, epoch: int = 0) -> ClaimDecision:
        """Decide on an attempt; only ``Run`` permits it to be sent, after ``sending``."""
        if is_issued(key):
            return self._begin_issued(decode_key(key, scope, self.deployment_key), key)
        return self._begin_claim(claim_key(scope, key), epoch)

    def mark_sending(self, scope: str, key: str, run: int | None = None) -> None:
        """Record that the call may have run from here on; raise if it must not be sent."""
        record = self._record(scope, key, run)
        if record.phase is not RecordPhase.READY:
            raise ClaimStateError(f"not permitted to send in state {record.phase.name}")
        record.phase = RecordPhase.SENT

    def record_response(
        self, scope: str, key: str, result: StoredResult, run: int | None = None
    ) -> None:
        """Record the upstream's response, also when it came after ``fail_unknown``."""
        record = self._record(scope, key, run)
        if record.phase is RecordPhase.DONE:
            return
        if record.phase not in (RecordPhase.SENT, RecordPhase.UNKNOWN):
            raise ClaimStateError(f"a response in state {record.phase.name}")
        kept = result if result.size() <= MAX_RESULT_BYTES else None
        self._finish(record, RecordPhase.DONE, kept)

    def record_unknown_outcome(self, scope: str, key: str, run: int | None = None) -> None:
        """Record that the upstream's outcome is not known."""
        record = self._record(scope, key, run)
        if record.phase in (RecordPhase.DONE, RecordPhase.UNKNOWN):
            return
        if record.phase is not RecordPhase.SENT:
            raise ClaimStateError(f"no outcome to miss in state {record.phase.name}")
        self._finish(record, RecordPhase.UNKNOWN, None)

    def abandon(self, scope: str, key: str, run: int | None = None) -> None:
        """Give up a call before it was sent; it may be answered ``not-run``."""
        record = self._record(scope, key, run)
        if record.phase is not RecordPhase.READY:
            raise ClaimStateError(f"not known to be unsent in state {record.phase.name}")
        if record.sequence > 0:
            self.records.finish(record, RecordPhase.REVOKED, None, self.clock.now_ms())
            return
        record.phase = RecordPhase.ABANDONED
        self.unsettled[record.name] = record

    def mark_not_sent(self, scope: str, key: str, run: int | None = None) -> None:
        """Take ``sending`` back: no connection to the upstream was made, so nothing was sent."""
        record = self._record(scope, key, run)
        if record.phase is not RecordPhase.SENT:
            raise ClaimStateError(f"nothing to take back in state {record.phase.name}")
        record.phase = RecordPhase.READY
        self.abandon(scope, key, run)

    def release_abandoned(self, scope: str, key: str) -> None:
        """Release the claim of an abandoned call now, so that the key can be revoked."""
        record = self.records.get(claim_key(scope, key))
        if record is not None and record.phase is RecordPhase.ABANDONED and not record.busy:
            self._settle_alone(record)

    def is_known_unsent(self, scope: str, key: str) -> bool:
        """Return whether memory proves that no call with this caller's key was sent."""
        record = self.records.get(claim_key(scope, key))
        return record is not None and record.phase is RecordPhase.ABANDONED

    def revoke(self, scope: str, key: str) -> bool:
        """Return whether an issued key did not run and, from here on, never will.

        A refusal may say ``not-run`` only after this: another ``Submit`` with the key may still
        arrive on an older connection.
        """
        issued = decode_key(key, scope, self.deployment_key)
        if issued is None or not self._is_own(issued):
            return False
        record = self.records.get(key)
        if record is not None:
            return record.phase is RecordPhase.REVOKED
        if not self._never_begun(issued):
            return False
        revoked = Record(key, issued.sequence, RecordPhase.REVOKED)
        revoked.finished_ms = self.clock.now_ms()
        return self.records.add(revoked)

    def maintain(self) -> None:
        """Save final states, release abandoned claims and evict old records."""
        for record in list(self.unsettled.values()):
            if record.busy:
                continue
            if not self._settle_alone(record):
                # The store has a problem, so the rest waits; another record is first next time.
                break
        self.records.evict_older_than(self.clock.now_ms() - self.retention_ms)

    def _settle_alone(self, record: Record) -> bool:
        record.busy = record.settling = True
        try:
            settled = self._settle(record)
        finally:
            record.busy = record.settling = False
        self.unsettled.pop(record.name, None)
        if not settled or not record.saved:
            self.unsettled[record.name] = record
        return settled

    def _settle(self, record: Record) -> bool:
        if record.phase in FINAL_PHASES:
            return self.writer.save(record)
        if record.phase not in RELEASABLE_PHASES:
            return True
        if not self.writer.release(record):
            return False
        self.records.drop(record)
        return True

    def _begin_issued(self, issued: IssuedKey | None, key: str) -> ClaimDecision:
        if issued is None:
            # It may have run before the deployment key changed, so "not run" is not proved.
            return OutcomeUnknown("the issued key does not verify")
        if issued.agent != self.agent:
            return WrongAgent(issued.agent)
        if issued.incarnation != self.incarnation:
            return OutcomeUnknown("the agent restarted after it issued the key")
        record = self.records.get(key)
        if record is not None:
            return self._decide_known(record)
        if not self._never_begun(issued):
            return OutcomeUnknown("the record of the key is no longer kept")
        record = Record(key, issued.sequence, RecordPhase.READY)
        if not self.records.add(record):
            return self._refuse("too many calls in progress")
        return self._permit(record)

    def _begin_claim(self, name: str, epoch: int) -> ClaimDecision:
        record = self.records.get(name)
        if record is None:
            identity = self._new_identity()
            record = Record(name, 0, RecordPhase.CLAIMING, identity=identity, epoch=epoch)
            if not self.records.add(record):
                return self._refuse("too many calls in progress")
            record.token = self._new_token(record)
            return self._claim(record)
        if record.phase in FINAL_PHASES:
            return self._decide_known(record)
        if record.settling:
            # ``maintain`` gives an earlier claim back, which is no call in progress.
            deadline_ms = self.clock.now_ms() + SETTLING_WAIT_MS
            while record.settling and self.clock.now_ms() < deadline_ms:
                self.clock.sleep_ms(SETTLING_POLL_MS)
            if not record.settling:
                return self._begin_claim(name, epoch)
        if record.busy:
            return self._in_progress()
        if record.phase in UNSETTLED_PHASES:
            return self._claim_again(record, epoch)
        if record.phase is RecordPhase.ABANDONED and record.epoch != epoch:
            return KeyRevoked(REVOKED_SINCE)
        return self._decide_known(record)

    def _claim_again(self, record: Record, epoch: int) -> ClaimDecision:
        if epoch < record.epoch:
            return KeyRevoked(REVOKED_SINCE)
        if record.phase is RecordPhase.RELEASING or epoch > record.epoch:
            # The last write may still arrive; one with a new token keeps it from taking effect.
            record.token = self._new_token(record)
            record.phase = RecordPhase.CLAIMING
        if epoch > record.epoch:
            record.epoch = epoch
            record.version = None
        return self._claim(record)

    def _decide_known(self, record: Record) -> ClaimDecision:
        if record.phase is RecordPhase.ABANDONED:
            return self._permit(record)
        if record.phase is RecordPhase.UNKNOWN:
            return OutcomeUnknown(OUTCOME_UNKNOWN)
        if record.phase is RecordPhase.REVOKED:
            return KeyRevoked("the key was refused before and is revoked")
        if record.phase is RecordPhase.DONE:
            return _replay(record.result)
        return self._in_progress()

    def _claim(self, record: Record) -> ClaimDecision:
        record.busy = True
        try:
            outcome = self.writer.claim(record)
        finally:
            record.busy = False
        if outcome is ClaimOutcome.CLAIMED:
            self.unsettled.pop(record.name, None)
            return self._permit(record)
        if outcome is ClaimOutcome.UNAVAILABLE:
            if record.uncertain:
                self.unsettled[record.name] = record
            else:
                self._drop(record)
            return self._refuse("the object API is unavailable")
        if record.uncertain and outcome is ClaimOutcome.REVOKED:
            # The claim may have been deleted, so that an earlier write could still create it.
            self.unsettled[record.name] = record
        else:
            self._drop(record)
        return self._decide_other(outcome)

    def _drop(self, record: Record) -> None:
        self.unsettled.pop(record.name, None)
        self.records.drop(record)

    def _decide_other(self, claim: ClaimOutcome | StoredClaim) -> ClaimDecision:
        if claim is ClaimOutcome.REVOKED:
            return KeyRevoked(REVOKED_SINCE)
        if isinstance(claim, ClaimOutcome):
            return OutcomeUnknown("the stored claim is malformed")
        if claim.phase is ClaimPhase.DONE:
            return _replay(claim.result)
        if claim.phase is ClaimPhase.UNKNOWN:
            return OutcomeUnknown(OUTCOME_UNKNOWN)
        if claim.agent == self.agent:
            return OutcomeUnknown("this agent has no record of the run that it claimed")
        if not self.is_live(claim.agent, claim.incarnation):
            return OutcomeUnknown("the agent that claimed the call is gone")
        return self._in_progress()

    def _permit(self, record: Record) -> RunPermitted:
        self.runs += 1
        record.run = self.runs
        record.phase = RecordPhase.READY
        return RunPermitted(record.run)

    def _refuse(self, reason: str) -> AttemptRefused:
        return AttemptRefused(self._retry_after_ms(), reason)

    def _in_progress(self) -> InProgress:
        return InProgress(self._retry_after_ms())

    def _retry_after_ms(self) -> int:
        # The random part keeps the callers of one outage from returning all at once.
        return RETRY_AFTER_MS + self.rng.randrange(RETRY_AFTER_MS)

    def _record(self, scope: str, key: str, run: int | None) -> Record:
        record = self.records.get(key if is_issued(key) else claim_key(scope, key))
        if record is None:
            raise ClaimStateError("there is no record of the call")
        if run is not None and record.run != run:
            raise ClaimStateError("the permission to run was given to another attempt")
        return record

    def _finish(self, record: Record, phase: RecordPhase, result: StoredResult | None) -> None:
        if record.sequence == 0:
            record.saved = False
            self.unsettled[record.name] = record
        self.records.finish(record, phase, result, self.clock.now_ms())

    def _is_own(self, issued: IssuedKey) -> bool:
        return issued.agent == self.agent and issued.incarnation == self.incarnation

    def _never_begun(self, issued: IssuedKey) -> bool:
        """Return whether a key without a record is proved not to have run."""
        return self.records.floor < issued.sequence <= self.issued

    def _new_identity(self) -> str:
        self.claims += 1
        return f"{self.claims}/"

    def _new_token(self, record: Record) -> str:
        return f"{record.identity}{self.rng.getrandbits(64):016x}"


def _replay(result: StoredResult | None) -> Replay | OutcomeUnknown:
    if result is None:
        return OutcomeUnknown("the call ran, but its response was too large to keep")
    return Replay(result)
