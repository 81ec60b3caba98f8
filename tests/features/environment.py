"""Gives each scenario a deployment of its own and ends its processes afterwards."""

from gevent import monkey

monkey.patch_all()

from behave import register_type  # noqa: E402
from parse import with_pattern  # noqa: E402

from tests.support.deployment import Deployment  # noqa: E402


@with_pattern(r"[a-z0-9-]+")
def parse_name(text):
    return text


register_type(Name=parse_name)


def before_scenario(context, _scenario):
    context.deployment = Deployment()


def after_scenario(context, scenario):
    context.deployment.stop()
    if scenario.status != "passed":
        print(f"logs: {context.deployment.folder}")
