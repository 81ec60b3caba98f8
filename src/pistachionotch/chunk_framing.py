"""Limit on the framing of chunked request bodies: sizes, extensions and trailers."""

from __future__ import annotations

from typing import Any

from gevent.pywsgi import _InvalidClientInput

from .time_slice import TimeSlice

# Framing of a whole body that may come beyond the sizes of its chunks and their line ends.
MAX_ADDITIONAL_BYTES = 64 * 1024
# Size of a chunk of one byte with the longest size that is accepted, 16 digits.
LONGEST_CHUNK_BYTES = 21
# Reads between two looks at the clock. Framing is read byte by byte.
TURN_READS = 256


class ChunkedSource:
    """Source of a chunked body; it ends a body whose framing exceeds its limit.

    Bytes that have arrived are read without a wait, so other tasks run only when this lets them.
    """

    def __init__(self, source: Any, peer: str) -> None:
        self.source = source
        self.peer = peer
        self.time_slice = TimeSlice()
        self.reads = 0
        # Bytes that have been read, and those of them that were content.
        self.received = 0
        self.content = 0
        # Bytes that may be read until the content that is wanted now is there.
        self.allowed = 0

    def begin_read(self, content_bytes: int) -> None:
        """Allow for framing of this much more content."""
        content = self.content + content_bytes
        self.allowed = MAX_ADDITIONAL_BYTES + content * LONGEST_CHUNK_BYTES

    def read(self, size: int) -> bytes:
        """Return the next bytes; raises ``_InvalidClientInput`` beyond the limit."""
        self.reads += 1
        if self.reads % TURN_READS == 0:
            self.time_slice.end_if_over()
        data: bytes = self.source.read(size)
        self.received += len(data)
        if self.received > self.allowed:
            raise _InvalidClientInput("too much framing of chunks")
        return data
