"""Calls, bytes and processor time that the coordination of a step takes."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs
import gevent
from returns.result import Success

from ...clock import MS_PER_SECOND
from ...entry.calls import Call, CallDone, ResponsePart, RouteEvent
from ...entry.coordination import StepContext
from ...entry.steps import StepService
from ...logs import logger
from ...objects.client import HttpObjectStore, Reply
from ...objects.memory import MemoryStore
from ...samples.bodies import BodyCache
from ...samples.delivery import Pull, SamplesDelivered, StepDelivery
from ...samples.ledger_format import to_bytes
from ...samples.ledger_store import LedgerStore
from ...samples.spans import VersionSpan
from ...samples.steps import StepRegistry
from .fit import Slope
from .sizes import filled_ledger
from .store import HOST, KINDS, CountedStore

BODY_CACHE_BYTES = 1_000_000
SLOTS_IN_FLIGHT = 64
SAMPLES_PER_GROUP = 8
STEP_DEADLINE_MS = 480_000
# Samples of the idle step are recorded well before the window begins.
RECORDED_S = 4.0
IDLE_WINDOW_S = 6.0
PULLS = 8
PULL_LIMIT = 8


class MeasuredClient(HttpObjectStore):
    """Count the bytes of the answers' bodies."""

    answered = 0

    def _read(self, path: str) -> Any:
        return self._counted(super()._read(path))

    def _send_once(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str], wait_ms: int = 0
    ) -> Any:
        return self._counted(super()._send_once(method, path, body, headers, wait_ms))

    def _counted(self, reply: Any) -> Any:
        if isinstance(reply, Reply):
            self.answered += len(reply.body)
        return reply


@attrs.define
class MeasuredSteps:
    """Run the step service of one entry on a counted store."""

    sample_s: float
    counted: CountedStore = attrs.field(factory=CountedStore)
    store: MeasuredClient = attrs.field(init=False)
    service: StepService = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        counted, cache = self.counted, BodyCache(BODY_CACHE_BYTES)
        self.store = MeasuredClient(HOST, counted.server.server_port)
        context = StepContext(
            self.store,
            counted.clock,
            "entry-1",
            self.route,
            cache,
            cache.find,
            StepRegistry(self.store, counted.rng),
            counted.rng,
            logger("steps"),
        )
        self.service = StepService(context, dict, lambda _model: SLOTS_IN_FLIGHT)

    def route(self, _call: Call) -> Iterator[RouteEvent]:
        """Answer every call after the same time."""
        gevent.sleep(self.sample_s)
        yield ResponsePart(b"x" * 100, 0, 10)
        yield CallDone(200, (), (VersionSpan(0, 10),), "agent-1")

    def create(self, samples: int) -> None:
        """Create a step."""
        groups = samples // SAMPLES_PER_GROUP
        request = {
            "trainer": "trainer",
            "step": 1,
            "model": "fitting",
            "groups": groups,
            "samples_per_group": SAMPLES_PER_GROUP,
            "staleness_bound": 2,
            "deadline_ms": STEP_DEADLINE_MS,
            "prompts": ["p"] * groups,
            "sampling": {"max_tokens": 10},
        }
        self.service.create(json.dumps(request).encode())

    def pull_all(self) -> None:
        """Pull the step until it is complete."""
        cursor = 0
        while True:
            answer = self.service.pull("trainer", 1, {"cursor": str(cursor)})
            if answer.fields.get("complete"):
                return
            if answer.fields.get("samples"):
                cursor += 1

    def used_by(self, action: Callable[[], Any]) -> dict[str, float]:
        """Return the calls and bytes that an action takes."""
        before = self.store.answered
        used: dict[str, float] = dict(self.counted.calls_of(action))
        return {**used, "answered bytes": self.store.answered - before}


def measure_steps() -> list[Slope]:
    """Measure one whole step by its samples and by its duration, and one that nobody pulls."""
    by_samples = _slopes("step", "sample at 40 samples/s")
    for samples in (64, 128, 256):
        _add(by_samples, samples, _whole_step(samples, 64 / 40))
    by_seconds = _slopes("step of 64 samples", "second per sample")
    for seconds in (1, 3, 6):
        _add(by_seconds, seconds, _whole_step(64, seconds))
    idle = _slopes("second of a full step that is not pulled", "sample")
    processor = Slope("second of a full step that is not pulled", "sample", "ms of CPU")
    for samples in (64, 256, 512):
        used = _idle_step(samples)
        _add(idle, samples, used)
        processor.add(samples, used["processor"])
    return [*_used(by_samples), *_used(by_seconds), *_used(idle), processor]


def measure_pulls() -> list[Slope]:
    """Measure the processor time of a pull by the samples that wait in the ledger."""
    pulls = Slope(f"pull of {PULL_LIMIT} samples", "sample in the ledger", "ms of CPU")
    for samples in (128, 512, 1024, 2048):
        pulls.add(samples, _pull_ms(samples))
    return [pulls]


def _whole_step(samples: int, sample_s: float) -> dict[str, float]:
    steps = MeasuredSteps(sample_s)

    def run() -> None:
        steps.create(samples)
        steps.pull_all()

    try:
        return steps.used_by(run)
    finally:
        steps.counted.stop()


def _idle_step(samples: int) -> dict[str, float]:
    """Return calls, bytes and milliseconds of processor time in a second."""
    steps = MeasuredSteps(0.0)
    try:
        steps.create(samples)
        gevent.sleep(RECORDED_S)
        started = time.process_time()
        used = steps.used_by(lambda: gevent.sleep(IDLE_WINDOW_S))
        used["processor"] = (time.process_time() - started) * MS_PER_SECOND
        return {name: amount / IDLE_WINDOW_S for name, amount in used.items()}
    finally:
        steps.counted.stop()


def _pull_ms(samples: int) -> float:
    ledger = filled_ledger(samples)
    store = MemoryStore()
    store.put("steps/trainer-1/1", to_bytes(ledger), None)
    ledgers = LedgerStore(store, "steps/trainer-1/1", random.Random(1))
    delivery = StepDelivery(ledgers, lambda _sample: b"body", lambda: Success(1001))
    started = time.process_time()
    for cursor in range(PULLS):
        outcome = delivery.pull(Pull(cursor, limit=PULL_LIMIT))
        if not isinstance(outcome, SamplesDelivered):
            raise RuntimeError(f"a pull gave {outcome}")
    return (time.process_time() - started) * MS_PER_SECOND / PULLS


def _slopes(title: str, x: str) -> dict[str, Slope]:
    units = {kind: "calls" for kind in KINDS}
    units["answered bytes"] = "bytes"
    return {name: Slope(f"{title}, {name}", x, unit) for name, unit in units.items()}


def _add(slopes: dict[str, Slope], x: float, used: dict[str, float]) -> None:
    for name, slope in slopes.items():
        slope.add(x, used[name])


def _used(slopes: dict[str, Slope]) -> list[Slope]:
    return [slope for slope in slopes.values() if any(y for _x, y in slope.points)]
