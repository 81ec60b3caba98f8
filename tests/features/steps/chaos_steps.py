"""Steps of seeded chaos runs; scripts/chaos.sh runs other seeds for longer."""

from behave import then, when

from tests.support.chaos import ChaosRun


@when("a chaos run with seed {seed:d} lasts {seconds:d} seconds")
def run_chaos(context, seed, seconds):
    context.run = ChaosRun(seed, seconds, context.deployment)
    context.run.run()


@then("the oracle finds no broken guarantee")
def check_guarantees(context):
    assert context.run.violations == [], context.run.violations
    assert context.run.load.pulled, "the run delivered no samples"
    assert context.run.load.answers, "the run sent no orders"
    assert context.run.faults.departures, "the run told no process to leave"
    assert context.run.operators.applied, "the run changed no configuration"
