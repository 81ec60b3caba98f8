"""Precedence of calls within their account while a service is nearly full; does no I/O.

Load pattern: clients whose calls were refused return after some hundred milliseconds, at any of
many gateways, which exchange no messages about single calls. A gateway knows the refusals that it
gave itself. It recognizes other returned calls by the time that their clients will still wait:
first attempts of an account on a route mostly state the same time, and returned ones clearly less.

Many sessions (calls with the same shared part of their prompts) of one account ask for half as much
again as its share. Calls are refused by chance, so some sessions would be refused again and again.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque

import attrs

from ..clock import Clock

# A call counts as returned if the same request was refused within this time.
RETURN_MEMORY_MS = 5_000
# Refused requests that are remembered; 5 s at 2,000 refusals per second of one gateway.
MAX_RETURNS = 10_000
# A session is forgotten if it was not refused for this time.
SESSION_MEMORY_MS = 8_000
# Refused sessions that are remembered.
MAX_SESSIONS = 10_000
# Calls and sessions that were refused this often have the highest precedence within their account.
MAX_PRECEDENCE = 8
# A session that was refused more often than this since it was last served returns sooner, by this
# part of its delay for each further refusal.
PATIENT_REFUSALS = 2
HASTE_STEP = 0.5
# Budgets of calls are remembered for this time, and those of this many calls of an account's route.
BUDGET_MEMORY_MS = 8_000
BUDGET_SAMPLES = 32
# Pairs of account and route whose budgets are remembered.
MAX_BUDGETS = 10_000
# Budgets are compared in steps of this size, since clients need some time for each attempt.
BUDGET_STEP_MS = 50
# The usual budget is the most frequent one, if this many calls and this part of them state it.
LEAST_USUAL_CALLS = 3
LEAST_USUAL_PART = 1 / 8
# A call that has this much less time left than usual has waited before. The shortest delay after a
# refusal is 125 ms, and the usual budget is known to 50 ms.
CLEARLY_LESS_MS = 75
# Usual delay between two attempts of a call.
REFUSAL_DELAY_MS = 250


@attrs.frozen(kw_only=True)
class ArrivingCall:
    """What the decision needs to know of a call."""

    account: str
    content: str
    left_ms: int
    # Expected time until the response, None if unknown.
    expected_ms: float | None = None
    route: str = ""
    # Time that the client was still willing to wait when the call arrived; None if not stated.
    budget_ms: int | None = None
    # Last shared part of the prompt; empty if there is none.
    session: str = ""

    def content_key(self) -> str:
        """Return the identity of the request within its account; empty if it has none."""
        return f"{self.account}\0{self.content}" if self.content else ""

    def session_key(self) -> str:
        """Return the identity of the call's session; empty if it has none."""
        return f"{self.account}\0{self.route}\0{self.session}" if self.session else ""

    def budget_key(self) -> str:
        """Return what calls must have in common so that their budgets can be compared."""
        return f"{self.account}\0{self.route}"


@attrs.define
class RefusalCounts:
    """Numbers of recent refusals by key, the key refused longest ago first."""

    memory_ms: int
    most_keys: int
    refusals: OrderedDict[str, tuple[int, int]] = attrs.field(factory=OrderedDict)

    def number(self, key: str, now_ms: int) -> int:
        """Return the refusals of a key, none if the last one is too long ago."""
        count, at_ms = self.refusals.get(key, (0, 0))
        return count if now_ms - at_ms <= self.memory_ms else 0

    def add(self, key: str, now_ms: int, least: int = 1) -> None:
        """Count a refusal; the key has then at least ``least``."""
        if not key:
            return
        self.refusals[key] = (max(least, self.number(key, now_ms) + 1), now_ms)
        self.refusals.move_to_end(key)
        self.evict(now_ms)

    def remove(self, key: str) -> None:
        """Forget the refusals of a key."""
        self.refusals.pop(key, None)

    def evict(self, now_ms: int) -> None:
        """Drop what is outdated or exceeds the number of keys."""
        while self.refusals:
            oldest = next(iter(self.refusals))
            outdated = now_ms - self.refusals[oldest][1] > self.memory_ms
            if not outdated and len(self.refusals) <= self.most_keys:
                break
            del self.refusals[oldest]


