"""HTTP handlers for trainers and operators."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatch

import attrs
from returns.result import Failure

from ..drain import DRAIN_PATH
from ..outcomes import Execution, Problem
from ..probes import ProbeApp
from ..samples import delivery
from ..samples.delivery import Pull, PullOutcome
from ..samples.ledger_store import StepUnknown
from .decisions import DecisionLog
from .http import Handler, HttpResponse
from .keys import KeyIssuer
from .prompts import MAX_STEP_NUMBER, parse_step_request
from .publishing import VersionPublisher
from .requests import HttpRequest, RequestChecker
from .steps import StepService

STEPS_PREFIX = "/v1/steps"
DEFAULT_PULL_WAIT_MS = 5000
RETRY_AFTER_MS = 500


@attrs.frozen
class Handlers:
    """Answer requests that are not routed to an upstream."""

    steps: StepService
    issuer: KeyIssuer
    publisher: VersionPublisher
    decisions: DecisionLog
    staleness_bounds: Callable[[], dict[str, int]]
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
        wanted = parse_step_request(request, self.staleness_bounds())
        created = self.steps.create(wanted)
        if isinstance(created, Failure):
            return _unavailable(created.failure())
        plan = created.unwrap()
        return HttpResponse.json({"step": plan.step, "samples": plan.slot_count}, 201)

    def pull_samples(self, request: HttpRequest) -> HttpResponse:
        """Hand over the samples of one cursor."""
        checker = RequestChecker(request)
        parts = request.path.removeprefix(STEPS_PREFIX).strip("/").split("/")
        if len(parts) != 3 or parts[2] != "samples":
            return HttpResponse.of_problem(_not_found("no such resource"))
        trainer = checker.identifier("trainer", parts[0], "")
        step = checker.integer("step", parts[1], -1, 0, MAX_STEP_NUMBER)
        query = request.query
        version = checker.integer(
            "trainer_version", query.get("trainer_version"), -1, 0, MAX_STEP_NUMBER
        )
        pull = Pull(
            checker.integer("cursor", query.get("cursor"), 0, 0, MAX_STEP_NUMBER),
            checker.integer("attempt", query.get("attempt"), 1, 1, delivery.MAX_ATTEMPT),
            checker.integer(
                "limit", query.get("limit"), delivery.DEFAULT_LIMIT, 1, delivery.MAX_LIMIT
            ),
            None if version < 0 else version,
        )
        wait_ms = checker.integer("wait_ms", query.get("wait_ms"), DEFAULT_PULL_WAIT_MS, 0, 60_000)
        checker.raise_if_any()
        return pull_response(self.steps.pull(trainer, step, pull, wait_ms))

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
        """Return the decisions for one request."""
        request_id = request.path.rsplit("/", 1)[1]
        decisions = self.decisions.explain(request_id)
        if not decisions:
            return HttpResponse.of_problem(_not_found("no decisions of this request are kept"))
        return HttpResponse.json({"request": request_id, "decisions": decisions})

    def answer_probe(self, request: HttpRequest) -> HttpResponse:
        """Answer a probe."""
        authorization = request.header("authorization")
        answer = self.probes.answer(request.method, request.path, authorization)
        return HttpResponse(answer.status, [("Content-Type", answer.media_type)], answer.body)


def _not_found(detail: str) -> Problem:
    return Problem(404, "not found", detail, Execution.NOT_RUN)


def _unavailable(detail: str) -> HttpResponse:
    return HttpResponse.of_problem(
        Problem(503, "unavailable", detail, Execution.NOT_RUN, retry_after_ms=RETRY_AFTER_MS)
    )


def _conflict(detail: str, **fields: int) -> HttpResponse:
    problem = Problem(409, "conflict", detail, Execution.NOT_RUN)
    response = HttpResponse.of_problem(problem)
    headers = [(f"X-{name.replace('_', '-').title()}", str(n)) for name, n in fields.items()]
    return attrs.evolve(response, headers=response.headers + headers)


@singledispatch
def pull_response(outcome: PullOutcome) -> HttpResponse:
    """Return the HTTP response for the outcome of a pull."""
    raise TypeError(type(outcome))


@pull_response.register
def _(outcome: delivery.Delivered) -> HttpResponse:
    samples = []
    for delivered in outcome.samples:
        sample = delivered.sample
        samples.append(
            {
                "sample_id": sample.sample_id,
                "group": sample.slot.group,
                "index": sample.slot.index,
                "text": delivered.body.decode("utf-8", "replace"),
                "weight_versions": [attrs.asdict(span) for span in sample.spans],
            }
        )
    return HttpResponse.json(
        {
            "cursor": outcome.cursor,
            "attempt": outcome.attempt,
            "newest_version": outcome.newest_version,
            "outstanding": outcome.outstanding,
            "complete": False,
            "samples": samples,
        }
    )


@pull_response.register
def _(outcome: delivery.NothingReady) -> HttpResponse:
    fields = {"cursor": outcome.cursor, "outstanding": outcome.outstanding}
    return HttpResponse.json({**fields, "complete": False, "samples": []})


@pull_response.register
def _(outcome: delivery.StepComplete) -> HttpResponse:
    cut = [attrs.asdict(slot) for slot in outcome.cut]
    return HttpResponse.json(
        {"cursor": outcome.cursor, "complete": True, "samples": [], "cut": cut}
    )


@pull_response.register
def _(outcome: delivery.AttemptNeeded) -> HttpResponse:
    return _conflict(outcome.reason, cursor=outcome.cursor, next_attempt=outcome.next_attempt)


@pull_response.register
def _(outcome: delivery.WrongCursor) -> HttpResponse:
    return _conflict(outcome.reason, cursor=outcome.cursor)


@pull_response.register
def _(outcome: delivery.TryLater) -> HttpResponse:
    return _unavailable(outcome.reason)


@pull_response.register
def _(outcome: delivery.Rejected) -> HttpResponse:
    return HttpResponse.of_problem(Problem(400, "bad request", outcome.reason, Execution.NOT_RUN))


@pull_response.register
def _(_outcome: StepUnknown) -> HttpResponse:
    return HttpResponse.of_problem(_not_found("no such step"))
