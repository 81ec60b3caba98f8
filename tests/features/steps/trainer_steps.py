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
    context.samples, context.pulls = [], {}
    for part in range(answer.json()["parts"]):
        context.pulls[part] = {"cursor": 0, "attempt": 1, "complete": False}
    path = f"/v1/steps/{trainer}/{step}/samples?cursor=0"
    if len(context.pulls) > 1:
        assert context.deployment.caller(entry).send("GET", path).status == 400


def _pull(context, entry, limit=64, part=0):
    """Pull once as a trainer would; a pull without a usable answer is repeated as it is."""
    due = context.pulls[part]
    path = (
        f"/v1/steps/{context.trainer}/{context.step}/samples"
        f"?cursor={due['cursor']}&attempt={due['attempt']}&limit={limit}&part={part}"
    )
    answer = context.deployment.caller(entry).send("GET", path)
    if answer.status == 409:
        due["attempt"] = answer.json()["next_attempt"]
        return 0
    if answer.status != 200:
        time.sleep(0.2)
        return 0
    batch = answer.json()
    context.samples.extend(batch["samples"])
    due["complete"] = batch["complete"]
    if batch["samples"]:
        due["cursor"], due["attempt"] = due["cursor"] + 1, 1
    return len(batch["samples"])


def _pull_rest(context, entry):
    limit = time.monotonic() + 60
    for part, due in context.pulls.items():
        while not due["complete"] and time.monotonic() < limit:
            _pull(context, entry, part=part)


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
@when("the trainer pulls 1 batch of {count:d} samples of part {part:d} from {entry:Name}")
def pull_batch(context, count, entry, part=0):
    limit = time.monotonic() + 30
    while not _pull(context, entry, count, part):
        assert time.monotonic() < limit, "no samples"


@then("{first:Name} and {second:Name} coordinate one part each")
def check_spread(context, first, second):
    for name in (first, second):
        lines = context.deployment.log(name).splitlines()
        shards = [
            line for line in lines if "lease: acquired" in line and "part-leases/step/" in line
        ]
        assert len(shards) == 1, (name, shards)


@when("the trainer pulls the rest from {entry:Name}")
@when("the trainer pulls the rest of all parts from {entry:Name}")
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
