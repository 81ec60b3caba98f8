"""Application of the configuration in force to an agent."""

from __future__ import annotations

import attrs

from ..admission.shares import SHORT_CLASSES, ClassShares
from ..config.check import read_configuration
from ..config.schema import Configuration
from ..logs import logger
from ..outcomes import RequestClass
from .core import AgentCore
from .orders import OrderTask


def class_shares(configuration: Configuration) -> ClassShares:
    """Return the shares of an upstream's slots that the request classes get."""
    classes = configuration.classes
    reserved = sum(classes[name].reserved_share for name in SHORT_CLASSES if name in classes)
    long_class = classes.get(RequestClass.LONG)
    ceiling = ClassShares().long_ceiling if long_class is None else long_class.max_share
    return ClassShares(short_reserved=reserved, long_ceiling=ceiling)


@attrs.frozen
class ConfigurationApplier:
    """Apply configuration revisions to an agent; an invalid revision changes nothing."""

    core: AgentCore
    orders: OrderTask | None = None
    # The value in the agent's own settings, which overrides the configuration of its model.
    checks_fences: bool | None = None

    def apply(self) -> None:
        """Apply the revision in force."""
        parsed = read_configuration(self.core.revisions.body, "control/config")
        configuration = parsed.value_or(None)
        if configuration is None:
            findings = [str(finding) for finding in parsed.failure()]
            logger("config").error("configuration not readable", findings=findings)
            return
        self.core.queue.shares = class_shares(configuration)
        self.core.heartbeat_ms = configuration.intervals.heartbeat_ms
        self.core.claim_manager.retention_ms = configuration.claims.retention_ms
        if self.orders is not None and self.checks_fences is None:
            model = configuration.models.get(self.orders.upstream.model)
            self.orders.checks_fences = model is not None and model.checks_fences
