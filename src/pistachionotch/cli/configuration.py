"""Commands that work on files only: ``ask`` and ``generate``."""

from __future__ import annotations

import sys

from returns.result import Failure

from .files import write_product
from .output import ExitCode, complain, print_json, report_findings


def ask(answers: str | None = None, output: str | None = None, json: bool = False) -> int:
    """Ask the questionnaire's questions on standard input and write the answers.

    Args:
        answers: Take the answers from this file instead, check them and fill in the defaults.
        output: File to write; standard output by default.
        json: Write the answers, or findings, as JSON without comments.
    """
    from ..config.interview import InputEndedError, Interview, answers_text
    from ..config.located import read_text
    from ..config.questionnaire import read_answers

    if answers is None:
        try:
            values = Interview(sys.stdin, sys.stderr).run()
        except InputEndedError:
            complain("\nthe input ended before the last question; nothing was written")
            return ExitCode.USAGE
    else:
        result = read_text(answers).bind(lambda text: read_answers(text, answers))
        if isinstance(result, Failure):
            return report_findings(result.failure(), json)
        values = result.unwrap().values
    if json and output is None:
        print_json(values)
        return ExitCode.DONE
    return write_product(answers_text(values), output)


def generate(answers: str, output: str | None = None, json: bool = False) -> int:
    """Generate the configuration from answers; findings name the place of the answer.

    Args:
        answers: The file of answers.
        output: File to write; standard output by default.
        json: Write findings as JSON to standard output.
    """
    from ..config.generate import generate_checked
    from ..config.located import read_text

    result = read_text(answers).bind(lambda text: generate_checked(text, answers))
    if isinstance(result, Failure):
        return report_findings(result.failure(), json)
    return write_product(result.unwrap(), output)
