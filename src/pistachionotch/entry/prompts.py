"""Step requests of trainers, kept so that another entry can take a step over."""

from __future__ import annotations

import json
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from ..objects.api import ObjectStore, VersionConflict, WriteAmbiguous
from ..samples.ledger import StepPlan
from ..samples.sample import Slot
from .requests import HttpRequest, RequestChecker

PROMPTS_PREFIX = "prompts/"
MAX_GROUPS = 2048
MAX_STEP_TOKENS = 131_072
MAX_STEP_NUMBER = 2**53


@attrs.frozen
class StepRequest:
    """Describe what a trainer asks for in one step; each prompt makes one group."""

    trainer: str
    step: int
    model: str
    prompts: tuple[str, ...]
    samples_per_group: int
    max_tokens: int
    staleness_bound: int

    def plan(self) -> StepPlan:
        """Return the plan for the ledger."""
        return StepPlan(
            self.trainer,
            self.step,
            self.model,
            len(self.prompts),
            self.samples_per_group,
            self.staleness_bound,
        )

    def to_bytes(self) -> bytes:
        """Return the stored form; the same request always gives the same bytes."""
        return json.dumps(attrs.asdict(self), sort_keys=True).encode()


def parse_step_request(request: HttpRequest, staleness_bounds: dict[str, int]) -> StepRequest:
    """Return the step request in a body, or raise with all its faults.

    A trainer may ask for fresher samples than the bound in the configuration, not for older.
    """
    checker = RequestChecker(request)
    fields = checker.json_object()
    model = checker.identifier("model", fields.get("model"), "")
    agreed = staleness_bounds.get(model, 0)
    prompts = _prompts(checker, fields.get("prompts"))
    step_request = StepRequest(
        checker.identifier("trainer", fields.get("trainer"), ""),
        checker.integer("step", fields.get("step"), -1, 0, MAX_STEP_NUMBER),
        model,
        prompts,
        checker.integer("samples_per_group", fields.get("samples_per_group"), 1, 1, MAX_GROUPS),
        checker.integer("max_tokens", fields.get("max_tokens"), 16, 1, MAX_STEP_TOKENS),
        checker.integer("staleness_bound", fields.get("staleness_bound"), agreed, 0, agreed),
    )
    for name in ("trainer", "model"):
        if not getattr(step_request, name):
            checker.fault(name, "is missing")
    if step_request.step < 0:
        checker.fault("step", "is missing")
    fault = step_request.plan().fault()
    if fault is not None:
        checker.fault("body", fault)
    checker.raise_if_any()
    return step_request


def _prompts(checker: RequestChecker, value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or not value or len(value) > MAX_GROUPS:
        checker.fault("prompts", f"is not a list of 1 to {MAX_GROUPS} strings")
        return ()
    if not all(isinstance(prompt, str) for prompt in value):
        checker.fault("prompts", "is not a list of strings")
        return ()
    return tuple(value)


def completion_body_for(request: StepRequest, slot: Slot, seed: int) -> bytes:
    """Return the completion request for one slot."""
    return json.dumps(
        {
            "model": request.model,
            "prompt": request.prompts[slot.group],
            "max_tokens": request.max_tokens,
            "seed": seed,
            "priority": 0,
        }
    ).encode()


def prompts_key(trainer: str, step: int) -> str:
    """Return the object key of a step's request."""
    return f"{PROMPTS_PREFIX}{trainer}/{step}"


def save_prompts(store: ObjectStore, request: StepRequest) -> Result[None, str]:
    """Store the request once; a repeated request must be the same."""
    key = prompts_key(request.trainer, request.step)
    value = request.to_bytes()
    written = store.put(key, value, None)
    if isinstance(written, Success):
        return Success(None)
    error = written.failure()
    if not isinstance(error, (VersionConflict, WriteAmbiguous)):
        return Failure(f"request not stored: {error}")
    # Equal bytes are as good as an own write, because the request never changes afterwards.
    read = store.get(key)
    if isinstance(read, Failure):
        return Failure(f"request not stored: {read.failure()}")
    stored = read.unwrap()
    if stored is None:
        return Failure("request not stored: its write was lost")
    if stored.value != value:
        return Failure("the step exists with another request")
    return Success(None)


def load_prompts(store: ObjectStore, trainer: str, step: int) -> Result[StepRequest | None, str]:
    """Return the stored request of a step, or none if there is no such step."""
    read = store.get(prompts_key(trainer, step))
    if isinstance(read, Failure):
        return Failure(read.failure().reason)
    stored = read.unwrap()
    if stored is None:
        return Success(None)
    fields = json.loads(stored.value)
    fields["prompts"] = tuple(fields["prompts"])
    return Success(StepRequest(**fields))
