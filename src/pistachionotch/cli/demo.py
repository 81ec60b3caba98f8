"""Command that shows the whole path in one process."""

from __future__ import annotations

from .output import ExitCode, print_json


def demo(json: bool = False, verbose: bool = False) -> int:
    """Run stand-ins, an entry with agents and a gateway in this process, and serve their work.

    Args:
        json: Write the facts as JSON to standard output.
        verbose: Write the decision log to standard error.
    """
    from ..demo.summary import run_demo

    report = run_demo(verbose)
    if json:
        print_json({"facts": report.facts, "failures": report.failures})
    else:
        print("\n".join(report.lines()))
    return ExitCode.FINDINGS if report.failures else ExitCode.DONE
