"""Command that measures the placement and admission policy."""

from __future__ import annotations

from .output import ExitCode, complain


def bench(
    loads: str = "50,80,95,120",
    seeds: str = "1,2,3,4,5",
    seconds: int = 120,
    policies: str = "",
    plot: str | None = None,
    json: bool = False,
) -> int:
    """Measure the policy and its baselines with fakes at the interfaces.

    Args:
        loads: Loads in per cent of the capacity, with commas.
        seeds: Seeds, with commas.
        seconds: Measured time of each cell.
        policies: Names of policies with commas; all by default.
        plot: File for a plot, which needs matplotlib.
        json: Write the report as JSON to standard output.
    """
    from ..bench.policies import POLICIES
    from ..bench.run import DEFAULT_POLICIES, run_bench

    chosen = [name for name in policies.split(",") if name] or list(DEFAULT_POLICIES)
    unknown = sorted(set(chosen) - set(POLICIES))
    if unknown:
        complain(f"unknown policy: {', '.join(unknown)}; known are {', '.join(POLICIES)}")
        return ExitCode.USAGE
    numbers = _numbers(loads), _numbers(seeds)
    if not all(numbers) or seconds < 1:
        complain("loads and seeds are whole numbers with commas, seconds is at least 1")
        return ExitCode.USAGE
    report = run_bench(*numbers, seconds, chosen, "", plot or "", complain)
    print(report.to_json() if json else report.text())
    return ExitCode.DONE


def _numbers(text: str) -> list[int]:
    parts = text.split(",")
    if not all(part.strip().isdigit() for part in parts):
        return []
    return [int(part) for part in parts]
