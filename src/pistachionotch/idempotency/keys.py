"""Issued keys, which hold an agent incarnation and a sequence number, signed with an HMAC.

Wire form: ``pnk1.<payload>.<HMAC-SHA256 in hex>``, where the payload is the base64url form of the
JSON array ``[agent, incarnation, sequence]``.
The HMAC also covers the scope, so a key is valid only in the scope for which it was issued.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import json

import attrs

from ..malformed import load_json

PREFIX = "pnk1."


@attrs.frozen
class IssuedKey:
    """The agent incarnation that issued a key, and the key's sequence number there.

    Only this incarnation may run a call with the key.
    """

    agent: str
    incarnation: str
    sequence: int


def is_issued(key: str) -> bool:
    """Return whether the key has the prefix of issued keys; its HMAC is not checked."""
    return key.startswith(PREFIX)


def encode_key(issued: IssuedKey, scope: str, deployment_key: bytes) -> str:
    """Return the wire form of an issued key."""
    fields = json.dumps([issued.agent, issued.incarnation, issued.sequence])
    payload = base64.urlsafe_b64encode(fields.encode()).decode()
    return f"{PREFIX}{payload}.{_mac(payload, scope, deployment_key)}"


def decode_key(key: str, scope: str, deployment_key: bytes) -> IssuedKey | None:
    """Return the issued key, or None if its HMAC is not valid for this scope and deployment."""
    payload, _dot, mac = key.removeprefix(PREFIX).partition(".")
    expected = _mac(payload, scope, deployment_key)
    if not hmac.compare_digest(mac.encode(), expected.encode()):
        return None
    try:
        agent, incarnation, sequence = load_json(base64.urlsafe_b64decode(payload))
    except (ValueError, TypeError, binascii.Error):
        return None
    return IssuedKey(str(agent), str(incarnation), int(sequence))


def claim_key(scope: str, key: str) -> str:
    """Return the object key of the claim of a caller key."""
    # A JSON array gives ("a", "bc") and ("ab", "c") different digests.
    digest = hashlib.sha256(json.dumps([scope, key]).encode()).hexdigest()
    return f"claims/{digest}"


def _mac(payload: str, scope: str, deployment_key: bytes) -> str:
    message = json.dumps([payload, scope]).encode()
    return hmac.new(deployment_key, message, hashlib.sha256).hexdigest()
