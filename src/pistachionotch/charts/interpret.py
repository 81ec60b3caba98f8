"""Interpretation of the state charts in this package."""

from __future__ import annotations

import functools
from importlib import resources

from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Statechart


class ChartError(Exception):
    """Report an event for which the chart has no transition in its present state."""


@functools.cache
def load_chart(name: str) -> Statechart:
    """Return the chart ``<name>.yaml`` of this package; charts are shared and never changed."""
    text = resources.files(__package__).joinpath(f"{name}.yaml").read_text(encoding="utf-8")
    return import_from_yaml(text)


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
        before = self.state
        self.interpreter.queue(event)
        steps = self.interpreter.execute()
        if not any(step.transitions for step in steps):
            raise ChartError(f"chart {self.name} has no transition for {event} in state {before}")
        return self.state
