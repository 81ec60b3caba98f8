"""Work offered to a deployment: open arrivals, and the sizes of training samples."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

import attrs

from ..outcomes import RequestClass
from .deployments import ENGINE_POOL, SERVICE_POOL, Deployment
from .upstreams import (
    ENGINE_SLOTS,
    PREFILL_TOKENS_PER_MS,
    SERVICE_SLOTS,
    TOKENS_PER_SECOND,
)

BYTES_PER_TOKEN = 64  # text plus the log probabilities that trainers ask for
SAMPLES_PER_GROUP = 8
GROUPS_PER_STEP = 6
SAMPLES_PER_STEP = SAMPLES_PER_GROUP * GROUPS_PER_STEP
STRAGGLER_SHARE = 0.02
STRAGGLER_FACTOR = 4
OVERRUN_SHARE = 0.25


@attrs.frozen
class Kind:
    """Describe a kind of work; ``mean_tokens`` is also what callers declare."""

    name: str
    pool: str
    mean_tokens: int
    sigma: float
    prompt_tokens: int
    deadline_ms: int


ASSISTANT = Kind("assistant", ENGINE_POOL, 60, 0.4, 400, 6_000)
TRAINING = Kind("training", ENGINE_POOL, 300, 0.6, 800, 480_000)
LONG = Kind("long", ENGINE_POOL, 1_600, 0.4, 2_000, 300_000)
SERVICE = Kind("service", SERVICE_POOL, 0, 0.5, 0, 4_000)
SERVICE_MEAN_MS = 500
SERVICE_BYTES = 20_000
SERVICE_IDEMPOTENT_SHARE = 0.7


@attrs.define(eq=False)
class Job:
    """Carry one request; ``stream_ms`` is its true run time after prefill at full speed."""

    name: str
    kind: Kind
    request_class: RequestClass
    entry: int
    arrived_ms: int
    stream_ms: float
    tokens: int
    idempotent: bool = True
    prefix: str = ""
    tenant: str = ""
    started_ms: int | None = None
    slowed: bool = False
    done: bool = False

    def note_start(self, now_ms: int) -> None:
        """Keep the start of the first run."""
        if self.started_ms is None:
            self.started_ms = now_ms

    @property
    def deadline_ms(self) -> int:
        """Return the time after which the answer has no use."""
        return self.arrived_ms + self.kind.deadline_ms

    @property
    def transfer_bytes(self) -> int:
        """Return the bytes of request and response together."""
        if self.kind is SERVICE:
            return SERVICE_BYTES
        return self.kind.prompt_tokens * 4 + self.tokens * BYTES_PER_TOKEN


def lognormal(rng: random.Random, mean: float, sigma: float) -> float:
    """Draw from a lognormal distribution with the given mean."""
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)


def mean_run_ms(kind: Kind) -> float:
    """Return the mean run time of a kind at full speed, prefill included."""
    if kind is SERVICE:
        return SERVICE_MEAN_MS
    factor = 1.0
    if kind is TRAINING:
        factor += STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1)
    stream_ms = kind.mean_tokens * factor * 1_000 / TOKENS_PER_SECOND
    return stream_ms + kind.prompt_tokens / PREFILL_TOKENS_PER_MS


def make_engine_job(
    rng: random.Random, kind: Kind, request_class: RequestClass, name: str, entry: int, now_ms: int
) -> Job:
    """Draw one request to an engine."""
    tokens = lognormal(rng, kind.mean_tokens, kind.sigma)
    if kind is TRAINING and rng.random() < STRAGGLER_SHARE:
        tokens *= STRAGGLER_FACTOR
    whole = max(1, round(tokens))
    stream_ms = whole * 1_000 / TOKENS_PER_SECOND
    return Job(name, kind, request_class, entry, now_ms, stream_ms, whole)


def left_tokens(job: Job, tokens: int) -> int:
    """Return what a caller expects after ``tokens`` tokens.

    The true length is not known; a stream beyond the declared length goes on for a while.
    """
    return max(job.kind.mean_tokens - tokens, round(tokens * OVERRUN_SHARE))


def make_service_job(
    rng: random.Random, request_class: RequestClass, name: str, entry: int, now_ms: int
) -> Job:
    """Draw one call of a plain service; some calls must not be repeated."""
    run_ms = max(1.0, lognormal(rng, SERVICE_MEAN_MS, SERVICE.sigma))
    idempotent = rng.random() < SERVICE_IDEMPOTENT_SHARE
    return Job(name, SERVICE, request_class, entry, now_ms, run_ms, 0, idempotent)


def engine_capacity_ms(deployment: Deployment) -> float:
    """Return the slot milliseconds that all engines offer in a millisecond."""
    return deployment.upstreams(ENGINE_POOL) * ENGINE_SLOTS


def step_period_ms(deployment: Deployment, load: float) -> int:
    """Return the training time of a step that makes the trainers offer their share of the load."""
    capacity = engine_capacity_ms(deployment) * deployment.shares.training * load
    return round(deployment.trainers * SAMPLES_PER_STEP * mean_run_ms(TRAINING) / capacity)


def open_arrivals(
    deployment: Deployment, load: float, rng: random.Random, until_ms: int
) -> Iterator[Job]:
    """Draw all requests that do not come from trainers, by kind and then by time."""
    engines = engine_capacity_ms(deployment) * load
    services = deployment.upstreams(SERVICE_POOL) * SERVICE_SLOTS * load
    entries = len(deployment.sites)
    for kind, capacity in (
        (ASSISTANT, engines * deployment.shares.short),
        (LONG, engines * deployment.shares.long),
        (SERVICE, services),
    ):
        gap_ms = mean_run_ms(kind) / capacity
        now_ms = rng.expovariate(1 / gap_ms)
        serial = 0
        while now_ms < until_ms:
            serial += 1
            name = f"{kind.name}-{serial}"
            entry = rng.randrange(entries)
            if kind is SERVICE:
                request_class = rng.choice(deployment.service_classes)
                yield make_service_job(rng, request_class, name, entry, round(now_ms))
            else:
                request_class = RequestClass.LONG if kind is LONG else RequestClass.STOREFRONT
                yield make_engine_job(rng, kind, request_class, name, entry, round(now_ms))
            now_ms += rng.expovariate(1 / gap_ms)
