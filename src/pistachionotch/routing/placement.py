"""Placement of a request on the agent with the earliest expected completion."""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs

from ..admission.load import MAX_OBSERVATION_AGE_MS
from ..clock import MS_PER_SECOND
from ..prefixes.key import preferred_agent
from .candidates import Candidate, Location, RoutedRequest


@attrs.frozen
class RoutingCosts:
    """Costs and tolerances that placement takes into account."""

    zone_ms: int = 1
    region_ms: int = 12
    # Transferring a megabyte takes 36 ms on the 225 Mbit/s link; the rest is a penalty for the
    # billed volume.
    region_ms_per_mb: int = 10_000
    # Measurements lose half their weight in this time; slowdowns last tens of seconds.
    half_life_ms: int = 5_000
    # Under ordinary load a prefix stays cached for minutes; eviction events correct this estimate.
    cache_half_life_ms: int = 60_000
    # After three missed heartbeats of 2 s each, the agent or its connection may be lost.
    suspect_after_ms: int = 6_000
    # Candidates within this share of the best estimate, plus ``tie_ms``, count as tied. Unless a
    # prompt prefix decides, one of them is chosen at random, so that entries with the same reports
    # do not all choose the same agent.
    tie_share: float = 0.1
    tie_ms: int = 10
    default_first_token_ms: int = 200
    default_tokens_per_second: float = 40.0


@attrs.frozen
class Estimate:
    """The expected completion time at one candidate, broken down into its parts."""

    agent: str
    wait_ms: int
    first_token_ms: int
    stream_ms: int
    transfer_ms: int
    report_age_ms: int
    speed_age_ms: int
    # Prefill time that the engine's prefix cache is expected to save; already subtracted from
    # ``first_token_ms``.
    saved_ms: int = 0

    @property
    def total_ms(self) -> int:
        """Return the expected time to completion; ``first_token_ms`` includes ``wait_ms``."""
        return self.first_token_ms + self.stream_ms + self.transfer_ms


@attrs.frozen
class MedianSpeeds:
    """Median speeds of all candidates, used where measurements are missing or old."""

    first_token_ms: float
    tokens_per_second: float


@attrs.frozen
class Placement:
    """The chosen agent, or None with the time after which to retry."""

    agent: str | None
    reason: str
    estimate_ms: int = 0
    wait_ms: int = 0
    report_age_ms: int = 0
    alternatives: tuple[str, ...] = ()
    retry_after_ms: int = 0


NO_AGENT_RETRY_MS = 1_000
MIN_RETRY_AFTER_MS = 100
# Weight of the prior; equals the weight of a measurement that is five half-lives old.
PRIOR_WEIGHT = 0.03


def place(
    request: RoutedRequest,
    candidates: Sequence[Candidate],
    location: Location,
    now_ms: int,
    rng: random.Random,
    costs: RoutingCosts,
) -> Placement:
    """Choose the agent with the earliest expected completion, or refuse an unmeetable deadline."""
    estimates = estimate_all(request, candidates, location, now_ms, costs)
    if not estimates:
        return Placement(None, "no agent serves this request", retry_after_ms=NO_AGENT_RETRY_MS)
    remaining_ms = request.deadline.at_ms - now_ms
    if estimates[0].total_ms > remaining_ms and _estimates_are_recent(estimates, costs):
        return _refuse(estimates, remaining_ms)
    chosen, tie_break = _choose(request, estimates, rng, costs)
    return Placement(
        agent=chosen.agent,
        reason=_describe(chosen, len(estimates), tie_break),
        estimate_ms=chosen.total_ms,
        wait_ms=chosen.wait_ms,
        report_age_ms=chosen.report_age_ms,
        alternatives=tuple(item.agent for item in estimates if item is not chosen),
    )


def estimate_all(
    request: RoutedRequest,
    candidates: Sequence[Candidate],
    location: Location,
    now_ms: int,
    costs: RoutingCosts,
) -> list[Estimate]:
    """Estimate all usable candidates, best first.

    Candidates whose report is older than ``suspect_after_ms`` are used only if all are that old.
    """
    usable = [candidate for candidate in candidates if _usable(request, candidate)]
    recent = [item for item in usable if now_ms - item.report_received_ms <= costs.suspect_after_ms]
    usable = recent or usable
    medians = _median_speeds(usable, costs)
    estimates = [estimate(request, item, location, now_ms, costs, medians) for item in usable]
    estimates.sort(key=lambda item: (item.total_ms, item.agent))
    return estimates


