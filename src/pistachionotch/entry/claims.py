"""Reading of epochs and revocation of keys in the stored claims of caller-chosen keys."""

from __future__ import annotations

import attrs
from returns.result import Failure, Success

from ..idempotency.claim import ClaimPhase, StoredClaim, StoredResult, parse_claim
from ..idempotency.keys import claim_key
from ..idempotency.writer import MAX_WRITES, UNCLAIMED_PHASES
from ..objects.api import ObjectStore, StoredObject, VersionConflict
from ..objects.read_back import put_with_read_back
from ..outcomes import Execution


@attrs.frozen
class EarlierOutcome:
    """What is known of an earlier call with the same key, with its result if it is stored."""

    execution: Execution
    result: StoredResult | None = None


UNKNOWN = EarlierOutcome(Execution.UNKNOWN)


def read_epoch(store: ObjectStore, scope: str, key: str) -> int | None:
    """Return the epoch of a caller's key, or ``None`` if the store cannot be read."""
    read_result = store.get(claim_key(scope, key))
    if isinstance(read_result, Failure):
        return None
    return _epoch(read_result.unwrap())


def revoke_key(store: ObjectStore, scope: str, key: str, token: str) -> EarlierOutcome:
    """Prevent all requests received with the key from running, unless one has started.

    NOT_RUN means that the claim was free and that its epoch has been raised: a ``Submit`` with the
    old epoch may still be on its way, but is refused on arrival. ``token`` is the writer token.
    """
    name = claim_key(scope, key)
    read_result = store.get(name)
    if isinstance(read_result, Failure):
        return UNKNOWN
    current = read_result.unwrap()
    for _attempt in range(MAX_WRITES):
        outcome = _claim_outcome(current)
        if outcome is not None:
            return outcome
        revoked = StoredClaim(token, "", "", ClaimPhase.REVOKED, epoch=_epoch(current) + 1)
        version = None if current is None else current.version
        write_result = put_with_read_back(store, name, revoked.to_bytes(), version, token)
        if isinstance(write_result, Success):
            return EarlierOutcome(Execution.NOT_RUN)
        error = write_result.failure()
        if not isinstance(error, VersionConflict):
            return UNKNOWN
        current = error.current
    return UNKNOWN


def _claim_outcome(current: StoredObject | None) -> EarlierOutcome | None:
    """Return the outcome of the call that holds the claim, or ``None`` if the claim is free."""
    if current is None:
        return None
    claim = parse_claim(current.value)
    if claim is None:
        return UNKNOWN
    if claim.phase in UNCLAIMED_PHASES:
        return None
    if claim.phase is ClaimPhase.DONE and claim.result is not None:
        return EarlierOutcome(Execution.DONE, claim.result)
    return UNKNOWN


def _epoch(current: StoredObject | None) -> int:
    claim = None if current is None else parse_claim(current.value)
    return 0 if claim is None else claim.epoch
