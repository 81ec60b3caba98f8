"""Identity of a request across the attempts of its caller, which have new request IDs."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

FINGERPRINT_BYTES = 16


# Headers that tracing adds to each attempt.
TRACING_HEADERS = frozenset(
    {"traceparent", "tracestate", "baggage", "b3", "x-request-id", "x-correlation-id"}
)


def fingerprint(
    method: str,
    host: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    account: str = "",
) -> str:
    """Return the identity of a request as a hexadecimal digest.

    ``headers`` are those that stay the same in each attempt. All that reaches the upstream counts,
    so no caller can make a request that has the identity of another one and does something else.
    ``account`` is the name of the sender's account; its keys don't count, so they can change.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    named = [(name.lower(), value) for name, value in headers]
    lasting = sorted(header for header in named if header[0] not in TRACING_HEADERS)
    texts = [method, host.lower(), target, *(text for header in lasting for text in header)]
    parts = [*(text.encode("utf-8", "surrogateescape") for text in texts), body]
    if account:
        # One more part than any request without an account can have: their number is even.
        parts.append(account.encode())
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
