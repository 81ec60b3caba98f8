"""One attempt of an idempotent call, as the entry follows it."""

from __future__ import annotations

import attrs

from ..samples.spans import VersionSpan, merge_spans
from ..wire.assembly import Assembler
from .links import AgentLink


@attrs.define
class Attempt:
    """Follow one attempt of a call."""

    identifier: str
    link: AgentLink
    assembler: Assembler
    started: bool = False
    tokens: int = 0
    spans: tuple[VersionSpan, ...] = ()
    checked_ms: int = 0

    def add_tokens(self, version: int, tokens: int) -> None:
        """Account for the tokens of one piece."""
        if not tokens:
            return
        self.tokens += tokens
        self.spans = merge_spans((*self.spans, VersionSpan(version, tokens)))
