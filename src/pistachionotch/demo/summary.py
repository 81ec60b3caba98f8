"""Run of the demo and its summary."""

from __future__ import annotations

import os
import secrets
import sys
from typing import Any, TextIO

import attrs

from ..logs import configure_logs
from .deployment import DemoDeployment
from .scenario import EntryClient

SAMPLES_PER_GROUP = 4
PROMPTS = ["Which saddle fits a 26 inch wheel?", "Which class for a sable kit?"]


@attrs.define
class DemoReport:
    """Collect what the demo did and whether it was right."""

    facts: dict[str, Any] = attrs.field(factory=dict)
    failures: list[str] = attrs.field(factory=list)

    def expect(self, holds: bool, failure: str) -> None:
        """Record a failure unless ``holds``."""
        if not holds:
            self.failures.append(failure)

    def lines(self) -> list[str]:
        """Return the summary for a person."""
        lines = [f"{name:32} {value}" for name, value in self.facts.items()]
        if self.failures:
            lines += ["", "FAILED:", *(f"  {failure}" for failure in self.failures)]
        else:
            lines += ["", "Every request was answered completely and truthfully."]
        return lines


def run_demo(verbose: bool) -> DemoReport:
    """Run the demo and return its report."""
    log: TextIO = sys.stderr if verbose else open(os.devnull, "w")  # noqa: SIM115
    configure_logs(log)
    deployment = DemoDeployment()
    deployment.start()
    caller = EntryClient(deployment.address)
    report = DemoReport()
    ready = caller.wait_ready()
    report.expect(ready, "the entry did not become ready")
    if ready:
        _publish(caller, deployment, report)
        _order(caller, deployment, report)
        _complete(caller, report)
        _stream(caller, report)
        _step(caller, report)
    deployment.stop()
    return report


def _publish(caller: EntryClient, deployment: DemoDeployment, report: DemoReport) -> None:
    answer = caller.send("POST", "/v1/weights", {"model": "fitting", "version": 2})
    report.expect(answer.status == 200, f"weights not published: {answer.body!r}")
    import gevent

    with gevent.Timeout(15, False):
        while any(engine.version != 2 for engine in deployment.engines):
            gevent.sleep(0.05)
    versions = [engine.version for engine in deployment.engines]
    report.facts["weight versions at the engines"] = versions
    report.expect(versions == [2, 2], f"weights were not rolled out: {versions}")


def _order(caller: EntryClient, deployment: DemoDeployment, report: DemoReport) -> None:
    key = secrets.token_hex(8)
    order = {"club": "Cebu Unicycle Club", "item": "jersey", "count": 12}
    first = caller.order(key, order)
    second = caller.order(key, order)
    runs = [call for call in deployment.service.calls if call["key"] == key]
    report.facts["storefront order"] = f"status {first.status} in {first.elapsed_ms} ms"
    report.facts["same order sent again"] = f"status {second.status}, replayed"
    report.facts["runs of the order"] = len(runs)
    report.expect(first.status == 201, f"order failed: {first.body!r}")
    report.expect(second.body == first.body, "the repeated order was answered differently")
    report.expect(len(runs) == 1, f"the order ran {len(runs)} times")


def _complete(caller: EntryClient, report: DemoReport) -> None:
    answer = caller.complete(PROMPTS[0], 8)
    report.expect(answer.status == 200, f"completion failed: {answer.body!r}")
    if answer.status != 200:
        return
    body = answer.json()
    report.facts["completion"] = body["choices"][0]["text"].strip()
    report.facts["produced by weight versions"] = body["weight_versions"]


def _stream(caller: EntryClient, report: DemoReport) -> None:
    answer, events = caller.stream(PROMPTS[1], 20)
    whole = answer.body.endswith(b"data: [DONE]\n\n")
    report.facts["streamed completion"] = f"{len(events)} events in {answer.elapsed_ms} ms"
    report.expect(whole, "the stream did not end with [DONE]")


def _step(caller: EntryClient, report: DemoReport) -> None:
    samples = caller.run_step("trainer-1", 1, PROMPTS, SAMPLES_PER_GROUP)
    wanted = len(PROMPTS) * SAMPLES_PER_GROUP
    slots = {(sample["group"], sample["index"]) for sample in samples}
    versions = sorted({span["version"] for sample in samples for span in sample["spans"]})
    report.facts["samples of a trainer's step"] = f"{len(samples)} of {wanted}"
    report.facts["weight versions of the samples"] = versions
    report.expect(
        len(samples) == wanted == len(slots), f"{len(samples)} samples in {len(slots)} slots"
    )
    report.expect(versions == [2], f"samples were made by versions {versions}")
