"""Output of attempts that broke off, after which a later attempt continues."""

from __future__ import annotations

import attrs

from ..samples.spans import VersionSpan, merge_spans
from .attempt import Attempt
from .calls import Call


@attrs.define
class KeptText:
    """The output that a call has so far, all of it from one software version of its engines."""

    parts: list[bytes] = attrs.field(factory=list)
    spans: tuple[VersionSpan, ...] = ()
    # Software version of the engines that generated the output.
    software: str = ""
    # The call as it was before any output.
    first_call: Call | None = None

    def may_continue(self, software: str) -> bool:
        """Return whether an engine of this software version may add to the output."""
        return not self.parts or software == self.software

    def keep(self, call: Call, attempt: Attempt) -> Call | None:
        """Add the output of an attempt; returns the call for the rest, None if there can be none.

        Engines that name no software version may differ in it.
        """
        if not attempt.software:
            return None
        text = b"".join(attempt.assembler.parts)
        resumed = call.resumed(text, attempt.tokens)
        if resumed is None:
            return None
        self.first_call = self.first_call or call
        self.software = attempt.software
        self.parts.append(text)
        self.spans = merge_spans((*self.spans, *attempt.spans))
        return resumed

    def version_spans(self, last: Attempt) -> tuple[VersionSpan, ...]:
        """Return the weight versions of the whole output, empty if a part of them is unknown."""
        spans = merge_spans((*self.spans, *last.spans))
        return () if any(span.version < 0 for span in spans) else spans

    def discard(self) -> Call | None:
        """Forget the output; returns the call that begins anew, None if there was no output."""
        first_call, self.first_call = self.first_call, None
        self.parts.clear()
        self.spans = ()
        self.software = ""
        return first_call