def estimate(
    request: RoutedRequest,
    candidate: Candidate,
    location: Location,
    now_ms: int,
    costs: RoutingCosts,
    medians: MedianSpeeds,
) -> Estimate:
    """Estimate how long ``candidate`` would take to complete ``request``."""
    age_ms = max(0, now_ms - candidate.report_received_ms)
    stream_ms = _stream_ms(request, candidate, age_ms, costs, medians)
    wait_ms = _reported_wait_ms(request, candidate, stream_ms, age_ms)
    first_ms = _first_token_ms(request, candidate, wait_ms, age_ms, costs, medians)
    saved_ms = _saved_ms(request, candidate, first_ms, costs, medians)
    return Estimate(
        agent=candidate.agent,
        wait_ms=wait_ms,
        first_token_ms=round(
            max(first_ms - saved_ms, candidate.local_observations.longest_pending_ms)
        ),
        stream_ms=stream_ms,
        transfer_ms=_transfer_ms(request, candidate, location, costs),
        report_age_ms=age_ms,
        speed_age_ms=_speed_age_ms(candidate, age_ms),
        saved_ms=round(saved_ms),
    )


def _usable(request: RoutedRequest, candidate: Candidate) -> bool:
    if candidate.draining or candidate.load.draining:
        return False
    if candidate.agent in request.excluded:
        return False
    return not request.model or request.model in candidate.models


def _estimates_are_recent(estimates: Sequence[Estimate], costs: RoutingCosts) -> bool:
    # Outdated measurements must not refuse a request: the agent decides by its current ones, and
    # only a run can show that a slowdown is over.
    for item in estimates:
        if (
            item.report_age_ms > costs.suspect_after_ms
            or item.speed_age_ms >= MAX_OBSERVATION_AGE_MS
        ):
            return False
    return True


def _median_speeds(candidates: Sequence[Candidate], costs: RoutingCosts) -> MedianSpeeds:
    first_ms = [item.load.time_to_first_token_ms for item in candidates]
    speeds = [item.load.tokens_per_second for item in candidates]
    known_first_ms = [value for value in first_ms if value > 0]
    known_speeds = [value for value in speeds if value > 0]
    return MedianSpeeds(
        first_token_ms=_median(known_first_ms or [costs.default_first_token_ms]),
        tokens_per_second=_median(known_speeds or [costs.default_tokens_per_second]),
    )


def _median(values: Sequence[float]) -> float:
    # ``statistics.median`` would import ``decimal`` and ``fractions``, 1 MB of memory per entry.
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def _refuse(estimates: Sequence[Estimate], remaining_ms: int) -> Placement:
    best = estimates[0]
    reason = f"needs {best.total_ms} ms at {best.agent} but has {max(0, remaining_ms)} ms left"
    late_ms = best.total_ms - max(0, remaining_ms)
    retry_ms = min(late_ms, best.wait_ms) if remaining_ms > 0 else best.wait_ms
    return Placement(
        agent=None,
        reason=reason,
        estimate_ms=best.total_ms,
        wait_ms=best.wait_ms,
        report_age_ms=best.report_age_ms,
        retry_after_ms=max(MIN_RETRY_AFTER_MS, retry_ms),
    )


def _choose(
    request: RoutedRequest,
    estimates: Sequence[Estimate],
    rng: random.Random,
    costs: RoutingCosts,
) -> tuple[Estimate, str]:
    """Choose among tied estimates: by cached prefix, else by hash of the prefix, else at random."""
    best_ms = estimates[0].total_ms
    margin_ms = costs.tie_ms + costs.tie_share * best_ms
    ties = [item for item in estimates if item.total_ms <= best_ms + margin_ms]
    max_saved_ms = max(item.saved_ms for item in ties)
    if max_saved_ms > 0:
        cached = [item for item in ties if 2 * item.saved_ms > max_saved_ms]
        chosen = rng.choice(cached)
        return chosen, f", cached prefix saves {chosen.saved_ms} ms"
    if request.prefix and len(ties) > 1:
        agent = preferred_agent(request.prefix, [item.agent for item in ties])
        return next(item for item in ties if item.agent == agent), ", preferred for its prefix"
    return rng.choice(ties), ""


