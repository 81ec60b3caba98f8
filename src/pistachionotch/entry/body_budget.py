"""Limit on the memory used by the bodies of all open requests."""

from __future__ import annotations

from typing import Any

import attrs

from .requests import MAX_BODY_BYTES

# Without this limit, a thousand connections with bodies of the maximum size would use far more
# memory than a small VM has.
MAX_OPEN_BODY_BYTES = 64 * 1024 * 1024


class BodyBudgetExceededError(Exception):
    """The bodies of open requests leave too little of the budget for another body."""


def declared_body_bytes(environ: dict[str, Any]) -> int:
    """Return an upper limit of the body size, from the request's headers."""
    if "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower():
        return MAX_BODY_BYTES
    length = environ.get("CONTENT_LENGTH") or "0"
    return min(int(length), MAX_BODY_BYTES) if length.isdigit() else MAX_BODY_BYTES


@attrs.define
class BodyBudget:
    """Counts the bytes of request bodies, from before they are read until the requests end."""

    max_bytes: int = MAX_OPEN_BODY_BYTES
    used_bytes: int = 0

    def reserve(self, size: int) -> None:
        """Reserve bytes for a body; raise ``BodyBudgetExceededError`` if too few are left."""
        if self.used_bytes + size > self.max_bytes:
            raise BodyBudgetExceededError(
                f"the bodies of open requests take {self.used_bytes} of {self.max_bytes} bytes"
            )
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Return reserved bytes to the budget."""
        self.used_bytes -= size
