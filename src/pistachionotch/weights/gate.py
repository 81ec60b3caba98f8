"""Order gate of an agent: admits orders to its engine and corrects a wrong weight version.

Some engines ignore fencing tokens, and a paused lease holder may still send orders. So the agent
accepts orders only with the highest fencing token, runs one order at a time, and compares the
engine's version with the ordered one after each order and whenever it reads the version.
"""

from __future__ import annotations

import attrs

LOAD_VERSION = "load_version"
# Further retries are left to the lease holder, which limits them across the whole roll-out.
MAX_CORRECTIONS = 3


@attrs.frozen
class EngineOrder:
    """An order of a lease holder to the engine, with its fencing token."""

    fence: int
    kind: str
    model: str
    version: int


@attrs.frozen
class Admitted:
    """The order must be run now and its end reported with ``finish``."""

    order: EngineOrder


@attrs.frozen
class StaleFence:
    """The order is refused: its fencing token is from a former lease holder."""

    highest_fence: int


@attrs.frozen
class FenceUnknown:
    """The order is refused: the fence was not read from the object API since the start."""


@attrs.frozen
class Busy:
    """The order is refused for now: another one is running."""

    running: EngineOrder


@attrs.frozen
class Superseded:
    """The order is refused: a higher version was already published or ordered."""

    min_version: int


@attrs.frozen
class NotAnOrder:
    """The order is refused: its fields are out of range."""

    reason: str


GateDecision = Admitted | StaleFence | FenceUnknown | Busy | Superseded | NotAnOrder


@attrs.frozen
class VersionMatches:
    """The engine serves the ordered version, or none was ordered."""


@attrs.frozen
class OrderRunning:
    """An order is running, so a reading decides nothing yet."""


@attrs.frozen
class CorrectionNeeded:
    """The engine serves another version than the ordered one; pass this order to ``admit``."""

    order: EngineOrder
    observed: int | None


@attrs.frozen
class AwaitingOrder:
    """The engine does not serve the ordered version, but an order for a later one is expected."""

    min_version: int


@attrs.frozen
class CorrectionsExhausted:
    """The engine still serves a wrong version after ``max_corrections``; wait for an order."""

    ordered_version: int
    observed: int | None


ReadBack = VersionMatches | OrderRunning | CorrectionNeeded | AwaitingOrder | CorrectionsExhausted


@attrs.define
class OrderGate:
    """Admits orders to one engine; an instance lives from one start of the agent to the next."""

    max_corrections: int = MAX_CORRECTIONS
    highest_fence: int | None = None
    running: EngineOrder | None = None
    min_versions: dict[str, int] = attrs.field(factory=dict)
    ordered: dict[str, EngineOrder] = attrs.field(factory=dict)
    corrections: dict[str, int] = attrs.field(factory=dict)

    def load_fence(self, fence: int) -> None:
        """Apply the fence read from the object API; the highest fence never decreases."""
        if fence < 0:
            raise ValueError(f"negative fence: {fence}")
        self.highest_fence = fence if self.highest_fence is None else max(self.highest_fence, fence)

    def load_desired(self, model: str, version: int) -> None:
        """Refuse orders below the published version from now on.

        This does not order the version: the engine loads it in its wave of the roll-out, so that
        enough capacity stays in service.
        """
        self.min_versions[model] = max(version, self.min_versions.get(model, version))

    def admit(self, order: EngineOrder) -> GateDecision:
        """Decide on an order; its fence is recorded even if it is refused for another reason."""
        if order.fence < 0 or order.version < 0 or not order.model:
            return NotAnOrder("an order needs a model and no negative number")
        if self.highest_fence is None:
            return FenceUnknown()
        if order.fence < self.highest_fence:
            return StaleFence(self.highest_fence)
        self.highest_fence = order.fence
        if order.kind == LOAD_VERSION:
            min_version = self.min_versions.get(order.model, order.version)
            if order.version < min_version:
                return Superseded(min_version)
            self.min_versions[order.model] = order.version
        if self.running is not None:
            return Busy(self.running)
        self.running = order
        self._record_order(order)
        return Admitted(order)

    def finish(self, order: EngineOrder, observed: int | None) -> ReadBack:
        """End the running order; ``observed`` is the engine's version, None if unreadable."""
        if self.running != order:
            raise ValueError(f"{order} is not running")
        self.running = None
        return self.observe(order.model, observed)

    def not_started(self, order: EngineOrder) -> None:
        """End the running order, which the engine did not start; there is nothing to correct."""
        if self.running != order:
            raise ValueError(f"{order} is not running")
        self.running = None
        self.ordered.pop(order.model, None)

    def observe(self, model: str, observed: int | None) -> ReadBack:
        """Compare the engine's current version with the ordered one.

        An order that timed out can take effect much later, so the agent calls this regularly.
        """
        if self.running is not None:
            return OrderRunning()
        ordered = self.ordered.get(model)
        if ordered is None or observed == ordered.version:
            self.corrections.pop(model, None)
            return VersionMatches()
        min_version = self.min_versions.get(model, ordered.version)
        if min_version > ordered.version:
            # ``admit`` would refuse the correction; the lease holder will order the later version.
            return AwaitingOrder(min_version)
        count = self.corrections.get(model, 0)
        if count >= self.max_corrections:
            return CorrectionsExhausted(ordered.version, observed)
        self.corrections[model] = count + 1
        fence = max(ordered.fence, self.highest_fence or 0)
        return CorrectionNeeded(attrs.evolve(ordered, fence=fence), observed)

    def _record_order(self, order: EngineOrder) -> None:
        if order.kind != LOAD_VERSION:
            return
        known = self.ordered.get(order.model)
        if known is None or (order.fence, order.version) != (known.fence, known.version):
            self.corrections.pop(order.model, None)
        self.ordered[order.model] = order
