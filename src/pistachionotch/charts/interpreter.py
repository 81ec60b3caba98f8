"""Interpreter of the statecharts in this package."""

from __future__ import annotations

import functools
import json
from pathlib import Path

from sismic.interpreter import Interpreter
from sismic.model import BasicState, CompoundState, Statechart, Transition


class ChartError(Exception):
    """Raised for an event without a transition in the current state of the chart."""


@functools.cache
def load_chart(name: str) -> Statechart:
    """Load ``<name>.json`` of this package; callers share the chart and must not change it."""
    # ``sismic.io`` would load YAML, but its imports take 2.2 MB of memory in each entry.
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
    """A running instance of one statechart."""

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
