"""Exit codes and output that all commands share; ``docs/cli.md`` describes both."""

from __future__ import annotations

import enum
import json
import sys
from collections.abc import Iterable
from typing import Any

from ..findings import Finding


class ExitCode(enum.IntEnum):
    """Say how a command ended."""

    DONE = 0
    FINDINGS = 1
    USAGE = 2
    CONFLICT = 3
    # Only of ``check``, which has no conflicts.
    WARNINGS = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    INTERRUPTED = 130


def print_json(value: Any) -> None:
    """Write one JSON document to standard output."""
    json.dump(value, sys.stdout, indent=2, ensure_ascii=False)
    sys.stdout.write("\n")


def complain(message: str) -> None:
    """Write a line for a person to standard error."""
    print(message, file=sys.stderr)


def report_findings(findings: Iterable[Finding], as_json: bool) -> ExitCode:
    """Write all findings and return the exit code for them."""
    items = list(findings)
    if as_json:
        print_json({"findings": [finding_fields(item) for item in items]})
        return ExitCode.FINDINGS
    for item in items:
        complain(str(item))
    return ExitCode.FINDINGS


def finding_fields(finding: Finding) -> dict[str, Any]:
    """Return the fields of a finding in JSON output."""
    place = finding.place
    return {
        "file": place.file,
        "line": place.line,
        "column": place.column,
        "message": finding.message,
    }
