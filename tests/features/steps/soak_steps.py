"""Steps of the fault soak."""

from behave import then, when

from tests.support.soak import Soak


@when("a soak with seed {seed:d} lasts {seconds:d} seconds")
def run_soak(context, seed, seconds):
    context.problems = Soak(seed, seconds).run()


@then("no promise is broken")
def check_problems(context):
    assert context.problems == []
