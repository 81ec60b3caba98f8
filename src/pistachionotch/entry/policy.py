"""View of the configuration in force, as the entry's tasks use it."""

from __future__ import annotations

import attrs

from ..config.check import check
from ..config.revisions import Revisions
from ..config.schema import Configuration
from ..logs import logger
from ..outcomes import RequestClass
from ..weights.rollout import RolloutLimits
from .requests import CallDefaults, RouteRule

DEFAULT_HEARTBEAT_MS = 2000
DEFAULT_SUBSET = 80
DEFAULT_FETCHES_PER_S = 4.0
DEFAULT_TIMEOUTS_MS = {
    RequestClass.STOREFRONT: 5_000,
    RequestClass.CONFIRMATION: 5_000,
    RequestClass.TRAINING: 120_000,
    RequestClass.LONG: 300_000,
}


@attrs.define
class PolicyView:
    """Read the parsed configuration; defaults hold until the first revision arrives."""

    revisions: Revisions
    configuration: Configuration | None = None

    def refresh(self) -> None:
        """Parse the revision in force; one that does not parse leaves the former view."""
        parsed = check(self.revisions.body.decode("utf-8", "replace"), "control/config")
        configuration = parsed.value_or(None)
        if configuration is None:
            findings = [str(finding) for finding in parsed.failure()]
            logger("config").error("configuration not readable", findings=findings)
            return
        self.configuration = configuration

    def heartbeat_ms(self) -> int:
        """Return the heartbeat interval."""
        if self.configuration is None:
            return DEFAULT_HEARTBEAT_MS
        return self.configuration.intervals.heartbeat_ms

    def subset_size(self) -> int:
        """Return how many agents an entry connects to."""
        return self.configuration.subset.size if self.configuration else DEFAULT_SUBSET

    def zones(self) -> set[str]:
        """Return all availability zones of the deployment."""
        if self.configuration is None:
            return set()
        regions = self.configuration.regions.values()
        return {zone for region in regions for zone in region.zones}

    def staleness_bounds(self) -> dict[str, int]:
        """Return the staleness bound of each model, in versions."""
        if self.configuration is None:
            return {}
        return {name: model.staleness_bound for name, model in self.configuration.models.items()}

    def rollout_limits(self, model: str) -> RolloutLimits:
        """Return the limits for one zone's share of a roll-out."""
        if self.configuration is None or model not in self.configuration.models:
            return RolloutLimits(DEFAULT_FETCHES_PER_S)
        rollout = self.configuration.models[model].rollout
        # Each zone has a holder of its own, so the weight store's rate is shared evenly.
        share = rollout.weight_store_loads_per_s / max(1, len(self.zones()))
        return RolloutLimits(share, rollout.max_unavailable_share)

    def call_defaults(self) -> CallDefaults:
        """Return the timeouts and idempotent routes."""
        if self.configuration is None:
            return CallDefaults(DEFAULT_TIMEOUTS_MS)
        timeouts = dict(DEFAULT_TIMEOUTS_MS)
        for request_class, settings in self.configuration.classes.items():
            timeouts[request_class] = settings.default_deadline_ms
        routes = tuple(
            RouteRule(name, method, route.path, route.idempotent)
            for name, service in self.configuration.services.items()
            for route in service.routes
            for method in route.methods
        )
        return CallDefaults(timeouts, routes)
