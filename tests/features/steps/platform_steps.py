"""Steps of the scenarios on the users' platform."""

import json
import random
import signal
import time

import gevent
from behave import given, then, when

from pistachionotch.http_client import Connection, ExchangeError
from tests.support.platform import HOSTNAME, MODEL, REWARD_SUFFIX, Platform, new_id
from tests.support.soak_oracle import whole_text


@given("a platform with {count:d} gateways")
@given("a platform with {count:d} gateway")
def start_platform(context, count):
    context.platform = Platform(count)
    # Steps that kill or freeze a process find it there.
    context.deployment = context.platform.deployment
    context.add_cleanup(context.platform.stop)
    context.answers = {}


@when('a client sends {count:d} "{kind:Name}" calls to each gateway')
def send_calls(context, count, kind):
    for name in context.platform.names:
        for _ in range(count):
            request = new_id()
            context.answers[request] = context.platform.call(name, f"/{kind}/x", request)


@when('a client sends an "{kind:Name}" call to {gateway:Name}')
def send_one_call(context, kind, gateway):
    request = new_id()
    try:
        context.answers[request] = context.platform.call(gateway, f"/{kind}/x", request)
    except ExchangeError:
        context.answers[request] = (0, {}, b"")


@then("each call was answered by the server that ran it")
def check_calls(context):
    runs = {run["request"]: run["server"] for run in context.platform.runs("shop")}
    assert context.answers
    for request, (status, headers, body) in context.answers.items():
        assert status == 200, (status, body)
        assert headers["request-id"] == request
        assert json.loads(body)["server"] == runs[request]


@when('a trainer submits step "{step:Name}" to {gateway:Name}')
def submit(context, step, gateway):
    assert context.platform.submit(gateway, step) == 202


@when('a trainer submits step "{step:Name}" on version {version:d} and newer to {gateway:Name}')
def submit_fresh(context, step, version, gateway):
    assert context.platform.submit(gateway, step, min_version=version) == 202


@when('a trainer submits step "{step:Name}" at any gateway until one accepts it')
def submit_until_accepted(context, step):
    platform = context.platform
    platform.wait(lambda: platform.submit(random.choice(platform.names), step) == 202)


@when('a trainer submits step "{step:Name}" to {gateway:Name}, which is refused')
def submit_refused(context, step, gateway):
    started = time.monotonic()
    assert context.platform.submit(gateway, step) == 503
    assert time.monotonic() - started < 3


@then('every result of step "{step:Name}" is complete and names the versions that made it')
def check_results(context, step):
    results = context.platform.read_all(step)
    ids = [result["id"] for result in results]
    assert len(set(ids)) == len(ids)
    whole = whole_text("v1")
    rewards = {}
    for run in context.platform.runs("shop"):
        rewards.setdefault(run["request"], set()).add(run["proof"])
    for result in results:
        assert result["state"] == "done" and result["text"] == whole, result
        assert result["score"] in rewards[result["id"] + REWARD_SUFFIX], result
        assert set(result["weight_versions"]) <= {1, 2} and result["weight_versions"], result
    # A second read shows the same results at the same positions, whichever gateway answers.
    assert context.platform.read_all(step) == results


@when("the trainer names version {version:d}")
def name_version(context, version):
    context.platform.write("versions", MODEL, {"model": MODEL, "version": version})


@then("one holder's orders bring every engine to version {version:d} within {seconds:d} seconds")
def check_version(context, version, seconds):
    platform = context.platform
    engines = [name for name in platform.servers if name.startswith("engine")]

    def loaded():
        found = [platform.fetch(name, "/runs")["versions"][MODEL] for name in engines]
        return all(each == version for each in found)

    platform.wait(loaded, seconds)
    orders = [order for name in engines for order in platform.fetch(name, "/runs")["orders"]]
    assert len(orders) == len(engines)
    assert len({(order["holder"], order["fencing_token"]) for order in orders}) == 1
    for name in engines:
        platform.register(name)


