"""Run the benchmark over deployments, loads, policies and seeds."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from pathlib import Path

import attrs

from .deployments import DEPLOYMENTS, Deployment
from .measures import summarise
from .policies import BASELINES, BOUND, OWN, POLICIES, Policy
from .report import GOAL_LOAD, Summary, goals, idle_causes, table
from .world import World

DEFAULT_LOADS = (50, 80, 95, 120)
DEFAULT_SEEDS = (1, 2, 3, 4, 5)
DEFAULT_SECONDS = 120
DEFAULT_POLICIES = (*BASELINES, OWN, BOUND)

# Deployment, load in percent, policy.
Cells = dict[str, dict[int, dict[str, Summary]]]


@attrs.frozen
class BenchReport:
    """Hold the summaries of all cells with the settings that gave them."""

    seeds: tuple[int, ...]
    seconds: int
    cells: Cells

    def text(self) -> str:
        """Return the tables and the goal check."""
        lines = [f"seeds {', '.join(map(str, self.seeds))}; {self.seconds} s measured in each run"]
        checks: list[str] = []
        causes: list[str] = []
        for deployment, loads in self.cells.items():
            for load, policies in loads.items():
                lines += ["", f"{deployment}, load {load} %", table(policies)]
                if load == GOAL_LOAD:
                    causes += idle_causes(deployment, policies)
                if load == GOAL_LOAD and {OWN, BOUND, *BASELINES} <= policies.keys():
                    checks += goals(deployment, policies)
        return "\n".join([*lines, "", *causes, "", *checks])

    def to_json(self) -> str:
        """Return everything as JSON."""
        return json.dumps(attrs.asdict(self), indent=1)


def run_bench(
    loads: Sequence[int] = DEFAULT_LOADS,
    seeds: Sequence[int] = DEFAULT_SEEDS,
    seconds: int = DEFAULT_SECONDS,
    policies: Sequence[str] = DEFAULT_POLICIES,
    json_path: str = "",
    plot_path: str = "",
    progress: Callable[[str], None] = lambda line: None,
) -> BenchReport:
    """Run all cells and write the files that are asked for."""
    cells: Cells = {}
    for deployment in DEPLOYMENTS:
        cells[deployment.name] = {}
        for load in loads:
            progress(f"{deployment.name} at {load} %")
            cells[deployment.name][load] = {
                name: _run_cell(deployment, load, seeds, seconds, POLICIES[name])
                for name in policies
            }
    report = BenchReport(tuple(seeds), seconds, cells)
    if json_path:
        Path(json_path).write_text(report.to_json() + "\n", encoding="utf-8")
    if plot_path:
        # matplotlib is a development dependency and slow to import.
        from .plot import draw

        draw(report.cells, plot_path)
    return report


def _run_cell(
    deployment: Deployment, load: int, seeds: Sequence[int], seconds: int, policy: Policy
) -> Summary:
    runs = []
    for seed in seeds:
        world = World(
            deployment,
            load / 100,
            seed,
            seconds * 1_000,
            policy.make_queue,
            policy.make_dispatcher,
        )
        runs.append(world.run())
    return summarise(runs, seconds)
