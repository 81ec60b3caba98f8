"""Reassembly of a response from pieces, with proof that it is complete."""

from __future__ import annotations

import zlib

import attrs
from returns.result import Failure, Result, Success

from .messages import Finished, Piece


@attrs.frozen
class IncompleteResponse:
    """Say why a response may not be delivered as complete."""

    reason: str


@attrs.frozen
class CompleteResponse:
    """Carry a response whose pieces add up to what the agent stated."""

    body: bytes
    finished: Finished


@attrs.define
class PieceCounter:
    """Count outgoing pieces so that the final message can state their sum."""

    pieces: int = 0
    size_bytes: int = 0
    checksum: int = 0

    def add(self, data: bytes) -> int:
        """Account for ``data`` and return its sequence number."""
        sequence = self.pieces
        self.pieces += 1
        self.size_bytes += len(data)
        self.checksum = zlib.crc32(data, self.checksum)
        return sequence


@attrs.define
class Assembler:
    """Collect the pieces of one attempt in order."""

    attempt: str
    counter: PieceCounter = attrs.field(factory=PieceCounter)
    parts: list[bytes] = attrs.field(factory=list)

    def add(self, piece: Piece) -> Result[bytes, IncompleteResponse]:
        """Accept the next piece and return its data; a gap or a foreign piece fails."""
        if piece.attempt != self.attempt:
            return Failure(IncompleteResponse(f"piece of attempt {piece.attempt}"))
        if piece.sequence != self.counter.pieces:
            expected = self.counter.pieces
            return Failure(IncompleteResponse(f"piece {piece.sequence} instead of {expected}"))
        self.counter.add(piece.data)
        self.parts.append(piece.data)
        return Success(piece.data)

    def finish(self, finished: Finished) -> Result[CompleteResponse, IncompleteResponse]:
        """Return the response if the pieces add up to what ``finished`` states."""
        if finished.attempt != self.attempt:
            return Failure(IncompleteResponse(f"end of attempt {finished.attempt}"))
        stated = (finished.pieces, finished.size_bytes, finished.checksum)
        received = (self.counter.pieces, self.counter.size_bytes, self.counter.checksum)
        if stated != received:
            return Failure(IncompleteResponse(f"received {received}, agent stated {stated}"))
        return Success(CompleteResponse(b"".join(self.parts), finished))
