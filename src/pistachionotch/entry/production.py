"""Generation of one sample by a routed completion whose response becomes the sample's body."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import gevent

from ..clock import Clock, Deadline
from ..outcomes import RequestClass
from ..prefixes.key import prefix_key
from ..samples.sample import Sample, Slot, body_digest, new_sample_id
from ..samples.step_policy import CompletedAttempt, RunningAttempt
from ..samples.steps import OpenedStep
from .calls import (
    COMPLETIONS_PATH,
    DEFAULT_MAX_TOKENS,
    Call,
    CallDone,
    Progress,
    ResponsePart,
    RouteEvent,
)

# Longer than the 8 minutes within which a whole step must complete.
PRODUCTION_TIMEOUT_MS = 600_000
OK = 200

Route = Callable[[Call], Iterator[RouteEvent]]


@attrs.define(eq=False)
class Production:
    """Runs one completion for a slot and tracks its progress for the step policy."""

    opened: OpenedStep
    slot: Slot
    avoid: tuple[str, ...]
    clock: Clock
    route: Route
    node: str
    rng: random.Random
    sample_id: str = attrs.field(init=False)
    started_ms: int = 0
    agent: str = ""
    tokens: int = 0
    first_token_ms: int | None = None
    last_token_ms: int | None = None
    oldest_version: int | None = None
    greenlet: gevent.Greenlet | None = None

    def __attrs_post_init__(self) -> None:
        self.sample_id = new_sample_id(self.rng)
        self.started_ms = self.clock.now_ms()

    def run(self) -> tuple[Sample, bytes] | None:
        """Run the completion; return the sample and its body, or None without a usable response."""
        parts: list[bytes] = []
        for event in self.route(self._call()):
            if isinstance(event, Progress):
                self._record_progress(event)
                continue
            if isinstance(event, ResponsePart):
                parts.append(event.data)
                continue
            if not isinstance(event, CallDone) or event.status != OK:
                return None
            body = b"".join(parts)
            sample = Sample(
                self.sample_id, self.slot, body_digest(body), event.spans, event.agent, self.node
            )
            return sample, body
        return None

    def cancel(self) -> None:
        """Stop the production and cancel its attempts at agents."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def running_attempt(self) -> RunningAttempt:
        """Return the current progress as the step policy's input.

        Until its first token arrives, an attempt counts as started just now, because waiting in an
        agent's queue is not a stall. The report time is always now, because the router handles lost
        agents.
        """
        now_ms = self.clock.now_ms()
        started_ms = now_ms if self.first_token_ms is None else self.first_token_ms
        return RunningAttempt(
            self.sample_id,
            self.slot,
            self.agent,
            started_ms,
            now_ms,
            self.tokens,
            self.last_token_ms,
            self.oldest_version,
        )

    def completed_attempt(self) -> CompletedAttempt:
        """Return the token count and generation time of a completed production."""
        first_ms = self.started_ms if self.first_token_ms is None else self.first_token_ms
        return CompletedAttempt(self.tokens, self.clock.now_ms() - first_ms)

    def _record_progress(self, event: Progress) -> None:
        now_ms = self.clock.now_ms()
        if self.first_token_ms is None:
            self.first_token_ms = now_ms
        self.last_token_ms = now_ms
        self.tokens += event.tokens
        self.agent = event.agent
        if event.version >= 0:
            known = event.version if self.oldest_version is None else self.oldest_version
            self.oldest_version = min(known, event.version)

    def _call(self) -> Call:
        plan = self.opened.plan
        sampling: dict[str, Any] = self.opened.request.sampling
        max_tokens = int(sampling.get("max_tokens", DEFAULT_MAX_TOKENS))
        request_body = {
            "seed": self.rng.getrandbits(31),
            **sampling,
            "max_tokens": max_tokens,
            "model": plan.model,
            "prompt": self.opened.prompt(self.slot),
        }
        name = f"{plan.trainer}-{plan.step}-{self.slot.group}-{self.slot.index}"
        return Call(
            f"{name}-{self.sample_id[:6]}",
            RequestClass.TRAINING,
            Deadline.after(self.clock, PRODUCTION_TIMEOUT_MS),
            plan.model,
            "POST",
            COMPLETIONS_PATH,
            (),
            json.dumps(request_body).encode(),
            idempotent=True,
            expected_tokens=max_tokens,
            tenant=plan.trainer,
            retain=self.sample_id,
            avoid=frozenset(self.avoid),
            prefix=prefix_key(plan.model, request_body["prompt"]),
        )
