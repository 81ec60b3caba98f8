"""Commands that work on files only: ``ask``, ``generate`` and ``check``."""

from __future__ import annotations

from returns.result import Failure

from .output import ExitCode, print_json, report_findings


def check(file: str, json: bool = False) -> int:
    """Report every finding of a configuration at once.

    Args:
        file: The configuration to check.
        json: Write the findings as JSON to standard output.
    """
    from ..config.check import check as check_text
    from ..config.located import read_text

    text = read_text(file)
    if isinstance(text, Failure):
        return report_findings(text.failure(), json)
    result = check_text(text.unwrap(), file)
    if isinstance(result, Failure):
        return report_findings(result.failure(), json)
    if json:
        print_json({"findings": []})
    else:
        print(f"{file}: no findings")
    return ExitCode.DONE
