"""Text table and goal check of a benchmark."""

from __future__ import annotations

from typing import Any

from .policies import BASELINES, BOUND, OWN

Summary = dict[str, Any]
GOAL_LOAD = 80
GOAL_OF_BOUND = 1.5
GOAL_OF_BASELINE = 0.5
GOAL_IDLE = 1.1

COLUMNS = (
    "policy",
    "assistant p50/p99/p99.9 ms",
    "p99 by seed",
    "service p50/p99/p99.9 ms",
    "p99 by seed",
    "long p99",
    "idle %",
    "by seed",
    "age",
    "miss %",
    "refused %",
    "tokens/s",
    "region kB/s",
    "hedges",
    "retries",
    "moves",
    "stale",
    "prefix hits %",
)


def table(policies: dict[str, Summary]) -> str:
    """Lay out one row for each policy; latencies are those while an upstream was slowed."""
    rows = [COLUMNS, *(_row(name, summary) for name, summary in policies.items())]
    widths = [max(len(row[index]) for row in rows) for index in range(len(COLUMNS))]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def goals(deployment: str, policies: dict[str, Summary]) -> list[str]:
    """State by how much each goal was met or missed at the goal's load."""
    own, bound = policies[OWN], policies[BOUND]
    lines = []
    for kind in ("assistant", "service"):
        key = f"{kind}_slowed_ms"
        if not all("p99" in policies[name][key] for name in (OWN, BOUND, *BASELINES)):
            lines.append(f"{deployment} {kind} p99: no upstream was slowed in the measured time")
            continue
        own_ms = own[key]["p99"]
        best_ms = min(policies[name][key]["p99"] for name in BASELINES)
        lines.append(
            f"{deployment} {kind} p99 {own_ms} ms: "
            f"{_verdict(own_ms / bound[key]['p99'], GOAL_OF_BOUND)} of the bound, "
            f"{_verdict(own_ms / best_ms, GOAL_OF_BASELINE)} of the best baseline"
        )
    ratio = own["idle_share"] / max(1e-9, bound["idle_share"])
    lines.append(
        f"{deployment} trainer idle {own['idle_share']:.1%}: "
        f"{_verdict(ratio, GOAL_IDLE)} of the bound's {bound['idle_share']:.1%}"
    )
    stale = own["stale_delivered"]
    lines.append(f"{deployment} stale samples delivered: {stale} (goal 0)")
    return lines


def idle_causes(deployment: str, policies: dict[str, Summary]) -> list[str]:
    """State for each policy why its trainers waited, in per cent of their time."""
    lines = []
    for name, summary in policies.items():
        parts = summary["idle_parts"].items()
        shares = ", ".join(f"{cause} {100 * share:.1f}" for cause, share in parts)
        lines.append(f"{deployment} {name} idle {100 * summary['idle_share']:.1f}%: {shares}")
    return lines


def _verdict(ratio: float, goal: float) -> str:
    state = "met" if ratio <= goal else "MISSED"
    return f"{ratio:.2f} times (goal {goal}, {state})"


def _row(name: str, summary: Summary) -> tuple[str, ...]:
    assistant, service = summary["assistant_slowed_ms"], summary["service_slowed_ms"]
    idle = summary["idle_share_by_seed"]
    shorts = ("assistant", "service")
    missed = "/".join(f"{100 * summary[f'{kind}_missed_share']:.1f}" for kind in shorts)
    refused = "/".join(f"{100 * summary[f'{kind}_refused_share']:.1f}" for kind in shorts)
    return (
        name,
        _quantiles(assistant),
        _seeds(assistant),
        _quantiles(service),
        _seeds(service),
        str(summary["long_ms"].get("p99", "-")),
        f"{100 * summary['idle_share']:.1f}",
        f"{100 * idle['low']:.0f}-{100 * idle['high']:.0f}",
        f"{summary['sample_age_mean']:.2f}<={summary['sample_age_max']}",
        missed,
        refused,
        f"{summary['goodput_tokens_per_s']['median']:.0f}",
        f"{summary['region_bytes_per_s']['median'] / 1000:.0f}",
        str(summary["hedges"]),
        str(summary["retries"]),
        str(summary["moves"]),
        f"{summary['stale_regenerated']}",
        f"{100 * summary['prefix_hit_share']:.0f}",
    )


def _quantiles(latency: dict[str, Any]) -> str:
    if not latency:
        return "-"
    return f"{latency['p50']}/{latency['p99']}/{latency['p99.9']}"


def _seeds(latency: dict[str, Any]) -> str:
    if not latency:
        return "-"
    spread = latency["p99_by_seed"]
    return f"{spread['low']:.0f}-{spread['high']:.0f}"
