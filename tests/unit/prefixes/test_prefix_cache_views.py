"""Guards against cache views that outlive a gap in the events and reports over the byte limit.

Wrong reports must not place a request on an agent that is not allowed.
"""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from machine_runs import run_variant

from pistachionotch.admission.load import LoadReport
from pistachionotch.clock import MS_PER_SECOND, Deadline, ManualClock
from pistachionotch.outcomes import RequestClass
from pistachionotch.prefixes.cache_estimate import CacheChange, CacheReport, PrefixCacheEstimate
from pistachionotch.prefixes.key import prefix_key
from pistachionotch.prefixes.reports import BURST_BYTES, BYTES_PER_SECOND, CacheReporter
from pistachionotch.prefixes.view import (
    CacheView,
    PrefixCacheUsage,
    parse_event_page,
    parse_usage,
)
from pistachionotch.routing.candidates import Candidate, Location, RoutedRequest
from pistachionotch.routing.placement import RoutingCosts, place
from pistachionotch.standins.prefix_cache import PrefixCacheStandIn
from pistachionotch.wire.codec import encode
from pistachionotch.wire.messages import Heartbeat

AGENTS = ("a", "b", "c")
PROMPTS = st.sampled_from([letter * 40 for letter in "pqrstu"])
CHANGES = st.builds(
    CacheChange,
    PROMPTS.map(lambda prompt: prefix_key("m", prompt)),
    st.integers(-5, 2**31),
    st.integers(-(2**31), 2**31),
)
REPORTS = st.builds(CacheReport, st.booleans(), st.lists(CHANGES, max_size=4).map(tuple))


class RecordingEngine(PrefixCacheStandIn):
    """Records what the engine held after each event, including lost events."""

    def _publish(self, kind, prefix, tokens):
        super()._publish(kind, prefix, tokens)
        before = self.held_after[self.sequence - 1]
        change = {prefix} if kind == "stored" else set()
        self.held_after[self.sequence] = (before - {prefix}) | change

    def clear(self):
        super().clear()
        self.held_after = {0: frozenset()}


