"""Authentication of drain requests with the deployment key."""

from __future__ import annotations

import hashlib
import hmac

DRAIN_PATH = "/v1/drain"
_SCHEME = "Bearer "


def drain_authorization(key: bytes, node: str, incarnation: str) -> str:
    """Return the ``Authorization`` header, valid only for this incarnation of the process."""
    text = f"drain:{node}:{incarnation}".encode()
    return _SCHEME + hmac.new(key, text, hashlib.sha256).hexdigest()


def is_authorized(key: bytes, node: str, incarnation: str, header: str) -> bool:
    """Return whether the header was created with the deployment key."""
    return hmac.compare_digest(drain_authorization(key, node, incarnation), header)
