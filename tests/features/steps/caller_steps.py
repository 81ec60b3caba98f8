"""Steps of callers: completions, streams and orders."""

import time
from http.client import HTTPException

import gevent
from behave import given, then, when

from tests.support.deployment import wait_until


def _send_order(context, key, entry, headers=None):
    caller = context.deployment.caller(entry)
    fields = {"Idempotency-Key": key, **(headers or {})}
    return caller.send("POST", "/services/storefront/orders", {"order": key}, fields)


def _send_order_to_the_end(context, key, entry):
    """Return the answer, or none if the entry dies before it answers."""
    try:
        return _send_order(context, key, entry)
    except (OSError, HTTPException):
        return None


def _runs(context, key):
    calls = context.deployment.ledger("storefront")["calls"]
    return sum(call["key"] == key for call in calls)


def _execution(answer):
    return answer.json().get("execution") if answer.status >= 400 else "done"


@when("a caller asks {entry:Name} for a completion of {count:d} tokens")
def complete(context, entry, count):
    context.answer = context.deployment.caller(entry).complete("which saddle", count)


@then("the answer has {count:d} tokens and names the version that the engine reports")
def check_completion(context, count):
    assert context.answer.status == 200, context.answer
    body = context.answer.json()
    assert len(body["choices"][0]["text"].split()) == count, body
    assert body["choices"][0]["finish_reason"] == "length", body
    assert body["weight_versions"] == [{"version": 1, "tokens": count}], body


def _reason_of_placement(context, entry):
    """Return why a completion of the same long prompt went where it went."""
    caller = context.deployment.caller(entry)
    request_id = f"{entry}-{time.monotonic_ns()}"
    fields = {"model": "fitting", "prompt": "saddle " * 400, "max_tokens": 2}
    answer = caller.send("POST", "/v1/completions", fields, {"X-Request-Id": request_id})
    assert answer.status == 200, answer
    return caller.send("GET", f"/v1/decisions/{request_id}").json()["decisions"][0]["reason"]


@then("{entry:Name} places a repeated prompt by its cached prefix within {seconds:d} seconds")
def check_repeated_prompt(context, entry, seconds):
    wait_until(
        lambda: "cached prefix" in _reason_of_placement(context, entry), seconds, "a cached prefix"
    )


@then("{entry:Name} places it by its cached prefix at the first request")
def check_reported_prompt(context, entry):
    # Two heartbeats: the engine's events are late, and agents report with their heartbeats.
    gevent.sleep(5)
    assert "cached prefix" in _reason_of_placement(context, entry)


@when("a caller asks {entry:Name} for a streamed completion of {count:d} tokens")
def stream(context, entry, count):
    context.streams = [context.deployment.caller(entry).stream("which tyre", count)]


@then("the stream is complete")
@then("every stream is complete")
def check_streams(context):
    for answer, _events in context.streams:
        assert answer.status == 200, answer
        assert answer.body.endswith(b"data: [DONE]\n\n"), answer.body[-300:]


@then("the stream has exactly {count:d} tokens")
def check_stream_length(context, count):
    _answer, events = context.streams[0]
    text = "".join(event["choices"][0]["text"] for event in events)
    assert len(text.split()) == count, text


@then("every completion was answered completely")
def check_completions(context):
    assert [answer.status for answer in context.answers] == [200] * len(context.answers)


@when('a caller sends the order "{key}" to {entry:Name}')
def send_order(context, key, entry):
    context.earlier, context.answer = getattr(context, "answer", None), None
    context.answer = _send_order(context, key, entry)


@when('a caller sends the order "{key}" to {entry:Name} with a timeout of {seconds:d} seconds')
def send_order_with_timeout(context, key, entry, seconds):
    headers = {"X-Request-Timeout-Ms": str(seconds * 1000)}
    context.answer = _send_order(context, key, entry, headers)


@when('a caller sends the order "{key}" to {entry:Name} in the background')
def send_order_in_background(context, key, entry):
    context.job = gevent.spawn(_send_order_to_the_end, context, key, entry)


