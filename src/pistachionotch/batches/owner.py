"""Runs the batches that this process owns: starts items, lists results and ends batches."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any

import attrs
import gevent
from gevent.event import Event

from ..clock import MS_PER_SECOND, Clock
from ..gateway.account_gate import AccountGate
from ..gateway.catalog import Catalog
from ..gateway.upstreams import Upstream, UpstreamRecord, UpstreamTable
from ..limits.byte_budget import ByteBudget, Holding, Purpose
from ..measures import Measures
from ..objects.values import ValueLimit
from ..tasks import keep_running
from .attempts import AttemptOutcome, ItemRunner
from .dispatch import EngineCandidate, Start, WaitingItem, plan_restarts, plan_starts
from .engine_places import Home
from .engines import engine_candidates, listed_origins
from .lengths import ItemLengths
from .log_writer import LogWriter
from .model import Owner, items_bytes
from .moves import Move, RunningItem, plan_moves, plan_transient_moves
from .progress import ItemProgress
from .routes import attempts_exhausted, batch_route, has_path_of
from .run import ENTRY_OVERHEAD_BYTES, MAX_ENTRY_BYTES, BatchRun
from .scoring import RewardCallRunner

# Share of the room for large requests that the items of batches may take. They stay for minutes.
BATCH_SHARE = 0.75
# Interval between two scheduling passes if no event triggers one earlier.
PASS_INTERVAL_MS = 50
# Timeout for stopping the tasks of a batch's items, which close their connections.
STOP_TIMEOUT_MS = 300


@attrs.define
class BatchOwner:
    """Scheduler of the batches that this process owns."""

    clock: Clock
    rng: random.Random
    local_owner: Owner
    region: str
    zone_regions: dict[str, str]
    table: UpstreamTable
    item_runner: ItemRunner
    reward_calls: RewardCallRunner
    catalog: Callable[[], Catalog | None]
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    runs: dict[str, BatchRun] = attrs.field(factory=dict)
    tasks: dict[tuple[str, str], Any] = attrs.field(factory=dict)
    prompt_engines: dict[tuple[str, str], str] = attrs.field(factory=dict)
    wake: Event = attrs.field(factory=Event)
    lengths: ItemLengths = attrs.field(factory=ItemLengths)
    # Number of kept connections to an upstream that are not in use.
    idle_connections: Callable[[UpstreamRecord], int] = lambda _record: 0
    value_limit: ValueLimit = ValueLimit(0)
    # Memory of the process; None if it has no limit.
    budget: ByteBudget | None = None
    holdings: dict[str, Holding] = attrs.field(factory=dict)
    # None if accounts don't share the services.
    accounts: AccountGate | None = None
    # Zone whose engines items prefer; empty if all zones of the region are alike.
    zone: str = ""
    writer: LogWriter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.writer = LogWriter(
            self.clock, self.rng, self.local_owner, self.log, self.measures, self.stop_items
        )

    def add(self, run: BatchRun) -> None:
        """Start to run a batch."""
        self.runs[run.id] = run
        if self.budget is not None:
            holding = self.holdings[run.id] = self.budget.hold(Purpose.BATCH, run.id)
            # Also beyond its limit: a batch that was accepted elsewhere has to go on.
            holding.grow(items_bytes(run.head.submission.items), force=True)
        if self.value_limit.max_object_bytes:
            run.entry_bytes = min(
                MAX_ENTRY_BYTES, self.value_limit.max_value_bytes - ENTRY_OVERHEAD_BYTES
            )
        gevent.spawn(
            keep_running,
            "list results",
            lambda: self.writer.list_results(run),
            self.clock,
            self.log,
            self.measures,
        )
        self.wake.set()

    def has_room(self, size: int) -> bool:
        """Return whether this process has room for the items of another batch, in bytes."""
        if self.budget is None:
            return True
        used = sum(holding.held_bytes for holding in self.holdings.values())
        return used + size <= BATCH_SHARE * self.budget.large_bytes

    def remove(self, run: BatchRun) -> None:
        """Remove a batch from memory."""
        del self.runs[run.id]
        holding = self.holdings.pop(run.id, None)
        if holding is not None:
            holding.release()
        for batch, group in list(self.prompt_engines):
            if batch == run.id:
                del self.prompt_engines[(batch, group)]

    def run(self) -> None:
        """Start items and reward calls; never returns."""
        while True:
            self.wake.wait(PASS_INTERVAL_MS / 1000)
            self.wake.clear()
            # Looks at the clock in each pass, so that a pause of the process is noticed.
            self.table.is_current()
            self.start_items()
            runs = [run for run in self.runs.values() if self.may_act(run)]
            self.reward_calls.start_calls(runs, self.may_act, self._finish)

    def may_act(self, run: BatchRun) -> bool:
        """Return whether this process may start work of a batch now."""
        return run.open and run.tenure.holds(self.clock.now_ms())

    def start_items(self) -> None:
        """Start and move the items that can start or move now."""
        catalog = self.catalog()
        if catalog is None:
            return
        waiting_by_service: dict[str, list[WaitingItem]] = {}
        running_by_service: dict[str, list[RunningItem]] = {}
        for run in self.runs.values():
            if not self.may_act(run):
                continue
            route = batch_route(catalog, run)
            if route is None:
                continue
            service = route.choose_service(self.rng)
            waiting_by_service.setdefault(service, [])
            priority = catalog.priority(route, run.head.submission.account)
            for item in self._waiting_items(run, service, priority):
                # A text goes on only at the service that began it, as long as the route has it.
                begun_at = item.origin.service if item.origin else service
                chosen = begun_at if route.has_service(begun_at) else service
                waiting_by_service.setdefault(chosen, []).append(item)
            if not route.single_version:
                expected_events = partial(self.lengths.expected_events, service)
                running = run.running(self.clock.now_ms(), expected_events)
                running_by_service.setdefault(service, []).extend(running)
        for service, waiting in waiting_by_service.items():
            home = Home(self.zone, self.region, self.zone_regions)
            engines = engine_candidates(
                self.table, service, home, self.clock.now_ms(), self.idle_connections
            )
            self._discard_texts(service, waiting, engines)
            started = plan_starts(
                waiting, engines, self.prompt_engines, self._slots_in_use(service, waiting)
            )
            for start in started:
                self._start(start)
            now_ms = self.clock.now_ms()
            running = running_by_service.get(service, [])
            short_of_slots = {item.model for item in waiting if len(started) < len(waiting)}
            moves = plan_moves(running, engines, now_ms, short_of_slots)
            moving = {(move.item.batch, move.item.item) for move in moves}
            staying = [item for item in running if (item.batch, item.item) not in moving]
            moves += plan_transient_moves(staying, engines, short_of_slots, now_ms)
            for move in moves:
                self._move(move)

    def _slots_in_use(self, service: str, waiting: list[WaitingItem]) -> dict[str, float]:
        """Return the slots that the accounts of waiting items use now."""
        if self.accounts is None:
            return {}
        names = {item.account for item in waiting if item.account}
        return {name: self.accounts.slots_in_use(service, name) for name in names}

    def _discard_texts(
        self, service: str, waiting: list[WaitingItem], engines: list[EngineCandidate]
    ) -> None:
        """Let items begin anew whose text is not worth waiting for its software version."""
        listed = listed_origins(self.table, service)
        # Without engines, nothing could generate the text again.
        if not listed:
            return
        for restart in plan_restarts(waiting, engines, listed):
            item = restart.item
            state = self.runs[item.batch].progress[item.item]
            self.measures.count("items_again", "other software version")
            self.log.info(
                "text discarded",
                batch=item.batch,
                item=item.item,
                begun_with=item.origin.software if item.origin else "",
                software=sorted(origin.software for origin in listed),
                last_event=state.last_event,
                waited_ms=item.waited_ms,
                listing=self.table.revision,
                reason=restart.reason,
            )
            state.restart()
            waiting[waiting.index(item)] = attrs.evolve(item, origin=None, events=0, started=False)

    def _waiting_items(self, run: BatchRun, service: str, priority: int) -> list[WaitingItem]:
        now_ms = self.clock.now_ms()
        if run.give_up_ms is not None and now_ms >= run.give_up_ms:
            for state in run.progress.values():
                if not (state.running or state.reward_call_running or state.finished):
                    self._finish(run, state, False, "its time in the queue is up")
            return []
        expected_events = partial(self.lengths.expected_events, service)
        return run.waiting(priority, now_ms, bool(self.zone), expected_events)

    def _start(self, start: Start) -> None:
        run = self.runs[start.item.batch]
        state = run.progress[start.item.item]
        upstream = self.table.upstreams[start.instance]
        state.running = True
        state.instance = start.instance
        state.started_ms = self.clock.now_ms()
        state.moved_from = ""
        distance = start.distance.name.lower()
        left = {}
        if self.zone:
            self.measures.count("item_placements", distance)
        if self.zone and start.left_because:
            self.measures.count("items_left_zone", start.left_because)
            left = {"distance": distance, "left_zone_because": start.left_because}
        self.log.info(
            "item placed",
            batch=run.id,
            item=state.item.id,
            upstream=start.instance,
            software=upstream.record.software,
            begun_with=state.origin.software if state.origin else "",
            version=upstream.version(start.item.model),
            min_version=start.item.min_version,
            in_flight=upstream.in_flight,
            listing=self.table.revision,
            after_event=state.last_event,
            expected_tokens=start.item.expected_tokens,
            reason=start.reason,
            **left,
        )
        key = (run.id, state.item.id)
        self.tasks[key] = gevent.spawn(self._run_item, run, state, upstream, start.item.priority)

    def _move(self, move: Move) -> None:
        """Interrupt an item, which then waits for a free slot on another engine."""
        key = (move.item.batch, move.item.item)
        task = self.tasks.get(key)
        if task is None:
            return
        self.measures.count("items_again", "moved")
        self.runs[key[0]].progress[key[1]].moved_from = move.item.instance
        self.log.info(
            "item moved",
            batch=key[0],
            item=key[1],
            upstream=move.item.instance,
            last_event=self.runs[key[0]].progress[key[1]].last_event,
            reason=move.reason,
        )
        task.kill(block=False)

    def _run_item(
        self, run: BatchRun, state: ItemProgress, upstream: Upstream, shared_priority: int
    ) -> None:
        service, account = upstream.record.service, run.head.submission.account
        if self.accounts is not None:
            self.accounts.begin_item(service, account, shared_priority)
        try:
            catalog = self.catalog()
            route = batch_route(catalog, run) if catalog else None
            submission = run.head.submission
            if catalog and route and not has_path_of(catalog, route, submission, state.item):
                # Accepted by an earlier version.
                self._finish(run, state, False, "its path is not under its route")
                return
            priority = catalog.priority(route, submission.account) if catalog and route else 0
            outcome = self.item_runner.run(
                submission,
                state,
                upstream,
                priority,
                lambda: self.may_act(run),
                catalog is not None and catalog.accounts is not None,
            )
        finally:
            if self.accounts is not None:
                self.accounts.end_item(service, account)
            state.running = False
            state.waiting_since_ms = self.clock.now_ms()
            self.tasks.pop((run.id, state.item.id), None)
            self.wake.set()
        if not run.open or state.finished:
            return
        self._handle_outcome(run, state, upstream, outcome)

    def _handle_outcome(
        self, run: BatchRun, state: ItemProgress, upstream: Upstream, outcome: AttemptOutcome
    ) -> None:
        catalog = self.catalog()
        route = batch_route(catalog, run) if catalog else None
        mixed_versions = route is not None and route.single_version and len(state.versions) > 1
        if outcome is AttemptOutcome.DONE and not mixed_versions:
            self._complete(run, state, upstream)
            return
        if outcome is AttemptOutcome.IMPOSSIBLE:
            self._finish(run, state, False, "the engine can never do it")
            return
        if outcome is AttemptOutcome.TOO_LARGE:
            self._finish(run, state, False, "its text is too large")
            return
        if route is not None and route.single_version:
            # The remaining text could come from other weights than the text so far.
            state.restart()
        if outcome in (AttemptOutcome.FAILED, AttemptOutcome.BROKEN):
            state.avoid.add(upstream.record.instance)
        if outcome is AttemptOutcome.FAILED:
            state.failed_at.add(upstream.record.instance)
            if route and attempts_exhausted(run, state, route.max_attempts):
                self._finish(run, state, False, f"failed {state.failures} times")
                return
        self.measures.count("items_again", outcome.value)
        self.log.info(
            "item waits again",
            batch=run.id,
            item=state.item.id,
            upstream=upstream.record.instance,
            reason=outcome.value,
            failures=state.failures,
            last_event=state.last_event,
        )

    def _complete(self, run: BatchRun, state: ItemProgress, upstream: Upstream) -> None:
        """Finish an item whose text is complete, or queue its reward call."""
        self.lengths.record(upstream.record.service, state.item.expected_tokens, len(state.texts))
        if state.item.reward is None:
            self._finish(run, state, True, upstream.record.instance)
            return
        run.mark_complete(state, self.clock.now_ms())
        self.log.info(
            "text complete",
            batch=run.id,
            item=state.item.id,
            reward_call=state.item.reward.id,
            upstream=upstream.record.instance,
            last_event=state.last_event,
            age_ms=self._age_ms(run),
        )
        self.wake.set()

    def _finish(
        self, run: BatchRun, state: ItemProgress, done: bool, reason: str, reward: str = ""
    ) -> None:
        self.measures.time("items", "done" if done else "given up", self._age_ms(run))
        run.finish(state, done, self.clock.now_ms(), reward)
        # The end of a reward call frees a slot for the next one.
        self.wake.set()
        self.log.info(
            "item finished",
            batch=run.id,
            item=state.item.id,
            done=done,
            versions=state.versions,
            software=state.origin.software if state.origin else "",
            last_event=state.last_event,
            age_ms=self._age_ms(run),
            reason=reason,
        )

    def _age_ms(self, run: BatchRun) -> int:
        return max(0, self.clock.now_ms() - run.accepted_ms)

    def stop_items(self, run: BatchRun) -> None:
        """Stop the running items and reward calls of a batch."""
        for (batch, _item), task in list(self.tasks.items()):
            if batch == run.id:
                gevent.spawn(task.kill)
        self.reward_calls.stop(run.id)

    def release(self, run: BatchRun) -> None:
        """List the finished items of a batch and stop running it, so that it can be handed off."""
        while self.writer.may_list(run) and run.unlisted and self.writer.list_once(run):
            continue
        run.stopped = True
        tasks = [task for (batch, _item), task in self.tasks.items() if batch == run.id]
        tasks += self.reward_calls.stop(run.id)
        # The text that their streams have delivered so far is handed off to the next owner.
        gevent.killall(tasks, timeout=STOP_TIMEOUT_MS / MS_PER_SECOND)
