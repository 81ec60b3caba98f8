"""Division of a process's memory among the requests of its clients; performs no I/O.

Load pattern: many clients send large bodies of legal size at once, most stop just short of the end
and stay, some send at a trickle, others do not read large answers, and each comes back as soon as
it is cut. For this load, bytes are granted as they arrive, nobody is cut while there is room, and
once there is none, the slowest large holding that waits for its client makes room. If all clients
are fast, the newcomer is refused, so that those that have begun can finish. A part is reserved for
small requests, which large ones never take.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

import attrs

from ..clock import Clock
from ..measures import Measures

# Share of a process's memory limit that requests may hold. The rest is for the process itself,
# which has 45 to 60 MB, and for copies in the process's and the system's buffers.
BUDGET_SHARE = 3 / 8
# Budget of a process whose memory limit is unknown: 32 bodies of the largest legal size.
DEFAULT_BUDGET_BYTES = 1024 * 1024 * 1024
# Multiple of the budget that a submission may hold while others hold no more than the reserve: half
# of the memory limit. Parsing it keeps the process busy, so nothing else grows meanwhile.
SINGLE_SHARE = 4 / 3
# A request that holds no more than this may use the reserve.
SMALL_BYTES = 64 * 1024
RESERVE_SHARE = 1 / 8
# Share of the room for large requests up to which bodies may begin to take part in it. The rest is
# for those that have begun, of which otherwise few would ever be complete in a crowd.
BEGIN_SHARE = 3 / 4
# A client is slow once it has sent or taken nothing for this long, ...
STALL_MS = 250
# ... or less than this after the grace time, in bytes per millisecond, ...
MIN_PACE = 256
GRACE_MS = 1_000
# ... or once it has needed longer than this. Without it, a crowd that sends just above the minimum
# pace would hold all room for 2 minutes with bodies of 32 MiB.
LONG_MS = 5_000


def budget_bytes(memory_limit_bytes: int) -> int:
    """Return the budget of a process with a memory limit; 0 means that the limit is unknown."""
    if not memory_limit_bytes:
        return DEFAULT_BUDGET_BYTES
    return int(memory_limit_bytes * BUDGET_SHARE)


class Purpose(enum.Enum):
    """What bytes are held for."""

    BODY = "body"
    ANSWER = "answer"
    SUBMISSION = "submission"
    BATCH = "batch"
    PEER = "peer"


class NoRoomError(Exception):
    """The budget has no room for more bytes of a request, or its holding was cut."""


@attrs.define(eq=False)
class Holding:
    """Bytes that one request holds."""

    budget: ByteBudget = attrs.field(repr=False)
    purpose: Purpose
    # The request's id or the client's address, for the log.
    label: str
    # Frees the bytes at once and ends the wait for the client; None if this can't be cut.
    cut: Callable[[], None] | None
    started_ms: int
    progressed_ms: int
    held_bytes: int = 0
    # Bytes that the client has sent or taken.
    moved_bytes: int = 0
    is_cut: bool = False

    def grow(self, size: int, force: bool = False) -> None:
        """Hold more bytes; raises ``NoRoomError`` if there is no room, unless ``force`` is set."""
        self.budget.grow(self, size, force)

    def move(self, size: int) -> None:
        """Record that the client has sent or taken bytes."""
        self.moved_bytes += size
        self.progressed_ms = self.budget.clock.now_ms()

    def settle(self) -> None:
        """Record that the holding no longer waits for its client, so that it is not cut."""
        self.cut = None
        self.budget.cuttable.pop(self, None)

    def begin_part(self, size: int) -> None:
        """Hold the next part of an answer, whose time begins now; see ``grow``."""
        self.started_ms = self.progressed_ms = self.budget.clock.now_ms()
        self.moved_bytes = 0
        self.grow(size, force=True)

    def end_part(self) -> None:
        """Give the bytes of the part back."""
        self.budget.used_bytes -= self.held_bytes
        self.held_bytes = 0

    def release(self) -> None:
        """Give all bytes back."""
        self.budget.release(self)

    def is_slow(self, now_ms: int) -> bool:
        """Return whether the client is slow enough to lose its place."""
        elapsed_ms = now_ms - self.started_ms
        if now_ms - self.progressed_ms >= STALL_MS or elapsed_ms >= LONG_MS:
            return True
        return self.moved_bytes < MIN_PACE * (elapsed_ms - GRACE_MS)


@attrs.define
class ByteBudget:
    """Counts the bytes that all requests of a process hold, and decides who gets and loses room."""

    clock: Clock
    max_bytes: int
    log: Any
    measures: Measures = attrs.field(factory=Measures)
    used_bytes: int = 0
    # Holdings that may be cut, in the order of their start.
    cuttable: dict[Holding, None] = attrs.field(factory=dict)

    @property
    def large_bytes(self) -> int:
        """Return the bytes that requests may hold which are not small."""
        return self.max_bytes - int(self.max_bytes * RESERVE_SHARE)

    @property
    def single_bytes(self) -> int:
        """Return the bytes that a submission may hold with its body if others hold little."""
        return int(self.max_bytes * SINGLE_SHARE)

    def hold(self, purpose: Purpose, label: str, cut: Callable[[], None] | None = None) -> Holding:
        """Return a holding without bytes."""
        now_ms = self.clock.now_ms()
        holding = Holding(self, purpose, label, cut, now_ms, now_ms)
        if cut is not None:
            self.cuttable[holding] = None
        return holding

    def grow(self, holding: Holding, size: int, force: bool) -> None:
        """Give bytes to a holding, from slow ones if needed; see ``Holding.grow``."""
        if holding.is_cut:
            raise NoRoomError("the client was too slow while others needed the room")
        missing = self._missing_bytes(holding, size)
        victims = self._victims(missing, holding) if missing > 0 else []
        if sum(each.held_bytes for each in victims) < missing and not force:
            self.refuse(holding.purpose, holding.label, "no room", holding.held_bytes + size)
            raise NoRoomError(f"{self.used_bytes} of {self.max_bytes} bytes are in use")
        for victim in victims:
            self._cut(victim)
        holding.held_bytes += size
        self.used_bytes += size

    def release(self, holding: Holding) -> None:
        """Take all bytes of a holding back."""
        self.cuttable.pop(holding, None)
        self.used_bytes -= holding.held_bytes
        holding.held_bytes = 0

    def refuse(self, purpose: Purpose, label: str, reason: str, size: int) -> None:
        """Count and log a refusal."""
        self.measures.count("refused_for_room", purpose.value)
        self.log.warning(
            "refused for room",
            purpose=purpose.value,
            request=label,
            reason=reason,
            bytes=size,
            used_bytes=self.used_bytes,
            max_bytes=self.max_bytes,
        )

    def _missing_bytes(self, holding: Holding, size: int) -> int:
        """Return how many bytes others have to give back first; none if it is not positive."""
        is_small = holding.held_bytes + size <= SMALL_BYTES
        # Peers send what clients were promised.
        may_use_reserve = is_small or holding.purpose is Purpose.PEER
        limit = self.max_bytes if may_use_reserve else self.large_bytes
        others = self.used_bytes - holding.held_bytes
        if holding.purpose is Purpose.SUBMISSION and others <= self.max_bytes - self.large_bytes:
            limit = self.single_bytes
        missing = self.used_bytes + size - limit
        begins = holding.purpose is Purpose.BODY and holding.held_bytes <= SMALL_BYTES
        if begins and not is_small:
            missing = max(missing, self.used_bytes - int(self.large_bytes * BEGIN_SHARE))
        return missing

    def _victims(self, missing: int, holding: Holding) -> list[Holding]:
        """Return the holdings to cut for the missing bytes; together they may have fewer.

        These are slow and have the most bytes times age. If the holding that needs the room is
        slow itself, none with less are among them.
        """
        now_ms = self.clock.now_ms()
        slow = [each for each in self.cuttable if each.held_bytes and each.is_slow(now_ms)]
        slow.sort(key=lambda each: each.held_bytes * (now_ms - each.started_ms), reverse=True)
        victims: list[Holding] = []
        for each in slow:
            if missing <= 0 or each is holding:
                break
            victims.append(each)
            missing -= each.held_bytes
        return victims

    def _cut(self, holding: Holding) -> None:
        assert holding.cut is not None
        self.measures.count("cut_for_room", holding.purpose.value)
        self.log.warning(
            "cut for room",
            purpose=holding.purpose.value,
            request=holding.label,
            bytes=holding.held_bytes,
            moved_bytes=holding.moved_bytes,
            age_ms=self.clock.now_ms() - holding.started_ms,
            silent_ms=self.clock.now_ms() - holding.progressed_ms,
            used_bytes=self.used_bytes,
        )
        holding.is_cut = True
        cut = holding.cut
        self.release(holding)
        cut()
