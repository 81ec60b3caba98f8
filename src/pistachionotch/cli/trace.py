"""Command that finds one request in the logs of several processes."""

from __future__ import annotations

import json as json_library
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs

from ..accounts.access import client_batch_id
from ..batches.ids import external_id
from .output import ExitCode, complain, print_json

# Fields of a log line that may hold the wanted id.
ID_FIELDS = ("request", "batch", "item", "upstream", "reward_call", "content")
# Parts of events that tell what a node knows, apart from any request.
KNOWLEDGE = (
    "configuration in force",
    "upstreams listed",
    "object API lost",
    "object API regained",
    "direct path",
    "draining",
    "started",
)


@attrs.frozen
class Line:
    """Hold one line of a log."""

    node: str
    fields: dict[str, Any]

    @property
    def time(self) -> str:
        """Return the time of the line, which sorts as text."""
        return str(self.fields.get("timestamp", ""))

    @property
    def event(self) -> str:
        """Return what happened."""
        return str(self.fields.get("event", ""))

    def names(self, wanted: str) -> bool:
        """Return whether the line is about the wanted id."""
        if any(self.fields.get(field) == wanted for field in ID_FIELDS):
            return True
        # Clients know a batch of an account by a part of its id.
        return external_id(client_batch_id(str(self.fields.get("batch", "")))) == wanted

    def tells_knowledge(self) -> bool:
        """Return whether the line tells what the node knows."""
        return any(part in self.event for part in KNOWLEDGE)

    def text(self) -> str:
        """Return the line for a person."""
        hidden = ("timestamp", "event", "level", "node")
        details = " ".join(
            f"{name}={value}" for name, value in self.fields.items() if name not in hidden
        )
        return f"{self.time} {self.node:24} {self.event} {details}"


def read_lines(paths: tuple[str, ...]) -> Iterator[Line]:
    """Yield the log lines of all files; other text in them is passed over."""
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            for text in file:
                start = text.find("{")
                if start < 0:
                    continue
                try:
                    fields = json_library.loads(text[start:])
                except ValueError:
                    continue
                if isinstance(fields, dict) and "event" in fields:
                    yield Line(str(fields.get("node") or Path(path).stem), fields)


def linked_ids(lines: list[Line], wanted: str) -> frozenset[str]:
    """Return an id with those of the reward calls of its items, or of the item of its call."""
    linked = {wanted}
    for line in lines:
        call = line.fields.get("reward_call")
        if call is None:
            continue
        if line.fields.get("item") == wanted:
            linked.add(str(call))
        if call == wanted:
            linked.add(str(line.fields.get("item")))
    return frozenset(linked)


def select(lines: list[Line], wanted: str, around: int) -> list[Line]:
    """Return the lines about an id, each node's with the last ``around`` on what it knew."""
    linked = linked_ids(lines, wanted)
    chosen: list[Line] = []
    known: dict[str, list[Line]] = {}
    for line in sorted(lines, key=lambda line: line.time):
        if any(line.names(name) for name in linked):
            chosen.extend(known.pop(line.node, []))
            chosen.append(line)
            continue
        if around and line.tells_knowledge():
            known[line.node] = [*known.get(line.node, []), line][-around:]
    return chosen


def trace(wanted: str, *files: str, around: int = 1, json: bool = False) -> int:
    """Show one request's lines in the logs of several processes.

    Args:
        wanted: The id of a request, a batch, an item or an upstream.
        files: The log files of the processes.
        around: Lines before each of a node's lines that tell what it knew.
        json: Write the lines as JSON to standard output.
    """
    try:
        lines = select(list(read_lines(files)), str(wanted), around)
    except OSError as error:
        complain(str(error))
        return ExitCode.UNAVAILABLE
    if not lines:
        complain(f"no line names {wanted}")
        return ExitCode.FINDINGS
    if json:
        print_json([{**line.fields, "node": line.node} for line in lines])
        return ExitCode.DONE
    for line in lines:
        print(line.text())
    return ExitCode.DONE
