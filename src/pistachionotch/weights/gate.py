"""Order gate of an agent: decides which orders reach its engine, and corrects what went wrong.

Some engines ignore fencing numbers, and a paused lease holder may still send orders. So the agent
accepts only the highest fence, runs one order at a time, and compares the engine's version with the
ordered one after each order and at every reading.
"""

from __future__ import annotations

import attrs

LOAD_VERSION = "load_version"
# Further orders are up to the lease holder, which limits retries over the whole roll-out.
MAX_CORRECTIONS = 3


@attrs.frozen
class EngineOrder:
    """Carry one order of a lease holder to the engine."""

    fence: int
    kind: str
    model: str
    version: int


@attrs.frozen
class Admitted:
    """Run the order now and report its end with ``finish``."""

    order: EngineOrder


@attrs.frozen
class StaleFence:
    """Refuse an order of a former lease holder."""

    highest: int


@attrs.frozen
class FenceUnknown:
    """Refuse orders until the fence was read from the object API after the start."""


@attrs.frozen
class Busy:
    """Refuse for now; another order is running."""

    running: EngineOrder


@attrs.frozen
class Superseded:
    """Refuse an order for a lower version than one already published or ordered."""

    floor: int


@attrs.frozen
class NotAnOrder:
    """Refuse an order with fields out of range."""

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
    """The engine serves another version than the ordered one; offer this order to ``admit``."""

    order: EngineOrder
    observed: int | None


@attrs.frozen
class AwaitingOrder:
    """The engine does not serve the ordered version, and a later one is due to be ordered."""

    floor: int


@attrs.frozen
class CorrectionsExhausted:
    """Corrections did not help; report it and wait for the next order."""

    ordered_version: int
    observed: int | None


ReadBack = VersionMatches | OrderRunning | CorrectionNeeded | AwaitingOrder | CorrectionsExhausted


@attrs.define
class OrderGate:
    """Guard one engine; one instance for each start of the agent."""

    max_corrections: int = MAX_CORRECTIONS
    highest: int | None = None
    running: EngineOrder | None = None
    floors: dict[str, int] = attrs.field(factory=dict)
    ordered: dict[str, EngineOrder] = attrs.field(factory=dict)
    corrections: dict[str, int] = attrs.field(factory=dict)

    def load_fence(self, fence: int) -> None:
        """Take over the fence read from the object API; it never goes down."""
        if fence < 0:
            raise ValueError(f"negative fence: {fence}")
        self.highest = fence if self.highest is None else max(self.highest, fence)

    def load_desired(self, model: str, version: int) -> None:
        """Refuse orders below the published version from now on.

        This orders nothing: the engine waits for its wave, so that capacity is kept.
        """
        self.floors[model] = max(version, self.floors.get(model, version))

    def admit(self, order: EngineOrder) -> GateDecision:
        """Decide on one order; a fence that is refused for another reason still counts as seen."""
        if order.fence < 0 or order.version < 0 or not order.model:
            return NotAnOrder("an order needs a model and no negative number")
        if self.highest is None:
            return FenceUnknown()
        if order.fence < self.highest:
            return StaleFence(self.highest)
        self.highest = order.fence
        if order.kind == LOAD_VERSION:
            floor = self.floors.get(order.model, order.version)
            if order.version < floor:
                return Superseded(floor)
            self.floors[order.model] = order.version
        if self.running is not None:
            return Busy(self.running)
        self.running = order
        self._note(order)
        return Admitted(order)

    def finish(self, order: EngineOrder, observed: int | None) -> ReadBack:
        """End the running order with the version read back; None if it could not be read."""
        if self.running != order:
            raise ValueError(f"{order} is not running")
        self.running = None
        return self.observe(order.model, observed)

    def not_started(self, order: EngineOrder) -> None:
        """End the running order that the engine did not start; nothing is left to correct."""
        if self.running != order:
            raise ValueError(f"{order} is not running")
        self.running = None
        self.ordered.pop(order.model, None)

    def observe(self, model: str, observed: int | None) -> ReadBack:
        """Compare a reading of the engine's version with the ordered one.

        An order that timed out can take effect long after, so the agent reads regularly.
        """
        if self.running is not None:
            return OrderRunning()
        ordered = self.ordered.get(model)
        if ordered is None or observed == ordered.version:
            self.corrections.pop(model, None)
            return VersionMatches()
        floor = self.floors.get(model, ordered.version)
        if floor > ordered.version:
            # ``admit`` would refuse the correction; the holder sends the later order again.
            return AwaitingOrder(floor)
        count = self.corrections.get(model, 0)
        if count >= self.max_corrections:
            return CorrectionsExhausted(ordered.version, observed)
        self.corrections[model] = count + 1
        fence = max(ordered.fence, self.highest or 0)
        return CorrectionNeeded(attrs.evolve(ordered, fence=fence), observed)

    def _note(self, order: EngineOrder) -> None:
        if order.kind != LOAD_VERSION:
            return
        known = self.ordered.get(order.model)
        if known is None or (order.fence, order.version) != (known.fence, known.version):
            self.corrections.pop(order.model, None)
        self.ordered[order.model] = order
