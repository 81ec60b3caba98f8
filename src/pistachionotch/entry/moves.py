"""Rebalancing task that moves queued training and long calls to agents that start them earlier."""

from __future__ import annotations

import attrs

from ..outcomes import RequestClass
from ..routing.move import decide_move
from .links import AgentLink
from .router import RoutedCall
from .routing_state import RoutingState

MOVE_CHECK_MS = 1000
MOVABLE_CLASSES = (RequestClass.TRAINING, RequestClass.LONG)


@attrs.frozen
class MoveTask:
    """Moves the last call queued at an agent if it would start earlier elsewhere."""

    state: RoutingState

    def run(self) -> None:
        """Run the checks until the greenlet is killed."""
        while True:
            self.state.clock.sleep_ms(MOVE_CHECK_MS)
            for call, link in self._last_queued_calls():
                self._check(call, link)

    def _last_queued_calls(self) -> list[tuple[RoutedCall, AgentLink]]:
        # Only one call per agent and class is moved in each check: further moves would rely on
        # load reports that do not show the first one yet.
        last: dict[tuple[str, RequestClass], tuple[RoutedCall, AgentLink]] = {}
        for call in self.state.open_calls.values():
            if not isinstance(call, RoutedCall):
                continue
            link = call.queued_at()
            if link is None or call.call.request_class not in MOVABLE_CLASSES:
                continue
            last[link.member.node, call.call.request_class] = (call, link)
        return list(last.values())

    def _check(self, call: RoutedCall, link: AgentLink) -> None:
        state = self.state
        decision = decide_move(
            call.call.routed(frozenset()),
            link.member.node,
            state.table.candidates(call.call.request_class, call.call.prefix),
            state.location,
            state.clock.now_ms(),
            state.costs,
        )
        if decision.agent is None:
            return
        state.decisions.moved(call.call, decision.agent, decision.reason)
        call.move()
