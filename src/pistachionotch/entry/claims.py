"""What the object API says of earlier calls with a caller's idempotency key."""

from __future__ import annotations

import attrs
from returns.result import Failure

from ..idempotency.claim import ClaimPhase, StoredResult, parse_claim
from ..idempotency.keys import claim_key, is_issued
from ..objects.api import ObjectStore
from ..outcomes import Execution


@attrs.frozen
class EarlierCall:
    """State what is known of the work of a key, with its result if it is stored."""

    execution: Execution
    result: StoredResult | None = None


def look_up_earlier_call(store: ObjectStore, scope: str, key: str) -> EarlierCall:
    """Return what is known of a key without making a claim.

    A refusal of a repeated key must not say ``not-run`` when an earlier request with the key ran,
    so the claim is read before such an answer.
    """
    if is_issued(key):
        # Only the memory of the home agent could tell, and it did not answer.
        return EarlierCall(Execution.UNKNOWN)
    read = store.get(claim_key(scope, key))
    if isinstance(read, Failure):
        return EarlierCall(Execution.UNKNOWN)
    stored = read.unwrap()
    if stored is None:
        return EarlierCall(Execution.NOT_RUN)
    claim = parse_claim(stored.value)
    if claim is None:
        return EarlierCall(Execution.UNKNOWN)
    if claim.phase is ClaimPhase.RELEASED:
        return EarlierCall(Execution.NOT_RUN)
    if claim.phase is ClaimPhase.DONE and claim.result is not None:
        return EarlierCall(Execution.DONE, claim.result)
    return EarlierCall(Execution.UNKNOWN)
