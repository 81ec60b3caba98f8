"""Helpers that write the output files of commands."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from .output import ExitCode, complain


def write_file(path: str | Path, text: str) -> bool:
    """Replace a file atomically, or print an error and return False."""
    partial = Path(f"{path}.partial")
    try:
        partial.write_text(text, encoding="utf-8")
        os.replace(partial, path)
    except OSError as error:
        complain(f"{path}: cannot be written: {error.strerror or error}")
        return False
    return True


def write_product(text: str, output: str | None) -> ExitCode:
    """Write a command's output to the file ``output``, or to standard output."""
    if output is None:
        sys.stdout.write(text)
        return ExitCode.DONE
    return ExitCode.DONE if write_file(output, text) else ExitCode.UNAVAILABLE
