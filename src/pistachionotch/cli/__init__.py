"""Command line of pistachionotch; a command's module is imported only when it is named."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from .commands import COMMANDS, usage
from .output import ExitCode, complain


def run(arguments: Sequence[str] | None = None) -> None:
    """Run the command that the arguments name and exit with its code."""
    try:
        code = execute(sys.argv[1:] if arguments is None else arguments)
    except KeyboardInterrupt:
        complain("interrupted")
        code = ExitCode.INTERRUPTED
    raise SystemExit(code)


def execute(arguments: Sequence[str]) -> int:
    """Run the command that the arguments name and return its exit code."""
    if not arguments:
        print(usage(), file=sys.stderr)
        return ExitCode.USAGE
    name, *rest = arguments
    if name in ("-h", "--help", "help"):
        print(usage())
        return ExitCode.DONE
    if name not in COMMANDS:
        print(f"unknown command '{name}'\n\n{usage()}", file=sys.stderr)
        return ExitCode.USAGE
    from .invocation import invoke

    return invoke(name, COMMANDS[name].load(), rest)
