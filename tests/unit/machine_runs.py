"""Runs of state machines that give the same verdict each time."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test


def run_variant(machine, attributes, examples, steps):
    """Run ``machine`` with class attributes replaced, such as the class under test."""
    run_state_machine_as_test(
        type("Machine", (machine,), attributes),
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )
