"""The request of a caller as an entry routes it, and the events that its routing yields."""

from __future__ import annotations

import json

import attrs

from ..clock import Deadline
from ..outcomes import Execution, Problem, RequestClass
from ..routing.candidates import RoutedRequest
from ..samples.spans import VersionSpan
from ..wire.messages import Submit

PROMPT_BYTES_PER_TOKEN = 4
COMPLETIONS_PATH = "/v1/completions"
DEFAULT_MAX_TOKENS = 16


@attrs.frozen
class Call:
    """A request; ``target`` is a model, or ``services/<name>`` for a plain service."""

    request_id: str
    request_class: RequestClass
    deadline: Deadline
    target: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    key: str = ""
    expected_tokens: int = 0
    tenant: str = ""
    retain: str = ""
    avoid: frozenset[str] = frozenset()
    # Whether parts go to the caller as they arrive. Otherwise they are buffered until the response
    # is complete, so that a faster attempt may replace them.
    streamed: bool = False
    # How often the caller's key had been revoked when the request was received.
    epoch: int = 0
    # Whether the prompt in the body already ends with the first part of the response.
    continues: bool = False
    # Identifier of the prompt's prefix; empty for calls to plain services.
    prefix: bytes = b""

    def routed(self, excluded: frozenset[str]) -> RoutedRequest:
        """Return the request as placement needs it."""
        return RoutedRequest(
            request_id=self.request_id,
            request_class=self.request_class,
            deadline=self.deadline,
            model=self.target,
            expected_tokens=self.expected_tokens,
            prompt_tokens=len(self.body) // PROMPT_BYTES_PER_TOKEN,
            transfer_bytes=len(self.body),
            idempotent=self.idempotent,
            excluded=excluded | self.avoid,
            prefix=self.prefix,
        )

    def submit(self, attempt: str, remaining_ms: int) -> Submit:
        """Return the message that asks an agent to run one attempt."""
        return Submit(
            attempt,
            self.request_id,
            self.request_class,
            remaining_ms,
            self.idempotent,
            self.target,
            self.key,
            self.method,
            self.path,
            self.headers,
            self.body,
            self.expected_tokens,
            self.tenant,
            self.retain,
            self.epoch,
            self.continues,
            self.prefix,
        )

    def resumed(self, text: bytes, tokens: int) -> Call | None:
        """Return a call for the rest of a completion, or ``None`` if it cannot be resumed."""
        if self.path != COMPLETIONS_PATH or not self.idempotent:
            return None
        request = json.loads(self.body)
        remaining = self.expected_tokens - tokens
        if remaining <= 0:
            return None
        request["prompt"] = request["prompt"] + text.decode()
        request["max_tokens"] = remaining
        body = json.dumps(request).encode()
        return attrs.evolve(self, body=body, expected_tokens=remaining, continues=True)


@attrs.frozen
class ResponsePart:
    """The next part of a response; ``version`` is -1 if no weight version was reported."""

    data: bytes
    version: int
    tokens: int


@attrs.frozen
class CallDone:
    """The end of a complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    spans: tuple[VersionSpan, ...]
    agent: str


@attrs.frozen
class CallFailed:
    """The end of a call that got no complete response."""

    problem: Problem


@attrs.frozen
class Progress:
    """Tokens received for a response that is buffered until it is complete."""

    version: int
    tokens: int
    agent: str


RouteEvent = ResponsePart | Progress | CallDone | CallFailed

_STRONGEST_FIRST = (Execution.NOT_RUN, Execution.FAILED, Execution.UNKNOWN)


def weaker_guarantee(first: Execution, second: Execution) -> Execution:
    """Return the execution state that guarantees less to the caller."""
    return max(first, second, key=_STRONGEST_FIRST.index)
