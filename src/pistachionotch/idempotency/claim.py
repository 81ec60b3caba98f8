"""Values of the claim book: stored claims and results, decisions and query answers."""

from __future__ import annotations

import base64
import enum
import json

import attrs


@attrs.frozen
class StoredResult:
    """Hold the upstream's complete response, to be replayed."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def size(self) -> int:
        """Return the approximate number of bytes that the result occupies."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


class ClaimPhase(enum.StrEnum):
    """Say what the object of a claim records."""

    CLAIMED = "claimed"
    RELEASED = "released"
    REVOKED = "revoked"
    DONE = "done"
    UNKNOWN = "unknown"


@attrs.frozen
class StoredClaim:
    """Hold the value of a claim object; ``result`` is None in DONE if it was too large to keep.

    ``epoch`` counts the revocations of the key; an absent object is of epoch 0.
    """

    token: str
    agent: str
    incarnation: str
    phase: ClaimPhase
    result: StoredResult | None = None
    epoch: int = 0

    def to_bytes(self) -> bytes:
        """Return the JSON form; it leaves out epoch 0, as claims of earlier versions do."""
        fields = attrs.asdict(self)
        if not self.epoch:
            del fields["epoch"]
        if self.result is not None:
            fields["result"]["body"] = base64.b64encode(self.result.body).decode()
        return json.dumps(fields, separators=(",", ":")).encode()


def parse_claim(value: bytes) -> StoredClaim | None:
    """Return the claim of an object's value, or None if it is malformed."""
    try:
        fields = json.loads(value)
        return StoredClaim(
            str(fields["token"]),
            str(fields["agent"]),
            str(fields["incarnation"]),
            ClaimPhase(fields["phase"]),
            _parse_result(fields["result"]),
            int(fields.get("epoch", 0)),
        )
    except (ValueError, KeyError, TypeError):
        return None


def _parse_result(fields: dict | None) -> StoredResult | None:
    if fields is None:
        return None
    headers = tuple((str(name), str(value)) for name, value in fields["headers"])
    return StoredResult(int(fields["status"]), headers, base64.b64decode(fields["body"]))


@attrs.frozen
class RunPermitted:
    """Permit one run; ``run`` identifies the permission in later calls of the book."""

    run: int


@attrs.frozen
class Replay:
    """Return the stored result; the call already ran."""

    result: StoredResult


@attrs.frozen
class InProgress:
    """Refuse because another attempt with the key is being handled."""

    retry_after_ms: int


@attrs.frozen
class OutcomeUnknown:
    """Refuse for good: the call may or may not have run."""

    reason: str


@attrs.frozen
class AttemptRefused:
    """Refuse this attempt; it did not run and will not."""

    retry_after_ms: int
    reason: str


@attrs.frozen
class KeyRevoked:
    """Refuse for good: the key was revoked, so this attempt did not run and never will."""

    reason: str


@attrs.frozen
class WrongAgent:
    """Refuse because only the agent ``home`` may decide on this issued key."""

    home: str


ClaimDecision = (
    RunPermitted | Replay | InProgress | OutcomeUnknown | AttemptRefused | KeyRevoked | WrongAgent
)


class ClaimStateError(Exception):
    """Report a call of the book that the claim's state does not allow; nothing may be sent."""
