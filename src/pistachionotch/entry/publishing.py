"""Publication of weight versions through the HTTP API."""

from __future__ import annotations

import random

import attrs

from ..objects.api import ObjectStore
from ..outcomes import Execution, Problem
from ..weights.publish import DesiredVersion, Published, PublishRefused, publish
from .http import HttpResponse

RETRY_AFTER_MS = 1000


@attrs.frozen
class VersionPublisher:
    """Publishes desired weight versions, which never decrease."""

    store: ObjectStore
    rng: random.Random

    def publish(self, model: str, version: int, source: str) -> HttpResponse:
        """Publish one version; a refusal names the version in effect."""
        outcome = publish(self.store, DesiredVersion(model, version, source), self.rng)
        if isinstance(outcome, Published):
            return HttpResponse.json({"model": model, "version": version})
        if isinstance(outcome, PublishRefused):
            detail = f"{outcome.reason}; version {outcome.current.version} is in effect"
            return HttpResponse.from_problem(Problem(409, "conflict", detail, Execution.NOT_RUN))
        return HttpResponse.from_problem(
            Problem(
                503,
                "unavailable",
                outcome.reason,
                Execution.UNKNOWN,
                retry_after_ms=RETRY_AFTER_MS,
            )
        )
