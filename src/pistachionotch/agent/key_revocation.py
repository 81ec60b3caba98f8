"""Whether the idempotency key of an attempt that was not sent is known not to have run."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..idempotency.keys import is_issued
from ..idempotency.manager import ClaimManager
from ..wire.messages import Submit


@attrs.frozen
class NotRunProof:
    """Whether an attempt is proved not to have run, and whether its key was revoked."""

    proved: bool
    revoked: bool


def prove_not_run(submit: Submit, queued: Iterable[Submit], claims: ClaimManager) -> NotRunProof:
    """Revoke the key of an attempt that was not sent to the upstream, if possible.

    ``queued`` are the attempts that may still be sent. A key that one of them also has is not
    revoked, and proves nothing.
    """
    if submit.idempotent:
        return NotRunProof(proved=True, revoked=False)
    scope_and_key = (submit.scope, submit.key)
    if any((other.scope, other.key) == scope_and_key for other in queued):
        return NotRunProof(proved=False, revoked=False)
    if is_issued(submit.key) and claims.revoke(submit.scope, submit.key):
        return NotRunProof(proved=True, revoked=True)
    return NotRunProof(proved=claims.is_known_unsent(submit.scope, submit.key), revoked=False)