@when("{name:Name} is terminated")
def send_sigterm(context, name):
    context.platform.signal(name, signal.SIGTERM)


@then("{name:Name} ended by itself without cutting a request off")
def check_drained(context, name):
    process = context.platform.deployment.processes[name]
    assert process.wait(timeout=10) == 0
    stopped = [
        line for line in context.platform.log_lines(name) if line["event"].endswith("stopped")
    ]
    assert [line["cut_off"] for line in stopped] == [0]
    assert "Traceback" not in context.platform.deployment.log(name)


@when("clients call {gateway:Name} over kept connections from now on")
def keep_calling(context, gateway):
    context.lost = []
    context.callers = [gevent.spawn(call_on, context, gateway) for _ in range(4)]


def call_on(context, gateway):
    """Use each connection until the gateway says that it closes; end when none is accepted."""
    platform = context.platform
    while True:
        connection = Connection(platform.address(gateway))
        try:
            connection.open(500)
        except ExchangeError:
            return
        closing = False
        while not closing:
            request = new_id()
            headers = [("Host", HOSTNAME), ("Request-Id", request), ("Deadline-Ms", "2000")]
            try:
                connection.send("POST", "/safe/x", headers, b"order", 2_000)
                head = connection.read_head(3_000)
                connection.read_body(1_000)
            except ExchangeError as error:
                context.lost.append((request, error.reason))
                break
            closing = head.get("connection") == "close"
            gevent.sleep(0.005)
        connection.close()


@when("clients call {gateway:Name} over new connections from now on")
def keep_connecting(context, gateway):
    context.lost = []
    context.statuses = []
    context.callers = [gevent.spawn(connect_on, context, gateway) for _ in range(8)]


def connect_on(context, gateway):
    """Call over a new connection each time; end when none is accepted any more."""
    while True:
        connection = Connection(context.platform.address(gateway))
        try:
            connection.open(500)
        except ExchangeError:
            return
        headers = [("Host", HOSTNAME), ("Request-Id", new_id()), ("Deadline-Ms", "2000")]
        try:
            connection.send("POST", "/safe/x", headers, b"order", 2_000)
            context.statuses.append(connection.read_head(3_000).status)
            connection.read_body(1_000)
        except ExchangeError as error:
            context.lost.append(error.reason)
        connection.close()


@then("every call that {gateway:Name} let in was answered or refused")
def check_let_in(context, gateway):
    gevent.joinall(context.callers, timeout=5)
    assert context.statuses and set(context.statuses) <= {200, 503}, set(context.statuses)
    assert context.lost == [], context.lost


@then("every call that was sent on a kept connection was answered or refused")
def check_kept(context):
    gevent.joinall(context.callers, timeout=5)
    # A connection that closes before its next request was read breaks no promise.
    log = "\n".join(json.dumps(line) for line in context.platform.log_lines("gateway-1"))
    read = [(request, reason) for request, reason in context.lost if request in log]
    assert read == [], read


@when("every shop loses its next answer")
def lose_answers(context):
    for name in ("shop-1", "shop-2"):
        context.platform.faults(name, lose_answers=1)


@then("the client is not told that the call was not run")
def check_not_refused(context):
    assert [answer[0] for answer in context.answers.values()] == [502]


@then("the call was run once")
def check_one_run(context):
    runs = [run["request"] for run in context.platform.runs("shop")]
    assert runs == list(context.answers)


@when("every shop takes {slow_ms:d} ms longer")
def slow_shops(context, slow_ms):
    for name in ("shop-1", "shop-2"):
        context.platform.faults(name, slow_ms=slow_ms)


@when("the store takes {slow_ms:d} ms longer")
def slow_store(context, slow_ms):
    context.platform.faults("store", slow_ms=slow_ms)


@when("every engine breaks its next stream off in the middle")
def break_streams(context):
    for name in context.platform.servers:
        if name.startswith("engine"):
            context.platform.faults(name, break_after=3)


