"""Run the demo and report its results."""

from __future__ import annotations

import os
import secrets
import sys
from typing import Any, TextIO

import attrs

from ..logs import configure_logs
from .accounts import CALLS_PER_S, run_accounts
from .deployment import DemoDeployment
from .gateway import DemoGateway
from .scenario import EntryClient

SAMPLES_PER_GROUP = 4
PROMPTS = ["Which saddle fits a 26 inch wheel?", "Which class for a sable kit?"]


@attrs.define
class DemoReport:
    """Collect the results of the demo and the checks that failed."""

    facts: dict[str, Any] = attrs.field(factory=dict)
    failures: list[str] = attrs.field(factory=list)

    def expect(self, holds: bool, failure: str) -> None:
        """Record ``failure`` unless ``holds`` is true."""
        if not holds:
            self.failures.append(failure)

    def lines(self) -> list[str]:
        """Return the lines of a summary in plain text."""
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
    gateway = DemoGateway()
    gateway.start()
    client = EntryClient(deployment.address)
    report = DemoReport()
    ready = client.wait_ready()
    report.expect(ready, "the entry did not become ready")
    if ready:
        _publish_weights(client, deployment, report)
        _send_order(client, deployment, report)
        _request_completion(client, report)
        _request_stream(client, report)
        _run_step(client, report)
    _share_service(gateway, report)
    gateway.stop()
    deployment.stop()
    return report


def _publish_weights(client: EntryClient, deployment: DemoDeployment, report: DemoReport) -> None:
    response = client.send("POST", "/v1/weights", {"model": "fitting", "version": 2})
    report.expect(response.status == 200, f"weights not published: {response.body!r}")
    import gevent

    with gevent.Timeout(15, False):
        while any(engine.version != 2 for engine in deployment.engines):
            gevent.sleep(0.05)
    versions = [engine.version for engine in deployment.engines]
    report.facts["weight versions at the engines"] = versions
    report.expect(versions == [2, 2], f"weights were not rolled out: {versions}")


def _send_order(client: EntryClient, deployment: DemoDeployment, report: DemoReport) -> None:
    key = secrets.token_hex(8)
    order = {"club": "Cebu Unicycle Club", "item": "jersey", "count": 12}
    first = client.order(key, order)
    second = client.order(key, order)
    runs = [call for call in deployment.service.calls if call["key"] == key]
    report.facts["storefront order"] = f"status {first.status} in {first.elapsed_ms} ms"
    report.facts["same order sent again"] = f"status {second.status}, replayed"
    report.facts["runs of the order"] = len(runs)
    report.expect(first.status == 201, f"order failed: {first.body!r}")
    report.expect(second.body == first.body, "the repeated order was answered differently")
    report.expect(len(runs) == 1, f"the order ran {len(runs)} times")


def _request_completion(client: EntryClient, report: DemoReport) -> None:
    response = client.complete(PROMPTS[0], 8)
    report.expect(response.status == 200, f"completion failed: {response.body!r}")
    if response.status != 200:
        return
    body = response.json()
    report.facts["completion"] = body["choices"][0]["text"].strip()
    report.facts["produced by weight versions"] = body["weight_versions"]


def _request_stream(client: EntryClient, report: DemoReport) -> None:
    response, events = client.stream(PROMPTS[1], 20)
    complete = response.body.endswith(b"data: [DONE]\n\n")
    report.facts["streamed completion"] = f"{len(events)} events in {response.elapsed_ms} ms"
    report.expect(complete, "the stream did not end with [DONE]")


def _run_step(client: EntryClient, report: DemoReport) -> None:
    samples = client.run_step("trainer-1", 1, PROMPTS, SAMPLES_PER_GROUP)
    expected = len(PROMPTS) * SAMPLES_PER_GROUP
    slots = {(sample["group"], sample["index"]) for sample in samples}
    versions = sorted({span["version"] for sample in samples for span in sample["spans"]})
    report.facts["samples of a trainer's step"] = f"{len(samples)} of {expected}"
    report.facts["weight versions of the samples"] = versions
    report.expect(
        len(samples) == expected == len(slots), f"{len(samples)} samples in {len(slots)} slots"
    )
    report.expect(versions == [2], f"samples were made by versions {versions}")


def _share_service(gateway: DemoGateway, report: DemoReport) -> None:
    ready = gateway.wait_ready()
    report.expect(ready, "the gateway did not become ready")
    if not ready:
        return
    results = run_accounts(gateway)
    report.facts["call with an unknown key"] = f"status {results.unknown_key_status}"
    report.facts["calls per second by account"] = dict(CALLS_PER_S)
    report.facts["calls served of a full service"] = dict(sorted(results.served.items()))
    report.facts["usage reported"] = dict(sorted(results.reported.items()))
    report.failures.extend(results.failures())
