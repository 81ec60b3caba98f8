"""Steps that build a deployment and bring about faults."""

import gevent
from behave import given, when

from tests.support.deployment import HOST, Deployment, free_port, wait_until
from tests.support.forwarder import Forwarder


@given("a deployment of two entries and three agents")
def start(context):
    context.deployment.start_standard()


@given("a deployment of two entries and three agents with parts of {count:d} samples")
def start_with_small_parts(context, count):
    context.deployment.start_standard(step_part_samples=count)


@given("a deployment whose storefront agent is reached through a forwarder")
def start_with_forwarder(context):
    deployment: Deployment = context.deployment
    deployment.start_platform()
    deployment.start_standin("storefront", "plain-service", "storefront")
    port = deployment.ports.setdefault("agent-3", free_port())
    context.forwarder = Forwarder(port, lambda _client_port: True)
    deployment.move_member("agent-3", context.forwarder.port)
    deployment.start_agent("agent-3", "cebu", "storefront", "plain-service", "storefront", 32)
    deployment.start_entry("entry-1", "cebu")
    deployment.wait_agents("entry-1", 1)


@given("the storefront takes {delay_ms:d} ms for a call")
def slow_storefront(context, delay_ms):
    context.deployment.faults("storefront", delay_ms=delay_ms)


@given("the storefront loses its next answer")
def lose_answer(context):
    context.deployment.faults("storefront", lose_next_answers=1)


@given("the object API is out")
def store_out(context):
    context.deployment.faults("object-store", outage=True)


@given("a deployment of one entry and three agents")
def start_one_entry(context):
    context.deployment.start_standard(entries=1)


@given("{name:Name} holds all leases")
def holds_all_leases(context, name):
    expected = ("claims/all", "directory/cebu", "directory/iloilo")
    expected += ("weights/fitting-cebu", "weights/fitting-iloilo")
    log = context.deployment.log

    def held():
        lines = [line for line in log(name).splitlines() if "lease: acquired" in line]
        return all(any(f"leases/{key}" in line for line in lines) for key in expected)

    wait_until(held, 20, f"{name} holds all leases")


@given("the object API answers after {delay_ms:d} ms")
def store_slow(context, delay_ms):
    context.deployment.faults("object-store", slow_ms=delay_ms)


@when("the object API is back")
def store_back(context):
    context.deployment.faults("object-store", outage=False)


@given("the object API loses the answers to the next {count:d} writes")
def store_loses_answers(context, count):
    context.deployment.faults("object-store", lose_answers=count)


@given("{engine:Name} breaks each stream after {count:d} tokens")
def break_streams(context, engine, count):
    context.deployment.faults(engine, break_after_tokens=count)


@given("{engine:Name} fails its next order")
def fail_order(context, engine):
    context.deployment.faults(engine, fail_orders=1)


@given("{engine:Name} loses its next order's answer")
def lose_order_answer(context, engine):
    context.deployment.faults(engine, lose_order_answers=1)


@when('{name:Name} is killed once the storefront has the order "{key}"')
def kill_in_flight(context, name, key):
    def arrived():
        calls = context.deployment.ledger("storefront")["calls"]
        return any(call["key"] == key for call in calls)

    wait_until(arrived, 10, f"the storefront has {key}")
    context.deployment.kill(name)


@when("{name:Name} is killed")
def kill(context, name):
    context.deployment.kill(name)


@when("{name:Name} is started with all agents as peers")
def start_with_peers(context, name):
    ports = [context.deployment.ports[f"agent-{number}"] for number in (1, 2, 3)]
    context.deployment.start_entry(name, "cebu", peers=[f"{HOST}:{port}" for port in ports])
    context.deployment.wait_agents(name, 3)


@when("{name:Name} is started again")
def start_again(context, name):
    context.deployment.restart(name)


@given("{name:Name} that does not reach the agent behind the forwarder")
def start_without_agent(context, name):
    context.forwarder.closed_to_new = True
    context.deployment.start_entry(name, "cebu")
    context.deployment.wait_agents(name, 0)


@when("the forwarder holds everything back")
def hold_back(context):
    context.forwarder.cut()


@when("{name:Name} has placed a call")
def placed(context, name):
    wait_until(lambda: "placed" in context.deployment.log(name), 20, f"{name} has placed a call")


@when("the forwarder delivers what it held back, and accepts new connections")
def deliver(context):
    context.forwarder.closed_to_new = False
    context.forwarder.mend()
    context.job.get(timeout=40)


@when("the forwarder goes silent on open connections")
def silence(context):
    context.forwarder.silence_open()


@when("the VM list says that {name:Name} is leaving")
def leaving(context, name):
    context.deployment.list_vms(name)


@when(
    "{name:Name} is frozen for {seconds:d} seconds while {count:d} completions with a timeout of"
    " {timeout:d} seconds run"
)
def freeze(context, name, seconds, count, timeout):
    caller = context.deployment.caller("entry-1")
    context.deployment.freeze(name)
    jobs = [
        gevent.spawn(caller.complete, f"prompt {number}", 8, timeout * 1000)
        for number in range(count)
    ]
    gevent.sleep(seconds)
    context.deployment.thaw(name)
    gevent.joinall(jobs, timeout=60)
    context.answers = [job.get() for job in jobs]