def _describe(chosen: Estimate, count: int, tie_break: str) -> str:
    first = f"first token after {chosen.first_token_ms} ms"
    rest = f"stream {chosen.stream_ms} ms, transfer {chosen.transfer_ms} ms"
    return f"earliest of {count}: {first}, {rest}{tie_break}"


def _weighted_mean(values: Sequence[tuple[float, int]], prior: float, half_life_ms: int) -> float:
    """Average the measured values and a prior, weighted by age.

    ``values`` holds pairs of value and age; a value of zero means not measured. As measurements
    age, the mean approaches the prior, so that an agent that was slow is eventually tried again.
    """
    total = PRIOR_WEIGHT
    weighted = PRIOR_WEIGHT * prior
    for value, age_ms in values:
        if not value:
            continue
        weight = 0.5 ** (age_ms / half_life_ms)
        total += weight
        weighted += weight * value
    return weighted / total


def _first_token_ms(
    request: RoutedRequest,
    candidate: Candidate,
    wait_ms: int,
    age_ms: int,
    costs: RoutingCosts,
    medians: MedianSpeeds,
) -> float:
    """Estimate the time to first token, including the queue, without a cached prefix."""
    observed = candidate.local_observations
    load = candidate.load
    reported_ms = load.time_to_first_token_ms or medians.first_token_ms
    samples = (
        (observed.time_to_first_token_ms, observed.first_token_age_ms),
        (wait_ms + reported_ms, load.first_token_age_ms + age_ms),
    )
    return _weighted_mean(samples, wait_ms + medians.first_token_ms, costs.half_life_ms)


def _saved_ms(
    request: RoutedRequest,
    candidate: Candidate,
    first_ms: float,
    costs: RoutingCosts,
    medians: MedianSpeeds,
) -> float:
    """Estimate the prefill time that a cached prefix saves, discounted by the age of the report."""
    if request.prompt_tokens <= 0 or candidate.cached_tokens <= 0:
        return 0.0
    reported_ms = candidate.load.time_to_first_token_ms or medians.first_token_ms
    share = min(1.0, candidate.cached_tokens / request.prompt_tokens)
    weight = 0.5 ** (candidate.cached_age_ms / costs.cache_half_life_ms)
    return min(first_ms, reported_ms * share * weight)


def _stream_ms(
    request: RoutedRequest,
    candidate: Candidate,
    age_ms: int,
    costs: RoutingCosts,
    medians: MedianSpeeds,
) -> int:
    """Estimate the time from the first to the last token."""
    if not request.expected_tokens:
        return 0
    observed = candidate.local_observations
    load = candidate.load
    samples = (
        (observed.tokens_per_second, observed.speed_age_ms),
        (load.tokens_per_second, load.speed_age_ms + age_ms),
    )
    speed = _weighted_mean(samples, medians.tokens_per_second, costs.half_life_ms)
    return round(request.expected_tokens * MS_PER_SECOND / speed)


def _reported_wait_ms(
    request: RoutedRequest, candidate: Candidate, stream_ms: int, age_ms: int
) -> int:
    load = candidate.load
    reported_ms = max(0, load.expected_wait_ms.get(request.request_class, 0) - age_ms)
    # The report does not include attempts that this entry sent after it. Those beyond the free
    # slots add to the queue, which ``limit`` slots work off in parallel.
    free = max(0, load.limit - load.total_running() - load.total_queued())
    unreported = max(0, candidate.sent_since_report - free)
    run_ms = load.time_to_first_token_ms + stream_ms
    return reported_ms + round(unreported * run_ms / max(1, load.limit))


def _speed_age_ms(candidate: Candidate, age_ms: int) -> int:
    observed = candidate.local_observations
    load = candidate.load
    reported_age_ms = min(load.speed_age_ms, load.first_token_age_ms) + age_ms
    return min(reported_age_ms, observed.speed_age_ms, observed.first_token_age_ms)


def _transfer_ms(
    request: RoutedRequest, candidate: Candidate, location: Location, costs: RoutingCosts
) -> int:
    if candidate.region != location.region:
        volume_ms = request.transfer_bytes * costs.region_ms_per_mb // 1_000_000
        return 2 * costs.region_ms + volume_ms
    if candidate.zone != location.zone:
        return 2 * costs.zone_ms
    return 0
