"""Decides which requests leave their home zone; performs no I/O.

Load pattern: demand by zone in waves of 15 % and more with a period of 11 s and different phases,
servers of pace 0.55 beside servers of pace 1.2, zones that lose their only server, and times when
all zones are full. Traffic between zones is slower and billed by the byte. If requests simply go
where they are expected to end first, they leave their zone for a fraction of a millisecond. If
all gateways react to the same measurements at once, the load swings between the zones.

A request stays at home if the home zone is expected to serve it within its objective. A late home
zone is left by a share of the requests. The share changes in steps, at times that each gateway
jitters by itself. Requests that would miss their objective leave at once, whatever their bytes.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Sequence

import attrs

from ..clock import Clock


class Distance(enum.IntEnum):
    """Where an upstream is, as seen from the home zone."""

    HOME = 0
    ZONE = 1
    REGION = 2


BYTES_PER_KB = 1_000
# Milliseconds of earlier completion that a kilobyte to another place must buy. The price of a
# region is that of placement (``RoutingCosts.region_ms_per_mb``); a zone costs a quarter, like the
# platform's bills.
MS_PER_KB = {Distance.HOME: 0.0, Distance.ZONE: 2.5, Distance.REGION: 10.0}
# Typical response body of a service before any was seen.
DEFAULT_RESPONSE_BYTES = 2_000
RESPONSE_BYTES_WEIGHT = 0.1
# Share of the time budget that serves as the objective of routes without one.
BUDGET_SHARE = 0.5
# A request leaves only if it is expected to gain this part of its time at home, so that equal
# places exchange nothing; their expectations differ by about a tenth. If no place meets the
# objective, it must gain more: requests that wander between full zones save none of the objectives.
MARGIN_SHARE = 0.1
MIN_MARGIN_MS = 2.0
LATE_MARGIN_SHARE = 0.3
# The share grows if the home zone needs more than BEGIN_PRESSURE of the objective, since about half
# of the requests take longer than expected, and shrinks below END_PRESSURE. With 0.7, servers with
# long queues answered up to 6.1 % of the requests late in simulated overload, with 0.6 up to 4.6 %.
# With 0.5, zones that were 90 % full exchanged up to 17 % of their requests instead of 5 %.
BEGIN_PRESSURE = 0.6
END_PRESSURE = 0.45
# Pressure that counts for a request without a usable home server.
FULL_PRESSURE = 2.0
# Steps of the share; it never reaches 1, so that the home zone continues to be measured. Above the
# share at which the home zone became late, the share shrinks by GROW_STEP. Below, it shrinks by
# FINE_STEP, and twice that after CALM_STEPS steps and so on: the response times of a server hardly
# rise until it is full, and large steps would make all gateways return more than it can serve.
GROW_STEP = 1 / 8
FINE_STEP = 1 / 128
CALM_STEPS = 8
MAX_SHARE = 7 / 8
# For the same reason the share shrinks in fine steps only while the home zone takes at most this
# many times its least time. At 85 % of its capacity, a server of 8 slots takes about as long.
BUSY_FACTOR = 1.25
# Growth of the remembered least time per step, so that a server that has slowed from pace 1 to 0.55
# is not taken for a busy one for more than about a minute.
BASE_GROWTH = 1.003
# Average time between two steps, and its jitter. A step shows in the response times of a gateway
# with 20 requests per second after about that time.
STEP_MS = 500
STEP_JITTER = 0.5
# A share that nothing has updated for this long is out of date.
SHARE_MAX_AGE_MS = 10_000
# Requests leave by the share, rather than to meet their own objective, only if the price of their
# bytes is at most this part of the objective.
CHEAP_SHARE = 0.1
# Reason of requests that leave by the share.
BY_SHARE = "share of a late home zone"


@attrs.frozen(kw_only=True)
class SpillOption:
    """An upstream that may get the request; ``expected_ms`` contains the round trip."""

    key: str
    expected_ms: float
    distance: Distance
    # Whether it fails some of its requests or announced a rate limit, so that staying is no aim.
    troubled: bool = False
    # Whether the expectation is based on any response.
    measured: bool = True


@attrs.frozen(kw_only=True)
class SpillRequest:
    """What the decision needs to know of a request; times in ms from now, None if unlimited."""

    objective_ms: float | None = None
    budget_ms: float | None = None
    body_bytes: int = 0
    # Whether only the expected completion counts, as for another attempt after a failure.
    anywhere: bool = False
    # Whether some servers may not serve this request in particular, so that it says nothing of what
    # the zone can serve.
    restricted: bool = False
    # Why no home server is among the options, if that is so.
    home_absent: str = "no server in the home zone"

    @property
    def target_ms(self) -> float:
        """Return the time within which the request should be served, 0 if that has passed."""
        if self.budget_ms is None and self.objective_ms is None:
            return float("inf")
        if self.objective_ms is None:
            return max(0.0, BUDGET_SHARE * (self.budget_ms or 0.0))
        within_ms = self.objective_ms
        return max(0.0, within_ms if self.budget_ms is None else min(within_ms, self.budget_ms))


@attrs.frozen
class SpillChoice:
    """The chosen option; ``left_because`` is empty if the request stays in its zone."""

    option: SpillOption
    left_because: str = ""


@attrs.define
class _Service:
    """State of one service in this process; counters since the last step."""

    stepped_ms: int
    next_step_ms: int
    share: float = 0.0
    # Share at which the home zone was late last.
    edge: float = 0.0
    late: bool = False
    # Steps since the home zone was late.
    calm_steps: int = 0
    requests: int = 0
    worthwhile: int = 0
    pressure: float = 0.0
    # Expected times in the home zone that are based on responses, and their least average so far.
    measured: int = 0
    home_ms: float = 0.0
    base_ms: float | None = None
    response_bytes: float = DEFAULT_RESPONSE_BYTES

    def has_room(self) -> bool:
        """Return whether the home zone is about as fast as without load."""
        if not self.measured:
            return False
        average_ms = self.home_ms / self.measured
        base_ms = average_ms if self.base_ms is None else self.base_ms * BASE_GROWTH
        self.base_ms = min(average_ms, base_ms)
        return average_ms <= BUSY_FACTOR * self.base_ms

    def reset(self, now_ms: int) -> None:
        """Begin to count anew."""
        self.stepped_ms = now_ms
        self.requests = self.worthwhile = self.measured = 0
        self.pressure = self.home_ms = 0.0


def transfer_ms(distance: Distance, transferred_bytes: float) -> float:
    """Return the price of bytes in milliseconds of expected completion."""
    return MS_PER_KB[distance] * transferred_bytes / BYTES_PER_KB


@attrs.define
class ZoneSpill:
    """Chooses between the servers of the home zone and others, for the requests of one process."""

    clock: Clock
    rng: random.Random
    services: dict[str, _Service] = attrs.field(factory=dict)
    # Whether the home zone is preferred; otherwise only the expected completion counts.
    enabled: bool = True

    def share(self, service: str) -> float:
        """Return the share of a service's requests that may leave although home could serve."""
        state = self.services.get(service)
        return 0.0 if state is None else state.share

    def record_response(self, service: str, body_bytes: int) -> None:
        """Record the size of a whole response body."""
        state = self._state(service)
        state.response_bytes += RESPONSE_BYTES_WEIGHT * (body_bytes - state.response_bytes)

    def choose(
        self, service: str, options: Sequence[SpillOption], request: SpillRequest
    ) -> SpillChoice:
        """Return where a request goes; ``options`` must not be empty."""
        if not self.enabled:
            return SpillChoice(min(options, key=lambda each: each.expected_ms), "")
        state = self._state(service)
        moved = request.body_bytes + state.response_bytes
        home = _soonest_home(options, request.target_ms)
        away = _best_away(options, request.target_ms, moved)
        if request.anywhere:
            # An attempt after a failure says nothing of what the zone can serve.
            chosen = min(options, key=lambda each: each.expected_ms)
            left = chosen.distance is not Distance.HOME
            return SpillChoice(chosen, "another attempt" if left else "")
        reason = ""
        if home is None:
            reason = request.home_absent
        elif away is not None:
            reason = self._reason_to_leave(state, home, away, request, moved)
        if not request.restricted:
            self._observe(state, home, away, request.target_ms, moved)
        if away is None or (home is not None and not reason):
            assert home is not None
            return SpillChoice(home)
        return SpillChoice(away, reason)

    def _reason_to_leave(
        self,
        state: _Service,
        home: SpillOption,
        away: SpillOption,
        request: SpillRequest,
        moved: float,
    ) -> str:
        """Return why a request leaves a usable home server, empty if it stays."""
        price_ms = transfer_ms(away.distance, moved)
        gain_ms = home.expected_ms - away.expected_ms
        target_ms = request.target_ms
        if home.troubled:
            return "home server fails or is rate-limited" if gain_ms > price_ms else ""
        if home.expected_ms > target_ms:
            meets = away.expected_ms <= target_ms
            least_ms = _margin_ms(home)
            if not meets:
                least_ms = price_ms + LATE_MARGIN_SHARE * home.expected_ms
            if gain_ms < least_ms:
                return ""
            return "objective missed at home" if meets else "objective missed, sooner elsewhere"
        if self.rng.random() >= state.share or price_ms > CHEAP_SHARE * target_ms:
            return ""
        return BY_SHARE if away.expected_ms <= END_PRESSURE * target_ms else ""

    def _state(self, service: str) -> _Service:
        now_ms = self.clock.now_ms()
        state = self.services.get(service)
        if state is None:
            state = _Service(stepped_ms=now_ms, next_step_ms=now_ms + self._pause_ms())
            self.services[service] = state
        return state

    def _pause_ms(self) -> int:
        return round(STEP_MS * (1 + STEP_JITTER * (self.rng.random() - 0.5)))

    def _observe(
        self,
        state: _Service,
        home: SpillOption | None,
        away: SpillOption | None,
        target_ms: float,
        moved: float,
    ) -> None:
        """Count a request, and change the share if a step is due."""
        now_ms = self.clock.now_ms()
        if now_ms - state.stepped_ms > SHARE_MAX_AGE_MS:
            state.share = 0.0
            state.reset(now_ms)
        state.requests += 1
        if home is not None and home.measured:
            state.measured += 1
            state.home_ms += home.expected_ms
        if home is None or home.expected_ms >= FULL_PRESSURE * target_ms:
            state.pressure += FULL_PRESSURE
        else:
            state.pressure += home.expected_ms / target_ms
        if home is None:
            state.worthwhile += 1
        elif away is not None:
            gain_ms = home.expected_ms - away.expected_ms
            price_ms = transfer_ms(away.distance, moved)
            state.worthwhile += gain_ms > price_ms + _margin_ms(home)
        if now_ms >= state.next_step_ms:
            self._step(state, now_ms)

    def _step(self, state: _Service, now_ms: int) -> None:
        pressure = state.pressure / state.requests
        has_room = state.has_room()
        share = state.share
        late = pressure >= BEGIN_PRESSURE
        if late and 2 * state.worthwhile > state.requests:
            # The share at which the home zone became late, not the one it has reached since: a
            # server that was slow or absent gets its requests back at once.
            state.edge = state.edge if state.late else share
            share += GROW_STEP
        elif late or share > state.edge + GROW_STEP:
            # Elsewhere is no better, or this many requests were served at home before.
            share -= GROW_STEP if late or pressure < END_PRESSURE else 0.0
        elif pressure < END_PRESSURE and has_room:
            share -= FINE_STEP * (1 + state.calm_steps / CALM_STEPS)
        state.calm_steps = 0 if late else state.calm_steps + 1
        state.late = late
        state.share = max(0.0, min(MAX_SHARE, share))
        state.reset(now_ms)
        state.next_step_ms = now_ms + self._pause_ms()


def _margin_ms(home: SpillOption) -> float:
    return max(MIN_MARGIN_MS, MARGIN_SHARE * home.expected_ms)


def _soonest_home(options: Sequence[SpillOption], target_ms: float) -> SpillOption | None:
    """Return the soonest home option; it is troubled only if no other one meets the target."""
    home = [each for each in options if each.distance is Distance.HOME]
    soonest = min(home, key=lambda each: each.expected_ms, default=None)
    if soonest is None or not soonest.troubled:
        return soonest
    for option in home:
        if not option.troubled and option.expected_ms <= target_ms:
            return attrs.evolve(soonest, troubled=False)
    return soonest


def _best_away(
    options: Sequence[SpillOption], target_ms: float, moved: float
) -> SpillOption | None:
    """Return the cheapest option elsewhere that meets the target, or else the cheapest one."""
    best = None
    best_cost = (True, 0.0)
    for option in options:
        if option.distance is Distance.HOME:
            continue
        cost = (
            option.expected_ms > target_ms,
            option.expected_ms + transfer_ms(option.distance, moved),
        )
        if best is None or cost < best_cost:
            best, best_cost = option, cost
    return best