@then("some run went on after an event that was already received")
def check_resumed(context):
    assert any(run["after"] == 3 for run in context.platform.runs("engine"))


@when("the store loses {count:d} answers")
def lose_store_answers(context, count):
    context.platform.faults("store", lose_answers=count)


@when("the store is out for {seconds:d} seconds")
def store_out_for(context, seconds):
    context.platform.faults("store", outage=True)
    time.sleep(seconds)
    context.platform.faults("store", outage=False)


@when("the store is {state:Name}")
def switch_store(context, state):
    context.platform.faults("store", outage=state == "out")


@then('step "{step:Name}" is known to no gateway and none of its items has run')
def check_unknown(context, step):
    time.sleep(1)
    for name in context.platform.names:
        context.platform.wait(lambda gateway=name: context.platform.read(gateway, step) == 404)
    assert context.platform.runs("engine") == []


@when("{name:Name} is registered as leaving")
def leave(context, name):
    context.platform.register(name, state="draining")


@when("{seconds:d} seconds pass")
@when("{seconds:d} second passes")
def wait_seconds(context, seconds):
    time.sleep(seconds)


@then("{name:Name} has run nothing")
def check_idle(context, name):
    assert context.platform.fetch(name, "/runs")["runs"] == []


@when('step "{step:Name}" is ended at {gateway:Name}')
def end_step(context, step, gateway):
    assert context.platform.end(gateway, step) == 200


@then('no item of step "{step:Name}" starts within {seconds:d} second')
def check_no_start(context, step, seconds):
    before = len(context.platform.runs("engine"))
    time.sleep(seconds)
    assert len(context.platform.runs("engine")) == before


@when('every shop fails the reward call of item "{item:Name}"')
def fail_reward(context, item):
    for name in context.platform.servers:
        if name.startswith("shop"):
            context.platform.faults(name, fail_suffix=item + REWARD_SUFFIX)


@then('no item of step "{step:Name}" ran twice')
def check_single_runs(context, step):
    runs = [run["request"] for run in context.platform.runs("engine")]
    mine = [request for request in runs if request.startswith(f"{step}-")]
    assert mine and len(set(mine)) == len(mine), mine


@then('only item "{item:Name}" of step "{step:Name}" is given up')
def check_given_up(context, item, step):
    results = context.platform.read_all(step)
    assert [result["id"] for result in results if result["state"] == "dead"] == [item]


@when("{name:Name} aborts and is started again")
def abort_and_start(context, name):
    context.platform.deployment.send_signal(name, signal.SIGABRT)
    start_after_end(context, name)


@when("{name:Name} is terminated and started again")
def terminate_and_start(context, name):
    context.platform.deployment.send_signal(name, signal.SIGTERM)
    start_after_end(context, name)


def start_after_end(context, name):
    context.platform.deployment.processes[name].wait(timeout=30)
    context.platform.deployment.restart(name)
    context.platform.wait(lambda: context.platform.ready(name))


def logged_starts(context, name):
    lines = context.platform.log_lines(name)
    return [line for line in lines if line["event"] == "gateway: started"]


def reported_ends(context, name):
    lines = context.platform.log_lines(name)
    return [line for line in lines if "former process ended by itself" in line["event"]]


@then("{name:Name} reports that its former process ended by itself, and its log has the stack")
def reports_end(context, name):
    context.platform.wait(lambda: reported_ends(context, name))
    assert context.platform.gauge(name, "unplanned_ends_total") == 1
    (reported,) = reported_ends(context, name)
    assert reported["incarnation"] == logged_starts(context, name)[0]["incarnation"]
    text = context.platform.deployment.log(name)
    assert "Fatal Python error: Aborted" in text and "Current thread" in text


@then("{name:Name} reports no such end")
def reports_no_end(context, name):
    context.platform.wait(lambda: len(logged_starts(context, name)) == 2)
    # It registers right after its start, and writes its log lines a moment later.
    time.sleep(1)
    assert reported_ends(context, name) == []
    assert context.platform.gauge(name, "unplanned_ends_total") is None
