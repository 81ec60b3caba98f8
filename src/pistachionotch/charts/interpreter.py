"""Interpretation of the state charts in this package."""

from __future__ import annotations

import functools
import json
from pathlib import Path

from sismic.interpreter import Interpreter
from sismic.model import BasicState, CompoundState, Statechart, Transition


class ChartError(Exception):
    """Report an event for which the chart has no transition in its present state."""


@functools.cache
def load_chart(name: str) -> Statechart:
    """Return the chart ``<name>.json`` of this package; charts are shared and never changed."""
    # ``sismic.io`` reads YAML, but its imports would take 2.2 MB of an entry's memory.
    text = (Path(__file__).parent / f"{name}.json").read_text(encoding="utf-8")
    data = json.loads(text)
    chart = Statechart(name, data["description"])
    chart.add_state(CompoundState(name, data["initial"]), None)
    for state in data["states"]:
        chart.add_state(BasicState(state), name)
    for state, fields in data["states"].items():
        for event, target in fields["transitions"].items():
            chart.add_transition(Transition(state, target, event))
    chart.validate()
    return chart


class ChartRunner:
    """Hold the present state of one chart."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.interpreter = Interpreter(load_chart(name))
        self.interpreter.execute()

    @property
    def state(self) -> str:
        """Return the innermost active state."""
        return str(self.interpreter.configuration[-1])

    def send(self, event: str) -> str:
        """Take the transition for ``event`` and return the new state."""
        previous_state = self.state
        self.interpreter.queue(event)
        steps = self.interpreter.execute()
        if not any(step.transitions for step in steps):
            raise ChartError(
                f"chart {self.name} has no transition for {event} in state {previous_state}"
            )
        return self.state
