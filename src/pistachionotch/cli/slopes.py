"""Command that measures what the duties and stored objects cost."""

from __future__ import annotations

import sys

from .output import ExitCode, complain, print_json


def slopes(name: str, json: bool = False) -> int:
    """Measure one slope over loopback and fit a line through its points.

    Args:
        name: The measurement, such as sizes, leases or steps.
        json: Write the raw points and fits as JSON to standard output.
    """
    from ..bench.slopes.run import MEASURES, load_measure
    from ..logs import configure_logs

    if name not in MEASURES:
        complain(f"no slope '{name}'; there are {', '.join(sorted(MEASURES))}")
        return ExitCode.USAGE
    configure_logs(sys.stderr)
    measured = load_measure(name)()
    if json:
        print_json([slope.to_json() for slope in measured])
    else:
        print("\n".join(slope.text() for slope in measured))
    return ExitCode.DONE
