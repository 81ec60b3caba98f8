"""Age of samples, counted in weight versions."""

from __future__ import annotations

from collections.abc import Sequence

from .spans import VersionSpan


def reference_version(published: int, trainer_version: int | None) -> int:
    """Return the version relative to which ages are computed, the newer of the two given."""
    if trainer_version is None:
        return published
    return max(published, trainer_version)


def sample_age(spans: Sequence[VersionSpan], newest_version: int) -> int:
    """Return by how many versions the oldest span is behind; negative if it is ahead."""
    return newest_version - min(span.version for span in spans)


def is_fresh(spans: Sequence[VersionSpan], newest_version: int, bound: int) -> bool:
    """Return whether every span is within the staleness bound; False if there are no spans."""
    if not spans:
        return False
    return sample_age(spans, newest_version) <= bound
