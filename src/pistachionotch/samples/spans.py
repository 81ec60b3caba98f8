"""Version labels of a sample, collected from what the engine reports with each piece."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
from returns.result import Failure, Result, Success

# Limits the size of the step ledger. Weights change every few minutes, so a sample with more spans
# is implausible.
MAX_SPANS = 16
MAX_UINT32 = 2**32 - 1


@attrs.frozen
class VersionSpan:
    """A number of consecutive tokens that were produced by one weight version."""

    version: int
    tokens: int


@attrs.frozen
class SpanError:
    """Reason why the version labels of a sample are invalid."""

    reason: str


def merge_spans(spans: Iterable[VersionSpan]) -> tuple[VersionSpan, ...]:
    """Merge adjacent spans of the same version, preserving the order."""
    merged: list[VersionSpan] = []
    for span in spans:
        if merged and merged[-1].version == span.version:
            merged[-1] = VersionSpan(span.version, merged[-1].tokens + span.tokens)
            continue
        merged.append(span)
    return tuple(merged)


def _is_count(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_UINT32


def find_span_error(spans: tuple[VersionSpan, ...]) -> SpanError | None:
    """Return why these spans are invalid as labels of a sample, or None."""
    if not spans:
        return SpanError("the sample has no labelled token")
    if len(spans) > MAX_SPANS:
        return SpanError(f"the sample has {len(spans)} spans, more than {MAX_SPANS}")
    for span in spans:
        if not _is_count(span.version):
            return SpanError(f"span has no usable version: {span.version!r}")
        if not _is_count(span.tokens) or span.tokens == 0:
            return SpanError(f"span has no usable token count: {span.tokens!r}")
    return None


@attrs.define
class SpanRecorder:
    """Collects the versions that the engine reports with each piece of one sample."""

    spans: list[VersionSpan] = attrs.field(factory=list)
    error: SpanError | None = None

    def add(self, version: int | None, tokens: int) -> None:
        """Add the version and token count of one piece; a piece without tokens needs no version."""
        if self.error is not None or tokens == 0:
            return
        if not _is_count(tokens):
            self.error = SpanError(f"piece has no usable token count: {tokens!r}")
            return
        if version is None or not _is_count(version):
            self.error = SpanError(f"{tokens} tokens came without a version")
            return
        self.spans[-1:] = merge_spans([*self.spans[-1:], VersionSpan(version, tokens)])

    def finish(self) -> Result[tuple[VersionSpan, ...], SpanError]:
        """Return the merged spans, or the reason why the sample must not be delivered."""
        spans = tuple(self.spans)
        error = self.error or find_span_error(spans)
        return Success(spans) if error is None else Failure(error)
