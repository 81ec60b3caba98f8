"""Guards against fields, commands and exit codes that the reference pages do not describe."""

import json
import re
from pathlib import Path

import pytest

from pistachionotch.cli.commands import COMMANDS
from pistachionotch.cli.output import ExitCode
from pistachionotch.config.schema import CONFIGURATION
from pistachionotch.config.settings import SETTINGS
from pistachionotch.config.spec import ListSpec, RecordSpec, TableSpec

DOCS = Path(__file__).parents[2] / "docs"
ROW = re.compile(r"^\| `([^`]+)` \| (.+) \| (required|none|`[^`]*`) \|$", re.MULTILINE)


def documented(heading):
    text = (DOCS / "configuration.md").read_text()
    section = text.split(f"## {heading}\n")[1].split("\n## ")[0]
    return {name: default.strip("`") for name, _, default in ROW.findall(section)}


def default_text(field):
    if field.required:
        return "required"
    value = field.default_value()
    if value is None:
        return "none"
    return "{}" if hasattr(value, "__attrs_attrs__") else json.dumps(value)


def fields_of(spec, path=""):
    if isinstance(spec, TableSpec):
        yield from fields_of(spec.item, f"{path}.*")
    elif isinstance(spec, ListSpec):
        yield from fields_of(spec.item, f"{path}[]")
    elif isinstance(spec, RecordSpec):
        for name, field in spec.fields.items():
            inner = f"{path}.{name}" if path else name
            yield inner, default_text(field)
            yield from fields_of(field.spec, inner)


@pytest.mark.parametrize(
    ("heading", "spec"),
    [("Settings of a process", SETTINGS), ("The deployment's configuration", CONFIGURATION)],
)
def test_every_field_is_described_with_its_default(heading, spec):
    assert documented(heading) == dict(fields_of(spec))


def test_every_command_and_exit_code_is_described():
    text = (DOCS / "cli.md").read_text()
    for name in COMMANDS:
        assert f"`{name}" in text
    for code in ExitCode:
        assert f"| {code.value} | `{code.name}` |" in text
