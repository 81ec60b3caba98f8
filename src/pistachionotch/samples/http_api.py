"""Parsing of step requests and pulls, and the HTTP responses to them; see ``docs/samples.md``."""

from __future__ import annotations

import base64
import json
from collections.abc import Mapping
from functools import singledispatch
from http import HTTPStatus
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from . import delivery
from .ledger import StepPlan
from .ledger_store import StepUnknown
from .request import StepRequest
from .sample import Sample, Slot

# Retry delay sent with responses that contain no samples. Each pull reads the newest version from
# the object API twice.
RETRY_AFTER_MS = 1_000
PULL_PARAMETERS = {
    "cursor": "cursor",
    "attempt": "attempt",
    "limit": "limit",
    "version": "trainer_version",
    "part": "part",
}
STEP_INTEGER_FIELDS = ("step", "groups", "samples_per_group", "staleness_bound")


@attrs.frozen
class StepResponse:
    """Status and JSON fields of a response; errors are sent as RFC 9457 problems with them."""

    status: HTTPStatus
    fields: dict[str, Any]
    retry_after_ms: int | None = None

    def body(self) -> bytes:
        """Return the fields encoded as JSON."""
        return json.dumps(self.fields).encode()


def parse_pull(query: Mapping[str, str]) -> Result[delivery.Pull, str]:
    """Parse the query parameters of a pull; ``cursor`` is required."""
    unknown = sorted(set(query) - set(PULL_PARAMETERS))
    if unknown:
        return Failure(f"unknown parameter: {', '.join(unknown)}")
    if "cursor" not in query:
        return Failure("the parameter 'cursor' is missing")
    numbers: dict[str, int] = {}
    for name, text in query.items():
        if not text.isascii() or not text.isdigit() or len(text) > 10:
            return Failure(f"{name} is not a number: {text[:20]!r}")
        numbers[PULL_PARAMETERS[name]] = int(text)
    pull = delivery.Pull(**numbers)
    reason = pull.validation_error()
    return Success(pull) if reason is None else Failure(reason)


def parse_step(body: bytes, now_unix_ms: int) -> Result[tuple[StepPlan, StepRequest], str]:
    """Parse the body of ``POST /v1/steps``."""
    try:
        fields = json.loads(body)
    except ValueError as error:
        return Failure(f"the body is no JSON: {error}")
    if not isinstance(fields, dict):
        return Failure("the body is no JSON object")
    numbers = {name: fields.get(name) for name in (*STEP_INTEGER_FIELDS, "deadline_ms")}
    for name in numbers:
        if type(numbers[name]) is not int:
            return Failure(f"{name} is missing or no integer")
    texts = [fields.get("trainer"), fields.get("model"), *_prompts(fields)]
    if not all(isinstance(text, str) for text in texts):
        return Failure("trainer, model and every prompt must be text")
    sampling = fields.get("sampling", {})
    if not isinstance(sampling, dict):
        return Failure("sampling is no JSON object")
    counts = {name: fields[name] for name in STEP_INTEGER_FIELDS}
    deadline_unix_ms = now_unix_ms + fields["deadline_ms"]
    plan = StepPlan(
        trainer=fields["trainer"],
        model=fields["model"],
        deadline_unix_ms=deadline_unix_ms,
        **counts,
    )
    reason = plan.validation_error()
    if reason is not None:
        return Failure(reason)
    return Success((plan, StepRequest(tuple(_prompts(fields)), sampling)))


def _prompts(fields: Mapping[str, Any]) -> list[Any]:
    prompts = fields.get("prompts")
    return prompts if isinstance(prompts, list) else [None]


def _sample_to_json(sample: Sample) -> dict[str, Any]:
    return {
        "id": sample.sample_id,
        "group": sample.slot.group,
        "index": sample.slot.index,
        "spans": [{"version": span.version, "tokens": span.tokens} for span in sample.spans],
        "agent": sample.agent,
    }


def _slot_to_json(slot: Slot) -> dict[str, int]:
    return {"group": slot.group, "index": slot.index}


@singledispatch
def pull_response(outcome: object) -> StepResponse:
    """Return the HTTP response for the outcome of a pull."""
    raise TypeError(f"no outcome of a pull: {outcome!r}")


@pull_response.register
def _(outcome: delivery.SamplesDelivered) -> StepResponse:
    samples = [
        {**_sample_to_json(item.sample), "body": base64.b64encode(item.body).decode()}
        for item in outcome.samples
    ]
    fields = {
        "cursor": outcome.cursor,
        "attempt": outcome.attempt,
        "newest_version": outcome.newest_version,
        "outstanding": outcome.outstanding,
        "complete": False,
        "samples": samples,
    }
    return StepResponse(HTTPStatus.OK, fields)


@pull_response.register
def _(outcome: delivery.NoSamplesReady) -> StepResponse:
    fields = {
        "cursor": outcome.cursor,
        "outstanding": outcome.outstanding,
        "complete": False,
        "samples": [],
    }
    return StepResponse(HTTPStatus.OK, fields, RETRY_AFTER_MS)


@pull_response.register
def _(outcome: delivery.StepComplete) -> StepResponse:
    cut = [_slot_to_json(slot) for slot in outcome.cut]
    fields = {"cursor": outcome.cursor, "complete": True, "samples": [], "cut": cut}
    return StepResponse(HTTPStatus.OK, fields)


@pull_response.register
def _(outcome: delivery.NewAttemptRequired) -> StepResponse:
    fields = {
        "cursor": outcome.cursor,
        "next_attempt": outcome.next_attempt,
        "detail": outcome.reason,
    }
    return StepResponse(HTTPStatus.CONFLICT, fields)


@pull_response.register
def _(outcome: delivery.CursorMismatch) -> StepResponse:
    status = HTTPStatus.CONFLICT if outcome.ahead else HTTPStatus.GONE
    return StepResponse(status, {"cursor": outcome.cursor, "detail": outcome.reason})


@pull_response.register
def _(outcome: delivery.TemporarilyUnavailable) -> StepResponse:
    fields = {"detail": outcome.reason}
    return StepResponse(HTTPStatus.SERVICE_UNAVAILABLE, fields, RETRY_AFTER_MS)


@pull_response.register
def _(outcome: delivery.PullRejected) -> StepResponse:
    return StepResponse(HTTPStatus.BAD_REQUEST, {"detail": outcome.reason})


@pull_response.register
def _(_outcome: StepUnknown) -> StepResponse:
    return StepResponse(HTTPStatus.NOT_FOUND, {"detail": "there is no such step"})
