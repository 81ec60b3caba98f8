"""Decides which requests may be sent on after upstreams crashed under them; performs no I/O.

Designed for one request in some hundred that crashes each upstream that runs it and comes again
every few seconds at any gateway, beside innocent requests that are in flight on the same upstreams,
upstreams that go down and up by themselves, and whole fleets that crash at once. For this load, a
request that shared a crash is tried alone on one upstream, while the service can afford to lose it,
and condemned when it explains the crashes better than any other request.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

import attrs

# Observations of one upstream's crash that are closer together belong to the same crash.
SAME_CRASH_MS = 1_500
# Time for which a crash counts against the requests that were in flight.
EVIDENCE_MS = 10 * 60_000
# Crashes that condemn a request, and how many more are needed if others crash too.
CRASHES_TO_CONDEMN = 2
MORE_CRASHES_IN_STORM = 1
# A storm: this many unexplained crashes of the same service in this time before a crash.
STORM_CRASHES = 2
STORM_MS = 10_000
# Wait for what other gateways saw of the same crash before a final answer.
SETTLE_MS = 400
# Time until a condemned request is tried again; it doubles with each further crash.
CONDEMNED_MS = 30_000
MAX_DOUBLINGS = 4
# Retry-After of a request that waits for a trial, and until an upstream is back.
TRIAL_RETRY_MS = 200
RECOVERY_RETRY_MS = 1_000
# Upstreams of a service that have to be up for a trial, which may cost one of them.
MIN_UP_FOR_TRIAL = 2
# Time for which an upstream counts as down after its crash unless it answers.
DOWN_MS = 4_000
# Crashes and exonerations kept at most; the oldest are forgotten first.
MAX_CRASHES = 2_000
MAX_SUCCESSES = 2_000
# Time to remember an exoneration, so that late reports of earlier crashes don't count.
SUCCESS_MEMORY_MS = 60_000


class Verdict(enum.Enum):
    """What may be done with a request; the values are metric labels and go into logs."""

    ORDINARY = "ordinary"
    # At one upstream without other requests of this process.
    TRY_ALONE = "try alone"
    # Not now.
    HOLD = "hold"
    CONDEMNED = "condemned"


@attrs.frozen
class Ruling:
    """A verdict with its reason."""

    verdict: Verdict
    reason: str = ""
    # Crashes under the request that count.
    crashes: int = 0
    # Time until the request may be tried, in ms; 0 if it may be tried now.
    retry_after_ms: int = 0


@attrs.frozen
class Stakes:
    """Numbers of upstreams of a service that are listed, and of those that are up."""

    listed: int
    up: int


@attrs.define(eq=False)
class Crash:
    """The end of an upstream, and the requests that were in flight on it; ms of this clock."""

    service: str
    upstream: str
    at_ms: int
    contents: set[str] = attrs.field(factory=set)


@attrs.frozen
class CrashReport:
    """What one gateway tells others: a crash under a content, or none, or a success of it."""

    # Empty for a crash without a request of the reporting gateway.
    content: str
    service: str
    # Empty for a success.
    upstream: str
    at_ms: int


@attrs.define
class CrashBoard:
    """Crashes of upstreams, the requests in flight, and the trials of this gateway."""

    crashes: dict[str, list[Crash]] = attrs.field(factory=dict)
    by_content: dict[str, list[Crash]] = attrs.field(factory=dict)
    # Time of the last success by content, for those that shared a crash.
    successes: dict[str, int] = attrs.field(factory=dict)
    # Service of the running trials, by content.
    trials: dict[str, str] = attrs.field(factory=dict)
    # Upstreams that answered after their crash.
    alive: set[str] = attrs.field(factory=set)
    # Number of crashes forgotten before their time.
    forgotten: int = 0

    # Evidence

    def apply(self, report: CrashReport, now_ms: int) -> bool:
        """Add what a gateway saw; returns whether it was new."""
        if now_ms - report.at_ms >= EVIDENCE_MS:
            return False
        if not report.upstream:
            return self._exonerate(report.content, report.at_ms)
        if report.content and report.at_ms <= self.successes.get(report.content, report.at_ms - 1):
            return False
        crash = self._find(report.upstream, report.at_ms)
        if crash is None:
            crash = Crash(report.service, report.upstream, report.at_ms)
            self.crashes.setdefault(report.upstream, []).append(crash)
            self.alive.discard(report.upstream)
        elif not report.content or report.content in crash.contents:
            return False
        if report.content:
            crash.contents.add(report.content)
            self.by_content.setdefault(report.content, []).append(crash)
        self._limit_size()
        return True

    def record_alive(self, upstream: str) -> None:
        """Note that an upstream answers."""
        if upstream in self.crashes:
            self.alive.add(upstream)

    def is_suspect(self, content: str) -> bool:
        """Return whether an upstream crashed under a request that has not succeeded since."""
        return content in self.by_content

    def _find(self, upstream: str, at_ms: int) -> Crash | None:
        for crash in self.crashes.get(upstream, ()):
            if abs(crash.at_ms - at_ms) <= SAME_CRASH_MS:
                return crash
        return None

    def _exonerate(self, content: str, at_ms: int) -> bool:
        """Drop the crashes of a request before its success; returns whether there were any."""
        crashes = self.by_content.get(content, [])
        later = [crash for crash in crashes if crash.at_ms > at_ms]
        if at_ms > self.successes.get(content, at_ms - 1):
            self.successes.pop(content, None)
            self.successes[content] = at_ms
            self._limit_size()
        if len(later) == len(crashes):
            return False
        for crash in crashes:
            if crash.at_ms <= at_ms:
                crash.contents.discard(content)
        self._set_crashes(content, later)
        return True

    def _set_crashes(self, content: str, crashes: list[Crash]) -> None:
        if crashes:
            self.by_content[content] = crashes
        else:
            self.by_content.pop(content, None)

    # Decisions

    def rule(self, content: str, service: str, stakes: Stakes, now_ms: int) -> Ruling:
        """Return what may be done with a request to a service now."""
        crashes = self.by_content.get(content)
        if not crashes:
            return Ruling(Verdict.ORDINARY)
        number = len(crashes)
        last_ms = max(crash.at_ms for crash in crashes)
        settled_ms = last_ms + SETTLE_MS
        if number >= CRASHES_TO_CONDEMN and now_ms < settled_ms:
            return Ruling(Verdict.HOLD, "other gateways may know more", number, settled_ms - now_ms)
        reason = f"{number} servers crashed under it"
        if self._is_condemned(content, number):
            doublings = min(number - CRASHES_TO_CONDEMN, MAX_DOUBLINGS)
            left_ms = last_ms + (CONDEMNED_MS << doublings) - now_ms
            if left_ms > 0:
                return Ruling(Verdict.CONDEMNED, reason, number, left_ms)
        if content in self.trials:
            return Ruling(Verdict.HOLD, "it is being tried", number, TRIAL_RETRY_MS)
        at_stake = sum(1 for tried in self.trials.values() if tried == service)
        if stakes.up - at_stake < min(MIN_UP_FOR_TRIAL, stakes.listed):
            retry_ms = TRIAL_RETRY_MS if at_stake else RECOVERY_RETRY_MS
            return Ruling(Verdict.HOLD, "too few servers are up", number, retry_ms)
        return Ruling(Verdict.TRY_ALONE, reason, number)

    def condemned(self) -> list[str]:
        """Return the contents that are condemned, whether they may be tried again or not."""
        return [
            content
            for content, crashes in self.by_content.items()
            if self._is_condemned(content, len(crashes))
        ]

    def is_down(self, upstream: str, now_ms: int) -> bool:
        """Return whether an upstream crashed lately and has not answered since."""
        crashes = self.crashes.get(upstream)
        if not crashes or upstream in self.alive:
            return False
        return now_ms - crashes[-1].at_ms < DOWN_MS

    def begin_trial(self, content: str, service: str) -> None:
        """Note that a suspect is being tried by this gateway."""
        self.trials[content] = service

    def end_trial(self, content: str) -> None:
        """Note the end of a trial, whatever its result."""
        self.trials.pop(content, None)

    def _is_condemned(self, content: str, crashes: int) -> bool:
        return (
            crashes >= CRASHES_TO_CONDEMN
            and crashes >= self._crashes_needed(content)
            and self._explains(content)
        )

    def _crashes_needed(self, content: str) -> int:
        """Return the number of crashes that condemn a request.

        Upstreams that crash under nobody's request may also have crashed by themselves under it.
        """
        own = self.by_content[content]
        services = {crash.service for crash in own}
        last_ms = max(crash.at_ms for crash in own)
        unexplained = 0
        for crash in self._all_crashes():
            near = last_ms - STORM_MS < crash.at_ms <= last_ms + SETTLE_MS
            if crash.service not in services or not near or crash in own:
                continue
            if any(len(self.by_content[other]) > 1 for other in crash.contents):
                continue
            unexplained += 1
        storm = unexplained >= STORM_CRASHES
        return CRASHES_TO_CONDEMN + (MORE_CRASHES_IN_STORM if storm else 0)

    def _explains(self, content: str) -> bool:
        """Return whether all others in flight at one of the crashes shared fewer crashes."""
        number = len(self.by_content[content])
        for crash in self.by_content[content]:
            others = crash.contents - {content}
            if all(len(self.by_content[other]) < number for other in others):
                return True
        return False

    def _all_crashes(self) -> Iterator[Crash]:
        for crashes in self.crashes.values():
            yield from crashes

    # Exchange and memory

    def reports(self) -> list[CrashReport]:
        """Return all that other gateways should know."""
        found = [CrashReport(content, "", "", at_ms) for content, at_ms in self.successes.items()]
        for crash in self._all_crashes():
            for content in sorted(crash.contents):
                found.append(CrashReport(content, crash.service, crash.upstream, crash.at_ms))
        return found

    def evict(self, now_ms: int) -> None:
        """Forget what no longer matters."""
        for crash in list(self._all_crashes()):
            if now_ms - crash.at_ms >= EVIDENCE_MS:
                self._forget(crash)
        for content, at_ms in list(self.successes.items()):
            if now_ms - at_ms >= SUCCESS_MEMORY_MS:
                del self.successes[content]

    def _limit_size(self) -> None:
        if sum(len(crashes) for crashes in self.by_content.values()) > MAX_CRASHES or (
            len(self.crashes) > MAX_CRASHES
        ):
            self.forgotten += 1
            self._forget(min(self._all_crashes(), key=self._worth))
        if len(self.successes) > MAX_SUCCESSES:
            del self.successes[next(iter(self.successes))]

    def _worth(self, crash: Crash) -> tuple[bool, int]:
        """Return a key by which crashes under a culprit are forgotten last, and then newer ones."""
        return any(len(self.by_content[each]) > 1 for each in crash.contents), crash.at_ms

    def _forget(self, crash: Crash) -> None:
        for content in crash.contents:
            rest = [each for each in self.by_content[content] if each is not crash]
            self._set_crashes(content, rest)
        self.crashes[crash.upstream].remove(crash)
        if not self.crashes[crash.upstream]:
            del self.crashes[crash.upstream]
            self.alive.discard(crash.upstream)
