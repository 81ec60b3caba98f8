"""Reward calls, which score the texts of items; each result waits for the proof of its own call.

After a failure, a refusal or a change of owner only the call is repeated, never the generation.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

import attrs
import gevent

from ..clock import Clock
from ..gateway.catalog import Catalog, Route, RouteKind
from ..gateway.responses import BufferedResponse, CallFailure, ClientCall, ClientResponse
from ..gateway.upstream_protocol import RequestPurpose
from ..gateway.upstreams import UpstreamTable
from ..measures import Measures
from ..quarantine.fingerprint import fingerprint
from .model import RewardCall
from .progress import ItemProgress
from .rewards import ServerCapacity, WaitingReward, count_free_slots, plan_reward_calls
from .run import BatchRun

# Minimum timeout of a call, for steps that are overdue or due very soon; trainers read late results
# too.
MIN_BUDGET_MS = 2_000
# Minimum delay before an unsuccessful call is repeated.
RETRY_DELAY_MS = 150
# Maximum delay, whatever the refusal says: the servers' state is known here, and a limit may end or
# another server become free at any time.
MAX_RETRY_DELAY_MS = 1_000

# Finishes an item: run, progress, whether it is done, reason, reward.
FinishItem = Callable[[BatchRun, ItemProgress, bool, str, str], None]


@attrs.define
class RewardCallRunner:
    """Scheduler of the reward calls of the batches that this process owns."""

    clock: Clock
    table: UpstreamTable
    forward: Callable[[ClientCall, Route], ClientResponse]
    catalog: Callable[[], Catalog | None]
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    tasks: dict[tuple[str, str], Any] = attrs.field(factory=dict)

    def start_calls(
        self, runs: Iterable[BatchRun], may_act: Callable[[BatchRun], bool], finish: FinishItem
    ) -> None:
        """Start the calls that can start now; ``may_act`` is asked again before each is sent."""
        catalog = self.catalog()
        if catalog is None:
            return
        now_ms = self.clock.now_ms()
        by_id = {run.id: run for run in runs}
        by_services: dict[tuple[str, ...], list[tuple[WaitingReward, Route]]] = {}
        for run in by_id.values():
            for waiting in run.waiting_rewards():
                route = reward_route(catalog, run.progress[waiting.item].item.reward)
                if route is None:
                    run.progress[waiting.item].reward_retry_at_ms = now_ms + RETRY_DELAY_MS
                    continue
                # Each call chooses one of the services of a split route when it is forwarded.
                services = tuple(share.service for share in route.shares)
                by_services.setdefault(services, []).append((waiting, route))
        for services, pairs in by_services.items():
            routes = {(waiting.batch, waiting.item): route for waiting, route in pairs}
            priority = min(route.priority for _waiting, route in pairs)
            free = count_free_slots(self._server_capacities(services, priority, now_ms))
            for waiting in plan_reward_calls((waiting for waiting, _route in pairs), free, now_ms):
                run = by_id[waiting.batch]
                route = routes[(waiting.batch, waiting.item)]
                self._start(run, run.progress[waiting.item], route, may_act, finish)

    def stop(self, batch: str) -> list[Any]:
        """Cancel the calls of a batch and return their tasks."""
        stopped = [task for (owner, _item), task in self.tasks.items() if owner == batch]
        for task in stopped:
            task.kill(block=False)
        return stopped

    def _server_capacities(
        self, services: tuple[str, ...], priority: int, now_ms: int
    ) -> list[ServerCapacity]:
        return [
            ServerCapacity(
                slots=upstream.record.slots,
                in_flight=upstream.in_flight,
                full=upstream.full_until_ms > now_ms
                or self.table.rate_limits.rejected_for_ms(upstream.record, priority) > 0,
                failing=upstream.backoff_until_ms > now_ms,
                permits=self.table.rate_limits.expected_permits(upstream.record),
            )
            for service in services
            for upstream in self.table.available_for(service)
        ]

    def _start(
        self,
        run: BatchRun,
        state: ItemProgress,
        route: Route,
        may_act: Callable[[BatchRun], bool],
        finish: FinishItem,
    ) -> None:
        state.reward_call_running = True
        # Set before the call, so that the delay also applies if it ends with an unexpected error.
        state.reward_retry_at_ms = self.clock.now_ms() + RETRY_DELAY_MS
        key = (run.id, state.item.id)
        self.tasks[key] = gevent.spawn(self._run, run, state, route, lambda: may_act(run), finish)

    def _run(
        self,
        run: BatchRun,
        state: ItemProgress,
        route: Route,
        may_send: Callable[[], bool],
        finish: FinishItem,
    ) -> None:
        try:
            call = attrs.evolve(self._call(run, state), may_send=may_send)
            answer = self.forward(call, route)
        finally:
            state.reward_call_running = False
            self.tasks.pop((run.id, state.item.id), None)
        if run.open and not state.finished:
            self._handle_answer(run, state, route, answer, finish)

    def _call(self, run: BatchRun, state: ItemProgress) -> ClientCall:
        reward = state.item.reward
        assert reward is not None
        now_ms = self.clock.now_ms()
        return ClientCall(
            request_id=reward.id,
            method="POST",
            target=reward.target,
            host=reward.host,
            headers=(),
            body=reward.body,
            received_ms=now_ms,
            budget_ms=max(MIN_BUDGET_MS, run.due_ms - now_ms),
            purpose=RequestPurpose.REWARD,
            content=fingerprint("POST", reward.host, reward.target, (), reward.body),
        )

    def _handle_answer(
        self,
        run: BatchRun,
        state: ItemProgress,
        route: Route,
        answer: ClientResponse,
        finish: FinishItem,
    ) -> None:
        state.reward_failures += _server_errors(answer)
        proof = _proof(answer)
        outcome = "done" if proof else _describe(answer)
        self.measures.count("rewards", "done" if proof else "failed")
        self.log.info(
            "reward call ended",
            batch=run.id,
            item=state.item.id,
            reward_call=state.item.reward.id if state.item.reward is not None else "",
            outcome=outcome,
            failures=state.reward_failures,
            since_text_ms=self.clock.now_ms() - state.complete_ms,
        )
        if proof:
            self.measures.time("rewards", "done", self.clock.now_ms() - state.complete_ms)
            finish(run, state, True, "scored", proof)
            return
        if state.reward_failures >= max(1, route.max_attempts):
            finish(run, state, False, f"its reward call failed {state.reward_failures} times", "")
            return
        retry_after_ms = answer.retry_after_ms if isinstance(answer, CallFailure) else None
        delay_ms = min(MAX_RETRY_DELAY_MS, max(RETRY_DELAY_MS, retry_after_ms or 0))
        state.reward_retry_at_ms = self.clock.now_ms() + delay_ms


def reward_route(catalog: Catalog, reward: RewardCall | None) -> Route | None:
    """Return the route of a reward call as one whose calls may be repeated, whatever its kind."""
    if reward is None:
        return None
    route = catalog.match(reward.host.lower(), reward.target)
    return None if route is None else attrs.evolve(route, kind=RouteKind.SAFE)


def _proof(answer: ClientResponse) -> str:
    if not isinstance(answer, BufferedResponse):
        return ""
    if not HTTPStatus.OK <= answer.status < HTTPStatus.MULTIPLE_CHOICES:
        return ""
    return answer.proof


def _server_errors(answer: ClientResponse) -> int:
    return answer.server_errors if isinstance(answer, BufferedResponse | CallFailure) else 0


def _describe(answer: ClientResponse) -> str:
    if isinstance(answer, CallFailure):
        return f"{answer.cause.value}: {answer.reason}"
    return f"status {answer.status}"
