"""Settings of the configuration in force, with defaults, as the tasks of an entry read them."""

from __future__ import annotations

import math

import attrs

from ..config.check import read_configuration
from ..config.revisions import Revisions
from ..config.schema import Configuration, Hedging
from ..logs import logger
from ..outcomes import RequestClass
from ..routing.placement import RoutingCosts
from ..weights.rollout import RolloutLimits
from .requests import CallDefaults, RouteRule

DEFAULT_HEARTBEAT_MS = 2000
DEFAULT_SUBSET_SIZE = 80
# At this rate the 123 engines of a zone load weights within 22.4 s, at 5 s per load.
# docs/weights.md has the derivation.
DEFAULT_FETCHES_PER_S = 7.0
DEFAULT_RETRY_SHARE = 0.1
DEFAULT_HEDGING = Hedging(after_percentile=95, budget=0.1)
DEFAULT_TIMEOUTS_MS = {
    RequestClass.STOREFRONT: 5_000,
    RequestClass.CONFIRMATION: 5_000,
    RequestClass.TRAINING: 120_000,
    RequestClass.LONG: 300_000,
}


@attrs.define
class PolicyView:
    """Gives the settings in force; defaults apply until the first revision arrives."""

    revisions: Revisions
    configuration: Configuration | None = None

    def refresh(self) -> None:
        """Parse the revision in force; keep the previous configuration if it is invalid."""
        parsed = read_configuration(self.revisions.body, "control/config")
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
        """Return the number of agents that an entry connects to."""
        return self.configuration.subset.size if self.configuration else DEFAULT_SUBSET_SIZE

    def zones(self) -> set[str]:
        """Return all availability zones of the deployment."""
        if self.configuration is None:
            return set()
        regions = self.configuration.regions.values()
        return {zone for region in regions for zone in region.zones}

    def claim_retention_ms(self) -> int | None:
        """Return how long claims are retained, or ``None`` without a configuration."""
        return self.configuration.claims.retention_ms if self.configuration else None

    def staleness_bounds(self) -> dict[str, int]:
        """Return the staleness bound of each model, in weight versions."""
        if self.configuration is None:
            return {}
        return {name: model.staleness_bound for name, model in self.configuration.models.items()}

    def rollout_limits(self, model: str) -> RolloutLimits:
        """Return the limits of a model's weight rollout in one availability zone."""
        if self.configuration is None or model not in self.configuration.models:
            return RolloutLimits(DEFAULT_FETCHES_PER_S)
        rollout = self.configuration.models[model].rollout
        return RolloutLimits(rollout.weight_store_loads_per_s, rollout.max_unavailable_share)

    def call_defaults(self) -> CallDefaults:
        """Return the default timeouts, the route rules and the default request classes."""
        if self.configuration is None:
            return CallDefaults(DEFAULT_TIMEOUTS_MS)
        timeouts = dict(DEFAULT_TIMEOUTS_MS)
        for request_class, settings in self.configuration.classes.items():
            timeouts[request_class] = settings.default_deadline_ms
        routes = tuple(
            RouteRule(
                name,
                method,
                route.path,
                route.idempotent,
                route.request_class,
                route.deadline_ms,
            )
            for name, service in self.configuration.services.items()
            for route in service.routes
            for method in route.methods
        )
        return CallDefaults(timeouts, routes, self._default_classes())

    def _default_classes(self) -> dict[str, RequestClass]:
        if self.configuration is None:
            return {}
        classes = {name: m.default_class for name, m in self.configuration.models.items()}
        for name, service in self.configuration.services.items():
            classes[f"services/{name}"] = service.default_class
        return classes

    def retry_share(self, target: str) -> float:
        """Return the retry budget of a target as a fraction of its successful calls."""
        if self.configuration is None:
            return DEFAULT_RETRY_SHARE
        kind, _slash, name = target.rpartition("/")
        rules = self.configuration.services if kind else self.configuration.models
        return rules[name].retry_budget if name in rules else DEFAULT_RETRY_SHARE

    def hedging(self, request_class: RequestClass) -> Hedging | None:
        """Return the hedging settings of a request class, or ``None`` if it is not hedged."""
        if self.configuration is None:
            return DEFAULT_HEDGING
        settings = self.configuration.classes.get(request_class)
        return settings.hedging if settings is not None else None

    def routing_costs(self, region: str) -> RoutingCosts:
        """Return the latency costs of other zones and regions.

        The slowest link of the region counts for all other regions.
        """
        if self.configuration is None:
            return RoutingCosts()
        network = self.configuration.network
        links = [link for link in network.links if region in link.between]
        zone_ms = math.ceil(network.between_zones_latency_ms)
        if not links:
            return RoutingCosts(zone_ms=zone_ms)
        region_ms = math.ceil(max(link.one_way_latency_ms for link in links))
        return RoutingCosts(zone_ms=zone_ms, region_ms=region_ms)
