"""HTTP handlers for trainers and operators."""

from __future__ import annotations

import json
from http import HTTPStatus

import attrs

from ..clock import MS_PER_SECOND
from ..drain import DRAIN_PATH
from ..outcomes import Execution, Problem
from ..probes import ProbeApp
from ..samples.http_api import StepResponse
from .decisions import DecisionLog
from .http import Handler, HttpResponse
from .keys import KeyIssuer
from .publishing import VersionPublisher
from .requests import HttpRequest, RequestChecker
from .steps import StepService

STEPS_PREFIX = "/v1/steps"
MAX_STEP_NUMBER = 2**53
RETRY_AFTER_MS = 500


@attrs.frozen
class Handlers:
    """Handles requests that are not routed to an upstream."""

    steps: StepService
    issuer: KeyIssuer
    publisher: VersionPublisher
    decisions: DecisionLog
    probes: ProbeApp

    def table(self) -> dict[tuple[str, str], Handler]:
        """Return the handlers by method and path prefix."""
        return {
            ("POST", STEPS_PREFIX): self.create_step,
            ("GET", STEPS_PREFIX): self.pull_samples,
            ("POST", "/v1/keys"): self.issue_key,
            ("POST", "/v1/weights"): self.publish_weights,
            ("GET", "/v1/decisions/"): self.explain,
            ("GET", "/v1/status"): self.answer_probe,
            ("GET", "/healthz"): self.answer_probe,
            ("GET", "/readyz"): self.answer_probe,
            ("GET", "/metrics"): self.answer_probe,
            ("POST", DRAIN_PATH): self.answer_probe,
        }

    def create_step(self, request: HttpRequest) -> HttpResponse:
        """Create a step for a trainer."""
        return _response(self.steps.create(request.body))

    def pull_samples(self, request: HttpRequest) -> HttpResponse:
        """Return the samples at one cursor of a step."""
        checker = RequestChecker(request)
        parts = request.path.removeprefix(STEPS_PREFIX).strip("/").split("/")
        if len(parts) != 3 or parts[2] != "samples":
            return HttpResponse.from_problem(_not_found("no such resource"))
        trainer = checker.identifier("trainer", parts[0], "")
        step = checker.integer("step", parts[1], -1, 0, MAX_STEP_NUMBER)
        checker.raise_if_any()
        return _response(self.steps.pull(trainer, step, request.query))

    def issue_key(self, request: HttpRequest) -> HttpResponse:
        """Issue an idempotency key for a plain service."""
        checker = RequestChecker(request)
        fields = checker.json_object()
        service = checker.identifier("service", fields.get("service"), "")
        if not service:
            checker.fault("service", "is missing")
        checker.raise_if_any()
        key = self.issuer.issue(f"services/{service}")
        if key is None:
            return _unavailable("no agent of this service is connected")
        return HttpResponse.json({"key": key}, 201)

    def publish_weights(self, request: HttpRequest) -> HttpResponse:
        """Publish a weight version of a model."""
        checker = RequestChecker(request)
        fields = checker.json_object()
        model = checker.identifier("model", fields.get("model"), "")
        version = checker.integer("version", fields.get("version"), -1, 0, MAX_STEP_NUMBER)
        if not model:
            checker.fault("model", "is missing")
        if version < 0:
            checker.fault("version", "is missing")
        source = checker.identifier("source", fields.get("source"), f"{model}-{version}")
        checker.raise_if_any()
        return self.publisher.publish(model, version, source)

    def explain(self, request: HttpRequest) -> HttpResponse:
        """Return the recorded routing decisions of one request."""
        request_id = request.path.rsplit("/", 1)[1]
        decisions = self.decisions.explain(request_id)
        if not decisions:
            return HttpResponse.from_problem(_not_found("no decisions of this request are kept"))
        return HttpResponse.json({"request": request_id, "decisions": decisions})

    def answer_probe(self, request: HttpRequest) -> HttpResponse:
        """Answer a probe, a status or metrics request, or a drain request."""
        authorization = request.header("authorization")
        answer = self.probes.answer(request.method, request.path, authorization)
        return HttpResponse(answer.status, [("Content-Type", answer.media_type)], answer.body)


def _not_found(detail: str) -> Problem:
    return Problem(404, "not found", detail, Execution.NOT_RUN)


def _unavailable(detail: str) -> HttpResponse:
    return HttpResponse.from_problem(
        Problem(503, "unavailable", detail, Execution.NOT_RUN, retry_after_ms=RETRY_AFTER_MS)
    )


def _response(answer: StepResponse) -> HttpResponse:
    """Convert a step response to HTTP; an error becomes a problem that includes its fields."""
    if answer.status < HTTPStatus.BAD_REQUEST:
        response = HttpResponse.json(answer.fields, answer.status)
    else:
        title = answer.status.phrase.lower()
        problem = Problem(answer.status, title, str(answer.fields["detail"]), Execution.NOT_RUN)
        fields = {**json.loads(problem.body()), **answer.fields}
        body = json.dumps(fields).encode()
        response = HttpResponse(answer.status, problem.headers(), body)
    if answer.retry_after_ms is not None:
        seconds = max(1, answer.retry_after_ms // MS_PER_SECOND)
        response.headers.append(("Retry-After", str(seconds)))
    return response