class CacheMachine(RuleBasedStateMachine):
    view = CacheView

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(0)
        self.engine = RecordingEngine(self.clock, capacity_tokens=30)
        self.engine.clear()
        self.reports = CacheReporter(self.view())
        self.pages = []
        self.estimates = {agent: PrefixCacheEstimate() for agent in AGENTS}
        self.sent_bytes = 0

    @rule(prompt=PROMPTS, lost=st.sampled_from([0, 0, 0, 1]))
    def complete(self, prompt, lost):
        self.engine.events_to_lose += lost
        use = parse_usage(self.engine.process_prompt(prompt))
        self.reports.view.record_usage(prefix_key("m", prompt), use)
        assert isinstance(use, PrefixCacheUsage)

    @rule(pause_ms=st.integers(1, 400))
    def advance(self, pause_ms):
        self.clock.advance(pause_ms)

    @rule()
    def read(self):
        page = parse_event_page(self.engine.events_after(self.reports.view.sequence)).unwrap()
        self.pages.append(page)
        self.observe(page)

    @rule(choice=st.randoms(use_true_random=False))
    def repeat_old_page(self, choice):
        if self.pages:
            self.observe(choice.choice(self.pages))

    @rule()
    def restart_engine(self):
        self.engine.clear()
        self.pages.clear()
        self.read()

    def observe(self, page):
        whole = self.reports.view.apply_page(page, self.clock.now_ms())
        if not whole:
            assert set(self.reports.view.stored) <= {event.prefix for event in page.events}

    @rule(entry=st.integers(0, 2), lost=st.booleans(), times=st.integers(1, 2))
    def report(self, entry, lost, times):
        report = self.reports.next_report(entry, self.clock.now_ms())
        if report is None:
            return
        plain = len(encode(Heartbeat(0, 0)))
        self.sent_bytes += len(encode(Heartbeat(0, 0, cache=report))) - plain
        for _ in range(0 if lost else times):
            self.estimates["a"].apply(report, self.clock.now_ms())

    @rule(agent=st.sampled_from(AGENTS), report=REPORTS)
    def mislead(self, agent, report):
        self.estimates[agent].apply(report, self.clock.now_ms())

    @rule(
        prompt=PROMPTS,
        draining=st.sets(st.sampled_from(AGENTS)),
        excluded=st.frozensets(st.sampled_from(AGENTS)),
        other_model=st.sets(st.sampled_from(AGENTS)),
    )
    def place(self, prompt, draining, excluded, other_model):
        now_ms, prefix = self.clock.now_ms(), prefix_key("m", prompt)
        candidates = []
        for agent, estimates in self.estimates.items():
            cached = estimates.cached(prefix, now_ms)
            models = frozenset({"other" if agent in other_model else "m"})
            candidates.append(
                Candidate(
                    agent, "z", "r", LoadReport.unknown(), now_ms, draining=agent in draining,
                    cached_tokens=cached.tokens, cached_age_ms=cached.age_ms, models=models,
                )
            )  # fmt: skip
        request = RoutedRequest(
            "r1", RequestClass.TRAINING, Deadline(now_ms + 60_000), "m", 10, 10,
            excluded=excluded, prefix=prefix,
        )  # fmt: skip
        location = Location("e", "z", "r")
        chosen = place(
            request, candidates, location, now_ms, random.Random(1), RoutingCosts()
        ).agent
        allowed = set(AGENTS) - draining - excluded - other_model
        assert chosen in allowed if allowed else chosen is None

    @invariant()
    def the_view_holds_nothing_that_the_engine_had_lost_by_then(self):
        view = self.reports.view
        assert set(view.stored) <= self.engine.held_after[view.sequence]

    @invariant()
    def reports_stay_within_their_limit(self):
        allowed = BURST_BYTES + self.clock.now_ms() * BYTES_PER_SECOND / MS_PER_SECOND
        assert self.sent_bytes <= allowed


def test_cache_reports_never_place_a_request_on_an_excluded_agent():
    run_variant(CacheMachine, {}, examples=150, steps=40)


class KeepsPrefixesAfterGap(CacheView):
    def _clear(self, sequence):
        self.sequence = sequence


def test_state_machine_detects_a_view_that_survives_a_gap():
    with pytest.raises(AssertionError):
        run_variant(CacheMachine, {"view": KeepsPrefixesAfterGap}, examples=150, steps=40)


def test_equal_prompts_share_an_agent_and_cached_prompts_go_to_their_cache():
    """Guards against prefilling the same prompt at another engine for each sample of a group."""
    request = RoutedRequest(
        "r", RequestClass.TRAINING, Deadline(60_000), "m", 300, 800, prefix=b"12345678"
    )
    load = LoadReport({}, {}, {}, 8, 40.0, 0, 200, 0)
    plain = [Candidate(a, "z", "r", load, 0, models=frozenset({"m"})) for a in AGENTS]
    costs, location = RoutingCosts(), Location("e", "z", "r")

    def chosen(candidates):
        placed = [
            place(request, candidates, location, 0, random.Random(s), costs) for s in range(9)
        ]
        return {placement.agent for placement in placed}, placed[0].reason

    agents, reason = chosen(plain)
    assert len(agents) == 1
    assert reason.endswith("preferred for its prefix")
    other = next(agent for agent in AGENTS if agent not in agents)
    holding = [
        Candidate(
            item.agent, "z", "r", load, 0, cached_tokens=800 * (item.agent == other),
            cached_age_ms=60_000, models=item.models,
        )
        for item in plain
    ]  # fmt: skip
    agents, reason = chosen(holding)
    assert agents == {other}
    assert reason.endswith("cached prefix saves 100 ms")
