"""State that an entry keeps of one attempt of an idempotent call."""

from __future__ import annotations

import attrs

from ..samples.spans import VersionSpan, merge_spans
from ..wire.assembly import Assembler
from .links import AgentLink


@attrs.define
class Attempt:
    """One attempt of a call at an agent, with the response received so far."""

    identifier: str
    link: AgentLink
    assembler: Assembler
    started: bool = False
    tokens: int = 0
    spans: tuple[VersionSpan, ...] = ()
    checked_ms: int = 0
    # Software version of the engine, from the first piece; empty if it names none.
    software: str = ""

    def add_tokens(self, version: int, tokens: int) -> None:
        """Add the tokens of one response piece and the weight version that generated them."""
        if not tokens:
            return
        self.tokens += tokens
        self.spans = merge_spans((*self.spans, VersionSpan(version, tokens)))
