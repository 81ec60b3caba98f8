"""Texts that are too large for one log entry, and are stored as several pieces."""

from __future__ import annotations

import attrs

from ..objects.values import json_size, prefix_within
from .model import ItemResult, TextPiece


@attrs.frozen
class SplitText:
    """A text of which the first ``stored`` characters are in the log, as pieces of ``text_id``."""

    text_id: str
    stored: int


@attrs.define
class LargeTexts:
    """The pieces in a batch's log whose results are not listed yet.

    A result names the text that its pieces belong to, so pieces of a former owner are never joined
    with those of another one.
    """

    # By item and text.
    pieces: dict[str, dict[str, list[str]]] = attrs.field(factory=dict)
    # Texts that this process is storing, by item.
    splits: dict[str, SplitText] = attrs.field(factory=dict)

    def next_piece(self, result: ItemResult, token: str, max_bytes: int) -> TextPiece | None:
        """Return the next piece of a text, None if the rest of it has at most ``max_bytes``.

        The pieces of a new text are identified by ``token``.
        """
        split = self.splits.get(result.id, SplitText(token, 0))
        rest = result.text[split.stored :]
        if json_size(rest) <= max_bytes:
            return None
        return TextPiece(result.id, split.text_id, rest[: prefix_within(rest, max_bytes)])

    def rest(self, result: ItemResult) -> ItemResult:
        """Return a result with the part of its text that is not stored yet."""
        split = self.splits.get(result.id)
        if split is None:
            return result
        return attrs.evolve(result, text=result.text[split.stored :], pieces=split.text_id)

    def add(self, piece: TextPiece, unlisted: bool) -> None:
        """Add a piece from the log; ``unlisted`` says whether this process has the result."""
        self.pieces.setdefault(piece.id, {}).setdefault(piece.text_id, []).append(piece.text)
        split = self.splits.get(piece.id, SplitText(piece.text_id, 0))
        if unlisted and split.text_id == piece.text_id:
            self.splits[piece.id] = SplitText(piece.text_id, split.stored + len(piece.text))

    def join(self, result: ItemResult) -> ItemResult:
        """Return a result from the log with its whole text."""
        if not result.pieces:
            return result
        pieces = self.pieces[result.id][result.pieces]
        return attrs.evolve(result, text="".join([*pieces, result.text]), pieces="")

    def forget(self, item: str) -> None:
        """Remove the pieces of an item."""
        self.pieces.pop(item, None)
        self.splits.pop(item, None)
