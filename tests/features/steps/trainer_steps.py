"""Steps of trainers."""

import time

from behave import then, when


def _create(context, trainer, step, prompts, samples, entry):
    context.wanted = {(group, index) for group in range(prompts) for index in range(samples)}
    request = {
        "trainer": trainer,
        "step": step,
        "model": "fitting",
        "groups": prompts,
        "samples_per_group": samples,
        "staleness_bound": 1,
        "deadline_ms": 60_000,
        "prompts": [f"prompt {group}" for group in range(prompts)],
        "sampling": {"max_tokens": 12},
    }
    answer = context.deployment.caller(entry).send("POST", "/v1/steps", request)
    assert answer.status == 201, answer
    context.trainer, context.step = trainer, step
    context.samples, context.cursor, context.attempt = [], 0, 1
    context.complete = False


def _pull(context, entry, limit=64):
    """Pull once as a trainer would; a pull without a usable answer is repeated as it is."""
    path = (
        f"/v1/steps/{context.trainer}/{context.step}/samples"
        f"?cursor={context.cursor}&attempt={context.attempt}&limit={limit}"
    )
    answer = context.deployment.caller(entry).send("GET", path)
    if answer.status == 409:
        context.attempt = answer.json()["next_attempt"]
        return 0
    if answer.status != 200:
        time.sleep(0.2)
        return 0
    batch = answer.json()
    context.samples.extend(batch["samples"])
    context.complete = batch["complete"]
    if batch["samples"]:
        context.cursor, context.attempt = context.cursor + 1, 1
    return len(batch["samples"])


def _pull_rest(context, entry):
    limit = time.monotonic() + 60
    while not context.complete and time.monotonic() < limit:
        _pull(context, entry)


@when('trainer "{trainer}" runs step {step:d} with {prompts:d} prompts of {samples:d} samples')
def run_step(context, trainer, step, prompts, samples):
    _create(context, trainer, step, prompts, samples, "entry-1")
    _pull_rest(context, "entry-1")


@when(
    'trainer "{trainer}" creates step {step:d} with {prompts:d} prompts of {samples:d} samples'
    " at {entry:Name}"
)
def create_step(context, trainer, step, prompts, samples, entry):
    _create(context, trainer, step, prompts, samples, entry)


@when("the trainer pulls 1 batch of {count:d} samples from {entry:Name}")
def pull_batch(context, count, entry):
    limit = time.monotonic() + 30
    while not _pull(context, entry, count):
        assert time.monotonic() < limit, "no samples"


@when("the trainer pulls the rest from {entry:Name}")
def pull_rest(context, entry):
    _pull_rest(context, entry)


@then("the trainer received every slot exactly once")
def check_slots(context):
    slots = sorted((sample["group"], sample["index"]) for sample in context.samples)
    assert slots == sorted(context.wanted), slots
    identifiers = {sample["id"] for sample in context.samples}
    assert len(identifiers) == len(context.samples)


@then("every sample names only versions that its engine ran")
def check_versions(context):
    """Each sample's spans must be those of a finished run of it in an engine's own ledger.

    A hedged sample has two runs, and only the one that was not cancelled may label it.
    """
    produced = {}
    for engine in ("engine-1", "engine-2"):
        for run in context.deployment.ledger(engine)["runs"]:
            if run["finished"]:
                produced.setdefault(run["request"].rsplit("-", 1)[1], []).append(run["spans"])
    for sample in context.samples:
        spans = [[span["version"], span["tokens"]] for span in sample["spans"]]
        assert spans in produced[sample["id"][:6]], (sample, produced)