@when('a caller sends the order "{key}" to {entry:Name} until it is not in progress')
def send_order_until_settled(context, key, entry):
    limit = time.monotonic() + 30
    while time.monotonic() < limit:
        context.answer = _send_order(context, key, entry)
        if context.answer.status not in (409, 503, 504):
            return
        time.sleep(0.2)


@given("an idempotency key issued by {entry:Name}")
def issue_key(context, entry):
    answer = context.deployment.caller(entry).send("POST", "/v1/keys", {"service": "storefront"})
    assert answer.status == 201, answer
    context.key = answer.json()["key"]


@when("a caller sends an order with the issued key to {entry:Name}")
def send_issued_order(context, entry):
    context.answer = _send_order(context, context.key, entry)


@then("the order was answered with status {status:d}")
@then("the last answer to the order has status {status:d}")
def check_order_status(context, status):
    assert context.answer.status == status, context.answer


@then("the order was answered as unknown")
def check_order_unknown(context):
    assert _execution(context.answer) == "unknown", context.answer


@then('the order was refused and the storefront never ran "{key}"')
def check_order_refused(context, key):
    assert context.answer.status == 503, context.answer
    assert "retry-after" in context.answer.headers
    assert _runs(context, key) == 0


@then("both answers to the order are the same")
def check_replay(context):
    assert context.earlier.body == context.answer.body


@then('the storefront ran the order "{key}" once')
def check_runs(context, key):
    assert _runs(context, key) == 1, _runs(context, key)


@then("the background answer does not say that the order was not run")
def check_background(context):
    answer = context.job.get(timeout=40)
    assert _execution(answer) in ("unknown", "done"), answer


@when(
    "{count:d} streams of {tokens:d} tokens run through {entry:Name} and {name:Name} gets SIGTERM"
)
def streams_during_drain(context, count, tokens, entry, name):
    name = entry if name == "it" else name
    caller = context.deployment.caller(entry)
    jobs = [gevent.spawn(caller.stream, f"prompt {number}", tokens) for number in range(count)]
    gevent.sleep(0.3)
    context.exit_code = context.deployment.terminate(name)
    gevent.joinall(jobs, timeout=60)
    context.streams = [job.get() for job in jobs]


@when("{name:Name} gets SIGTERM")
def terminate(context, name):
    started = time.monotonic()
    context.exit_code = context.deployment.terminate(name)
    context.drain_s = time.monotonic() - started


@then("{name:Name} has ended with code {code:d} within {seconds:d} seconds")
def check_exit_in_time(context, name, code, seconds):
    assert context.exit_code == code, context.exit_code
    assert context.drain_s <= seconds, context.drain_s


@then("{name:Name} has ended with code {code:d}")
def check_exit(context, name, code):
    assert context.exit_code == code, context.exit_code


@then("{engine:Name} gets no new work after {seconds:d} seconds")
def check_leaving(context, engine, seconds):
    """Load runs from before the notice until well after the bound."""
    caller = context.deployment.caller("entry-1")
    noticed = time.monotonic()
    runs_at_bound = None
    while time.monotonic() - noticed < seconds + 3:
        assert caller.complete("which class", 4).status == 200
        runs = len(context.deployment.ledger(engine)["runs"])
        if runs_at_bound is None and time.monotonic() - noticed >= seconds:
            runs_at_bound = runs
    assert runs_at_bound is not None
    assert len(context.deployment.ledger(engine)["runs"]) == runs_at_bound


@when("version {version:d} of the weights is published")
def publish(context, version):
    caller = context.deployment.caller("entry-1")
    answer = caller.send("POST", "/v1/weights", {"model": "fitting", "version": version})
    assert answer.status == 200, answer
    context.published = time.monotonic()


@then("every engine serves version {version:d} within {seconds:d} seconds")
def check_rollout(context, version, seconds):
    def served():
        answers = [
            context.deployment.standin(engine, "GET", "/admin/version")
            for engine in ("engine-1", "engine-2")
        ]
        return all(answer["version"] == version for answer in answers)

    wait_until(served, seconds, f"every engine serves version {version}")
