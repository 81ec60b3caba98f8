"""Steps of operators: configuration through the command line."""

import json
import subprocess
import sys
import time

from behave import then, when

from tests.support.deployment import HOST, ROOT, wait_until

EXAMPLE = ROOT / "examples" / "bituin" / "configuration.jsonc"
DAEMONS = ("entry-1", "entry-2", "agent-1", "agent-2", "agent-3")


def _command(context, *arguments):
    address = f"{HOST}:{context.deployment.ports['object-store']}"
    command = [sys.executable, "-m", "pistachionotch", *arguments, "--object_api", address]
    return subprocess.run([*command, "--json"], cwd=ROOT, capture_output=True, text=True)


def _in_force(context, names, revision):
    return all(context.deployment.status(name)["config_revision"] == revision for name in names)


@when("the example configuration is applied with a heartbeat interval of {interval_ms:d} ms")
def apply_example_with_interval(context, interval_ms):
    apply_example(context, interval_ms)


@then("{name:Name} has lost no connection after {seconds:d} seconds")
def check_connections(context, name, seconds):
    time.sleep(seconds)
    assert "connection lost" not in context.deployment.log(name)


@when("the example configuration is applied")
def apply_example(context, interval_ms=2000):
    context.file = context.deployment.folder / "configuration.jsonc"
    assert _command(context, "fetch", str(context.file)).returncode == 0
    interval = f'"heartbeat_ms": {interval_ms}'
    context.file.write_text(EXAMPLE.read_text().replace('"heartbeat_ms": 2000', interval))
    done = _command(context, "apply", str(context.file))
    assert done.returncode == 0, done
    context.revision = json.loads(done.stdout)["revision"]


@when("two operators apply changes that were made from the same revision")
def race(context):
    """Both fetch the same revision, then apply different heartbeat intervals."""
    files = [context.deployment.folder / f"operator-{number}.jsonc" for number in (1, 2)]
    for number, file in enumerate(files, start=1):
        assert _command(context, "fetch", str(file)).returncode == 0
        text = file.read_text().replace('"heartbeat_ms": 2000', f'"heartbeat_ms": {2000 + number}')
        file.write_text(text)
    context.applied = [_command(context, "apply", str(file)) for file in files]


@then("exactly one of them is accepted")
def check_race(context):
    codes = sorted(done.returncode for done in context.applied)
    assert codes == [0, 3], context.applied
    accepted = next(done for done in context.applied if done.returncode == 0)
    context.revision = json.loads(accepted.stdout)["revision"]


@then("its revision is in force on every process within {seconds:d} seconds")
@then("the accepted revision is in force on every process within {seconds:d} seconds")
def check_in_force(context, seconds):
    wait_until(
        lambda: _in_force(context, DAEMONS, context.revision),
        seconds,
        f"revision {context.revision} is in force on every process",
    )


@then("its revision is in force on {name:Name} within {seconds:d} seconds")
def check_in_force_on(context, name, seconds):
    wait_until(
        lambda: _in_force(context, (name,), context.revision),
        seconds,
        f"revision {context.revision} is in force on {name}",
    )