@attrs.define
class _Budgets:
    """Budgets of the last calls of one account on one route, in steps, and their frequency."""

    samples: deque[tuple[int, int]] = attrs.field(factory=deque)
    counts: Counter[int] = attrs.field(factory=Counter)

    def add(self, step: int, now_ms: int) -> None:
        self.samples.append((step, now_ms))
        self.counts[step] += 1
        while len(self.samples) > BUDGET_SAMPLES or self._is_outdated(now_ms):
            dropped, _at_ms = self.samples.popleft()
            self.counts[dropped] -= 1
            if not self.counts[dropped]:
                del self.counts[dropped]

    def _is_outdated(self, now_ms: int) -> bool:
        return now_ms - self.samples[0][1] > BUDGET_MEMORY_MS

    def usual_ms(self) -> int | None:
        """Return the most frequent budget, the longest one of several; None if there is none."""
        count, step = max((count, step) for step, count in self.counts.items())
        if count < max(LEAST_USUAL_CALLS, LEAST_USUAL_PART * len(self.samples)):
            return None
        return step * BUDGET_STEP_MS


@attrs.define
class UsualBudgets:
    """Recognizes calls that were refused elsewhere by the time that their clients still wait.

    The most frequent budget is the usual one and not the longest: returned calls have many
    different ones, and a single long budget would make all other calls look like returned ones.
    """

    budgets: OrderedDict[str, _Budgets] = attrs.field(factory=OrderedDict)

    def record(self, call: ArrivingCall, now_ms: int) -> None:
        """Count the budget of a call, once for each of its arrivals."""
        if call.budget_ms is None:
            return
        key = call.budget_key()
        self.budgets.setdefault(key, _Budgets()).add(call.budget_ms // BUDGET_STEP_MS, now_ms)
        self.budgets.move_to_end(key)
        self.evict(now_ms)

    def refusals(self, call: ArrivingCall) -> int:
        """Return how often a call was probably refused before, by the time that it has waited."""
        known = self.budgets.get(call.budget_key())
        if call.budget_ms is None or known is None:
            return 0
        usual_ms = known.usual_ms()
        if usual_ms is None or usual_ms - call.budget_ms < CLEARLY_LESS_MS:
            return 0
        return max(1, round((usual_ms - call.budget_ms) / REFUSAL_DELAY_MS))

    def evict(self, now_ms: int) -> None:
        """Drop what is outdated or exceeds the number of keys."""
        while self.budgets:
            oldest = next(iter(self.budgets))
            last_ms = self.budgets[oldest].samples[-1][1]
            if now_ms - last_ms <= BUDGET_MEMORY_MS and len(self.budgets) <= MAX_BUDGETS:
                break
            del self.budgets[oldest]


@attrs.define
class CallPrecedence:
    """Tells how often calls were refused lately, here or elsewhere."""

    clock: Clock
    returns: RefusalCounts = attrs.field(
        factory=lambda: RefusalCounts(RETURN_MEMORY_MS, MAX_RETURNS)
    )
    budgets: UsualBudgets = attrs.field(factory=UsualBudgets)
    # Refusals of sessions since a call of theirs was last accepted.
    sessions: RefusalCounts = attrs.field(
        factory=lambda: RefusalCounts(SESSION_MEMORY_MS, MAX_SESSIONS)
    )

    def record_arrival(self, call: ArrivingCall) -> None:
        """Record an attempt of a client, whatever becomes of it."""
        self.budgets.record(call, self.clock.now_ms())

    def refusals(self, call: ArrivingCall) -> int:
        """Return the refusals that count for a call, at most ``MAX_PRECEDENCE``.

        Each refusal of a call is also one of its session, so they are not added.
        """
        session = self.sessions.number(call.session_key(), self.clock.now_ms())
        return min(MAX_PRECEDENCE, max(self._call_refusals(call), session))

    def haste(self, call: ArrivingCall) -> float:
        """Return by what the delay of a refused call is divided, above 1 if its session starves.

        While all upstreams are full, it depends on chance which attempt finds a place, whatever
        the precedence. More attempts are more chances.
        """
        refusals = self.sessions.number(call.session_key(), self.clock.now_ms())
        return 1.0 + HASTE_STEP * max(0, refusals - PATIENT_REFUSALS)

    def record_refusal(self, call: ArrivingCall) -> None:
        """Record that a call was refused, so that it and its session take precedence next time."""
        now_ms = self.clock.now_ms()
        # Refusals at other gateways count for the session too.
        self.sessions.add(call.session_key(), now_ms, self._call_refusals(call) + 1)
        self.returns.add(call.content_key(), now_ms)

    def record_sent(self, call: ArrivingCall) -> None:
        """Forget the refusals of a call that an upstream accepted, and those of its session."""
        self.returns.remove(call.content_key())
        self.sessions.remove(call.session_key())

    def evict(self) -> None:
        """Drop what is outdated."""
        now_ms = self.clock.now_ms()
        self.returns.evict(now_ms)
        self.sessions.evict(now_ms)
        self.budgets.evict(now_ms)

    def _call_refusals(self, call: ArrivingCall) -> int:
        known = self.returns.number(call.content_key(), self.clock.now_ms())
        return max(known, self.budgets.refusals(call))
