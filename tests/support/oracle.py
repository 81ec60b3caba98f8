"""Oracle of the chaos run: compares what upstreams really ran with what callers were told.

Each check returns its violations as text. All times are of the machine's monotonic clock, in
seconds, so that records of different processes compare.
"""

import itertools
from collections import Counter, defaultdict

import attrs

from pistachionotch.standins.engine import generate_words


@attrs.frozen
class Run:
    """One call that a storefront really ran."""

    order: str
    request: str
    at_s: float


@attrs.frozen
class OrderAnswer:
    """What one attempt of an order was told; ``status`` 0 means that no whole answer came."""

    order: str
    request: str
    sent_s: float
    answered_s: float
    status: int
    execution: str = ""
    received: str = ""
    new_key: bool = False


def check_orders(runs, answers):
    found = []
    ran = defaultdict(list)
    for run in runs:
        ran[run.order].append(run)
    for order, made in ran.items():
        if len(made) > 1:
            found.append(f"order {order} ran {len(made)} times")
    for answer in answers:
        found.extend(_order_faults(answer, ran[answer.order]))
    return found


def _order_faults(answer, made):
    if answer.execution == "not-run":
        # A later attempt of the same key may run; this attempt and earlier ones may not.
        before = [run for run in made if run.at_s < answer.answered_s]
        if before or any(run.request == answer.request for run in made):
            yield f"order {answer.order} was answered not-run, but ran"
    if answer.execution == "failed":
        yield f"order {answer.order} was answered failed, which is for repeatable work"
    if not 200 <= answer.status < 300:
        return
    if not made:
        yield f"order {answer.order} was answered {answer.status}, but never ran"
    if answer.received != answer.order:
        yield f"order {answer.order} got the answer of {answer.received!r}"


@attrs.frozen
class EngineRun:
    """One completion that an engine began: the text it began at and the version of each token."""

    request: str
    prompt: str
    seed: int
    max_tokens: int
    versions: tuple[int, ...]


@attrs.frozen
class Response:
    """What the caller of a completion was given; ``complete`` is how the entry marked it."""

    request: str
    prompt: str
    seed: int
    max_tokens: int
    text: str
    complete: bool
    spans: tuple[tuple[int, int], ...] = ()
    execution: str = ""


def expected_text(seed, prompt, count):
    return "".join(itertools.islice(generate_words(seed, prompt), count))


def _versions_by_position(response, runs):
    """Return for each token the versions of the runs that can have produced it."""
    possible = [set() for _ in range(response.max_tokens)]
    for run in runs:
        if not run.prompt.startswith(response.prompt):
            continue
        offset = len(run.prompt[len(response.prompt) :].split())
        for position, version in enumerate(run.versions, start=offset):
            if position < len(possible):
                possible[position].add(version)
    return possible


def check_responses(responses, runs):
    found = []
    by_request = defaultdict(list)
    for run in runs:
        by_request[run.request].append(run)
    for response in responses:
        name, made = response.request, by_request[response.request]
        expected = expected_text(response.seed, response.prompt, response.max_tokens)
        if response.execution == "not-run" and made:
            found.append(f"completion {name} was answered not-run, but ran")
        if not response.complete:
            if not expected.startswith(response.text):
                found.append(f"partial response {name} is not a part of its own text")
            continue
        if response.text != expected:
            found.append(f"response {name} is marked complete, but is not its whole text")
        labels = [version for version, tokens in response.spans for _ in range(tokens)]
        possible = _versions_by_position(response, made)
        if len(labels) != response.max_tokens:
            found.append(f"response {name} has labels for {len(labels)} tokens")
        elif any(label not in seen for label, seen in zip(labels, possible, strict=True)):
            found.append(f"response {name} has a label that its engine did not run")
    return found


@attrs.frozen
class Delivery:
    """One sample that a trainer used; ``newest_version`` was published before its pull was sent."""

    step: str
    slot: tuple[int, int]
    sample: str
    newest_version: int
    response: Response


def check_samples(wanted, deliveries, runs, bound):
    """Check the samples of finished steps; ``wanted`` holds the slots of each step."""
    found = check_responses([delivery.response for delivery in deliveries], runs)
    found.extend(_slot_faults(wanted, Counter((each.step, each.slot) for each in deliveries)))
    for sample, count in Counter(delivery.sample for delivery in deliveries).items():
        if count > 1:
            found.append(f"sample {sample} was delivered {count} times")
    for delivery in deliveries:
        versions = [version for version, _tokens in delivery.response.spans]
        age = delivery.newest_version - min(versions, default=0)
        if age > bound:
            found.append(f"sample {delivery.sample} was {age} versions old at delivery")
    return found


def _slot_faults(wanted, counts):
    for step, slots in wanted.items():
        for slot in slots:
            if counts[step, slot] == 0:
                yield f"slot {slot} of step {step} was not delivered"
    for (step, slot), count in counts.items():
        if slot not in wanted.get(step, ()):
            yield f"slot {slot} of step {step} was never asked for"
        if count > 1:
            yield f"slot {slot} of step {step} was delivered {count} times"
