"""Run the benchmark without the command line of the whole project."""

from __future__ import annotations

import sys
from collections.abc import Sequence

import fire

from .run import DEFAULT_LOADS, DEFAULT_POLICIES, DEFAULT_SECONDS, DEFAULT_SEEDS, run_bench


def main(
    loads: Sequence[int] = DEFAULT_LOADS,
    seeds: Sequence[int] = DEFAULT_SEEDS,
    seconds: int = DEFAULT_SECONDS,
    policies: str | Sequence[str] = DEFAULT_POLICIES,
    json_path: str = "",
    plot_path: str = "",
) -> None:
    """Print the tables; progress goes to standard error."""
    if isinstance(policies, str):
        policies = [name for name in policies.split(",") if name]
    report = run_bench(
        loads,
        seeds,
        seconds,
        policies,
        json_path,
        plot_path,
        lambda line: print(line, file=sys.stderr),
    )
    print(report.text())


if __name__ == "__main__":
    fire.Fire(main)
