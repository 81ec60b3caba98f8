"""Compares ways to keep a request that crashes upstreams from further upstreams.

``python -m pistachionotch.bench.crashing_requests`` plays one request that crashes each upstream
that runs it, beside innocent requests, upstreams that crash by themselves and a part of the fleet
that crashes at once. It prints crashes by that request, the most upstreams that it had down at a
time, innocent requests that were condemned or not served, and messages or writes per crash.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import attrs

from ..clock import MS_PER_SECOND
from ..quarantine.board import CrashBoard, CrashReport, Ruling, Stakes, Verdict

RUN_MS = 120_000
SERVICE = "s"
CULPRIT = "culprit"
# The culprit comes again at this interval; clients try each request twice.
CULPRIT_INTERVAL_MS = 5_000
CULPRIT_CRASH_MS = 90
CLIENT_TRIES = 2
CLIENT_PAUSE_MS = 300
ATTEMPTS = 3
RETRY_MS = 15
DOWN_MS = 3_300
SLOTS = 6
# Innocent requests: most are short, some run for seconds.
SHORT_MS = 31
LONG_MS = 2_000
LONG_SHARE = 0.2
FLAP_INTERVAL_MS = 6_000
FLEET_CRASH_MS = 60_000
FLEET_SHARE = 0.6
# Time until other gateways know: by a message, and by a watch of the object API.
SPREAD_MS = 100
WATCH_MS = 1_000


@attrs.frozen
class Scenario:
    """A number of gateways, the upstreams of a service, and its calls per second."""

    gateways: int
    upstreams: int
    calls_per_s: float


SCENARIOS = (Scenario(4, 3, 8.0), Scenario(58, 6, 20.0), Scenario(330, 100, 300.0))


@attrs.frozen
class Design:
    """What a gateway remembers, and when others know it."""

    name: str
    # Whether a request is remembered after its attempt.
    remembers: bool
    # Time until the others know; None if they never do.
    others_know_ms: int | None
    # Whether a request is identified by its path alone.
    by_path: bool = False
    # Whether what one gateway tells goes through the object API.
    stored: bool = False


DESIGNS = (
    Design("within an attempt", False, None),
    Design("per gateway", True, None),
    Design("object API", True, WATCH_MS, stored=True),
    Design("peers", True, SPREAD_MS),
    Design("peers, by path", True, SPREAD_MS, by_path=True),
)


@attrs.define(eq=False)
class Request:
    """A request of a client, over its tries."""

    content: str
    duration_ms: int
    gateway: int = 0
    tries: int = 0
    attempts: int = 0
    ended: bool = False


@attrs.define(eq=False)
class Upstream:
    """An upstream, its running requests and when it is up again."""

    number: int
    starts: int = 0
    up_ms: int = 0
    down_by_culprit: bool = False
    running: list[tuple[Request, bool]] = attrs.field(factory=list)

    @property
    def name(self) -> str:
        """Return the name of its present start."""
        return f"i-{self.number}@{self.starts}"


@attrs.define
class Outcome:
    """What happened in one run."""

    crashes: int = 0
    most_down: int = 0
    condemned: set[str] = attrs.field(factory=set)
    innocent: int = 0
    served: int = 0
    all_crashes: int = 0
    messages: int = 0
    writes: int = 0


@attrs.define
class Simulation:
    """One run of a scenario with a design."""

    scenario: Scenario
    design: Design
    rng: random.Random
    now_ms: int = 0
    number: int = 0
    events: list[tuple[int, int, Callable[[], None]]] = attrs.field(factory=list)
    upstreams: list[Upstream] = attrs.field(init=False)
    boards: dict[int, CrashBoard] = attrs.field(factory=dict)
    shared: CrashBoard = attrs.field(factory=CrashBoard)
    outcome: Outcome = attrs.field(factory=Outcome)

    def __attrs_post_init__(self) -> None:
        self.upstreams = [Upstream(number) for number in range(self.scenario.upstreams)]

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action after a time."""
        self.number += 1
        heapq.heappush(self.events, (self.now_ms + round(delay_ms), self.number, action))

    def run(self) -> Outcome:
        """Play the scenario."""
        self.at(0, self.next_call)
        self.at(CULPRIT_INTERVAL_MS, self.next_culprit)
        self.at(FLAP_INTERVAL_MS, self.flap)
        self.at(FLEET_CRASH_MS, self.crash_fleet)
        while self.events and self.now_ms < RUN_MS:
            self.now_ms, _number, action = heapq.heappop(self.events)
            action()
        return self.outcome

    def next_call(self) -> None:
        """Let an innocent request arrive."""
        long = self.rng.random() < LONG_SHARE
        duration_ms = self.rng.expovariate(1 / (LONG_MS if long else SHORT_MS)) + 1
        name = f"call {self.number}"
        self.outcome.innocent += 1
        self.begin_try(Request(name, round(duration_ms)))
        self.at(self.rng.expovariate(self.scenario.calls_per_s / MS_PER_SECOND), self.next_call)

    def next_culprit(self) -> None:
        """Let the culprit come again."""
        self.begin_try(Request(CULPRIT, CULPRIT_CRASH_MS))
        self.at(CULPRIT_INTERVAL_MS, self.next_culprit)

    def flap(self) -> None:
        """Crash one upstream that is up."""
        self.crash(self.rng.choice(self.upstreams), False)
        self.at(FLAP_INTERVAL_MS, self.flap)

    def crash_fleet(self) -> None:
        """Crash a part of the upstreams at once."""
        for upstream in self.upstreams:
            if self.rng.random() < FLEET_SHARE:
                self.crash(upstream, False)

    def begin_try(self, request: Request) -> None:
        """Send a request to any gateway."""
        request.tries += 1
        request.attempts = 0
        request.gateway = self.rng.randrange(self.scenario.gateways)
        self.attempt(request)

    def identity(self, request: Request) -> str:
        """Return the identity of a request in this design."""
        return "path" if self.design.by_path else request.content

    def rule(self, request: Request, stakes: Stakes) -> Ruling:
        """Return the ruling of the request's gateway."""
        if not self.design.remembers:
            return Ruling(Verdict.ORDINARY)
        content = self.identity(request)
        local = self.board(request.gateway).rule(content, SERVICE, stakes, self.now_ms)
        shared = self.shared.rule(content, SERVICE, stakes, self.now_ms)
        return max(local, shared, key=lambda ruling: ruling.crashes)

    def board(self, gateway: int) -> CrashBoard:
        """Return what a gateway has seen itself."""
        return self.boards.setdefault(gateway, CrashBoard())

    def attempt(self, request: Request) -> None:
        """Place a request, or fail its try."""
        up = [each for each in self.upstreams if each.up_ms <= self.now_ms]
        ruling = self.rule(request, Stakes(len(self.upstreams), len(up)))
        if ruling.verdict is Verdict.CONDEMNED:
            if request.content != CULPRIT:
                self.outcome.condemned.add(request.content)
            return
        free = [each for each in up if len(each.running) < 2 * SLOTS]
        if ruling.verdict is Verdict.HOLD or not free or request.attempts >= ATTEMPTS:
            self.fail_try(request)
            return
        trial = ruling.verdict is Verdict.TRY_ALONE
        idle = [each for each in free if not each.running] if trial else []
        upstream = self.rng.choice(idle or free)
        request.attempts += 1
        if trial:
            self.board(request.gateway).begin_trial(self.identity(request), SERVICE)
        upstream.running.append((request, trial))
        start = upstream.starts
        self.at(request.duration_ms, lambda: self.finish(request, upstream, start, trial))

    def fail_try(self, request: Request) -> None:
        """Let the client try once more."""
        if request.tries < CLIENT_TRIES:
            self.at(CLIENT_PAUSE_MS, lambda: self.begin_try(request))

    def finish(self, request: Request, upstream: Upstream, start: int, trial: bool) -> None:
        """End a run, unless its upstream has crashed meanwhile."""
        if upstream.starts != start:
            return
        if request.content == CULPRIT:
            self.outcome.crashes += 1
            self.crash(upstream, True)
            return
        upstream.running.remove((request, trial))
        if trial:
            self.board(request.gateway).end_trial(self.identity(request))
        self.outcome.served += 1
        self.tell(request.gateway, CrashReport(self.identity(request), "", "", self.now_ms))

    def crash(self, upstream: Upstream, by_culprit: bool) -> None:
        """Crash an upstream with all that runs on it."""
        if upstream.up_ms > self.now_ms:
            return
        self.outcome.all_crashes += 1
        name = upstream.name
        upstream.starts += 1
        upstream.up_ms = self.now_ms + DOWN_MS
        upstream.down_by_culprit = by_culprit
        down = [each for each in self.upstreams if each.up_ms > self.now_ms]
        self.outcome.most_down = max(
            self.outcome.most_down, sum(each.down_by_culprit for each in down)
        )
        running, upstream.running = upstream.running, []
        for request, trial in running:
            content = self.identity(request)
            if trial:
                self.board(request.gateway).end_trial(content)
            self.tell(request.gateway, CrashReport(content, SERVICE, name, self.now_ms))
            self.at(RETRY_MS, lambda request=request: self.attempt(request))  # type: ignore[misc]

    def tell(self, gateway: int, report: CrashReport) -> None:
        """Note what a gateway saw, and tell the others."""
        design = self.design
        if not design.remembers:
            return
        known = self.board(gateway).is_suspect(report.content) or (
            self.shared.is_suspect(report.content)
        )
        if not report.upstream and not known:
            return
        self.board(gateway).apply(report, self.now_ms)
        if design.others_know_ms is None:
            return
        if design.stored:
            self.outcome.writes += 1
        else:
            self.outcome.messages += self.scenario.gateways - 1
        self.at(design.others_know_ms, lambda: self.learn(report))

    def learn(self, report: CrashReport) -> None:
        """Let all gateways know of a report."""
        self.shared.apply(report, self.now_ms)


def main() -> None:
    """Print the comparison."""
    print("gateways  design              crashes  most down  condemned  not served  cost per crash")
    for scenario in SCENARIOS:
        for design in DESIGNS:
            runs = [Simulation(scenario, design, random.Random(seed)).run() for seed in range(5)]
            innocent = sum(run.innocent for run in runs)
            lost = innocent - sum(run.served for run in runs)
            cost = sum(run.messages + run.writes for run in runs)
            print(
                f"{scenario.gateways:8}  {design.name:18}"
                f"{sum(run.crashes for run in runs) / len(runs):9.1f}"
                f"{max(run.most_down for run in runs):8} of {scenario.upstreams:<3}"
                f"{sum(len(run.condemned) for run in runs):7}"
                f"{lost / innocent:12.4f}"
                f"{cost / max(1, sum(run.all_crashes for run in runs)):16.1f}"
            )


if __name__ == "__main__":
    main()
