"""Reassembly of a response from pieces, with a check that it is complete."""

from __future__ import annotations

import zlib

import attrs
from returns.result import Failure, Result, Success

from .messages import Finished, Piece


@attrs.frozen
class IncompleteResponse:
    """Reason why a response must not be delivered as complete."""

    reason: str


@attrs.frozen
class CompleteResponse:
    """A response whose piece count, size and checksum match those stated by the agent."""

    body: bytes
    finished: Finished


@attrs.define
class PieceCounter:
    """Running count, size and checksum of the pieces of a response."""

    pieces: int = 0
    size_bytes: int = 0
    checksum: int = 0

    def add(self, data: bytes) -> int:
        """Count a piece with ``data`` and return its sequence number."""
        sequence = self.pieces
        self.pieces += 1
        self.size_bytes += len(data)
        self.checksum = zlib.crc32(data, self.checksum)
        return sequence


@attrs.define
class Assembler:
    """Collects the pieces of one attempt in order."""

    attempt: str
    counter: PieceCounter = attrs.field(factory=PieceCounter)
    parts: list[bytes] = attrs.field(factory=list)

    def add(self, piece: Piece) -> Result[bytes, IncompleteResponse]:
        """Add the next piece and return its data; fail on a gap or a piece of another attempt."""
        if piece.attempt != self.attempt:
            return Failure(IncompleteResponse(f"piece of attempt {piece.attempt}"))
        if piece.sequence != self.counter.pieces:
            expected = self.counter.pieces
            return Failure(IncompleteResponse(f"piece {piece.sequence} instead of {expected}"))
        self.counter.add(piece.data)
        self.parts.append(piece.data)
        return Success(piece.data)

    def finish(self, finished: Finished) -> Result[CompleteResponse, IncompleteResponse]:
        """Return the response if its pieces match the totals that ``finished`` states."""
        if finished.attempt != self.attempt:
            return Failure(IncompleteResponse(f"end of attempt {finished.attempt}"))
        stated = (finished.pieces, finished.size_bytes, finished.checksum)
        received = (self.counter.pieces, self.counter.size_bytes, self.counter.checksum)
        if stated != received:
            return Failure(IncompleteResponse(f"received {received}, agent stated {stated}"))
        return Success(CompleteResponse(b"".join(self.parts), finished))
