"""Stored claims and results, and the decisions of the claim manager."""

from __future__ import annotations

import base64
import enum
import json

import attrs

from ..malformed import load_json


@attrs.frozen
class StoredResult:
    """The upstream's complete response, kept for replay."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def size(self) -> int:
        """Return the approximate number of bytes that the result occupies."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


class ClaimPhase(enum.StrEnum):
    """State of a claim object."""

    CLAIMED = "claimed"
    RELEASED = "released"
    REVOKED = "revoked"
    DONE = "done"
    UNKNOWN = "unknown"


@attrs.frozen
class StoredClaim:
    """The value of a claim object.

    ``result`` is None in phase DONE if the response was too large to keep. ``epoch`` counts the
    revocations of the key; a key without a claim object is in epoch 0.
    """

    token: str
    agent: str
    incarnation: str
    phase: ClaimPhase
    result: StoredResult | None = None
    epoch: int = 0

    def to_bytes(self) -> bytes:
        """Return the JSON form; epoch 0 is omitted, as in claims written by earlier versions."""
        fields = attrs.asdict(self)
        if not self.epoch:
            del fields["epoch"]
        if self.result is not None:
            fields["result"]["body"] = base64.b64encode(self.result.body).decode()
        return json.dumps(fields, separators=(",", ":")).encode()


def parse_claim(value: bytes) -> StoredClaim | None:
    """Parse the value of a claim object; return None if it is malformed."""
    try:
        fields = load_json(value)
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
    """The call may be sent once; ``permission_id`` identifies this permission to the manager."""

    permission_id: int


@attrs.frozen
class Replay:
    """The call already ran; its stored result is returned."""

    result: StoredResult


@attrs.frozen
class InProgress:
    """Another attempt with the key is in progress."""

    retry_after_ms: int


@attrs.frozen
class OutcomeUnknown:
    """The call may or may not have run, so it is refused permanently."""

    reason: str


@attrs.frozen
class AttemptRefused:
    """The attempt did not run and will not run; the caller may try again later."""

    retry_after_ms: int
    reason: str


@attrs.frozen
class KeyRevoked:
    """The key was revoked, so this attempt did not run and never will."""

    reason: str


@attrs.frozen
class WrongAgent:
    """The key was issued by the agent ``home``, and only that agent may decide on it."""

    home: str


ClaimDecision = (
    RunPermitted | Replay | InProgress | OutcomeUnknown | AttemptRefused | KeyRevoked | WrongAgent
)


class ClaimStateError(Exception):
    """The claim's state does not allow the requested operation; nothing may be sent."""
