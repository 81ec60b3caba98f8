"""Bound on the memory that the bodies of all open requests take."""

from __future__ import annotations

from typing import Any

import attrs

from .requests import MAX_BODY_BYTES

# A thousand connections could each hold a body of the largest size, far beyond a small VM's memory.
MAX_OPEN_BODY_BYTES = 64 * 1024 * 1024


class BodyBudgetExceededError(Exception):
    """The open requests leave no room for another body of this size."""


def declared_body_bytes(environ: dict[str, Any]) -> int:
    """Return the most bytes that will be read of a request's body."""
    if "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower():
        return MAX_BODY_BYTES
    length = environ.get("CONTENT_LENGTH") or "0"
    return min(int(length), MAX_BODY_BYTES) if length.isdigit() else MAX_BODY_BYTES


@attrs.define
class BodyBudget:
    """Count the bytes of bodies from before they are read until their requests have ended."""

    max_bytes: int = MAX_OPEN_BODY_BYTES
    used_bytes: int = 0

    def reserve(self, size: int) -> None:
        """Take room for a body; raise when the open requests leave too little."""
        if self.used_bytes + size > self.max_bytes:
            raise BodyBudgetExceededError(
                f"the bodies of open requests take {self.used_bytes} of {self.max_bytes} bytes"
            )
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Give room back."""
        self.used_bytes -= size
