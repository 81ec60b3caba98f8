"""Decides whether this process may act as the holder of the gateways' singleton duties.

Load pattern: a holder is killed, cut off from the store or paused for seconds while another gateway
takes over, and goes on with what it was about to send. Orders to engines and all other duties
depend on one lease, so that they cause no further calls of the store. Some machines stall for half
a second again and again; orders to engines have to go on then.
"""

from __future__ import annotations

from typing import Protocol

import attrs

from ..clock import Clock
from ..pauses import PauseDetector

LEASE_INTERVAL_MS = 500
# A process that has not looked at the clock for this long was paused. The lease may have passed to
# another gateway and back meanwhile.
MAX_GAP_MS = 500
OBSERVE_INTERVAL_MS = 100


class DutyLease(Protocol):
    """What a holder needs of its lease."""

    # Fence under which this process last held the lease, the holder before it, and whether that one
    # could act when it last wrote.
    fence: int
    previous_holder: str
    previous_settled: bool
    # Whether this holder may act, as told to the next one.
    settled: bool
    # Start of the last write that is known to have renewed the lease; None before the first.
    renewed_ms: int | None
    # The next write of the holder uses at least this fence.
    min_fence: int

    def held(self) -> bool:
        """Return whether this process holds the lease."""

    def step(self) -> object:
        """Acquire, renew or wait, whichever is due."""

    def renew_soon(self) -> None:
        """Let the next step renew the lease, even if that is not due yet."""

    def release(self) -> None:
        """Stop holding."""


@attrs.define
class DutyHolder:
    """The lease of this process for all duties, and whether it may act under it now."""

    clock: Clock
    node: str
    lease: DutyLease
    # Time between acquiring the lease and the first act.
    handover_ms: int
    # Whether there are calls for duties, for which a held lease is renewed after a pause.
    has_duties: bool = False
    pauses: PauseDetector = attrs.field(factory=lambda: PauseDetector(MAX_GAP_MS))
    held_since_ms: int | None = None
    held_fence: int | None = None
    # Fence of the last act; None if there was none yet.
    acted_fence: int | None = None

    @property
    def fence(self) -> int:
        """Return the fencing token for what is sent now."""
        return self.lease.fence

    def holds_lease(self) -> bool:
        """Return whether this process holds the lease, even if it may not act yet."""
        return self.lease.held()

    def may_act(self, fence: int | None = None) -> bool:
        """Return whether this process may make calls for duties now.

        The platform checks no fence, so the lease must have been renewed after the last pause. If
        ``fence`` is given, it has to be that of the lease held now. To be asked again right before
        the bytes of a call are sent.
        """
        return self.may_order(fence) and self._renewed_since_pause()

    def may_order(self, fence: int | None = None) -> bool:
        """Return whether acts of this process can't overlap with those of the former holder.

        Enough for orders to engines: the lease's clock goes on during a pause, so a lease that is
        still held after it had no other holder. ``fence`` is as for ``may_act``.
        """
        since_ms = self.held_since_ms
        if since_ms is None or not self.lease.held() or self.held_fence != self.lease.fence:
            return False
        if fence is not None and fence != self.lease.fence:
            return False
        # A lease that expired and was reacquired with the same fence had no other holder.
        if self.lease.fence == self.acted_fence:
            return True
        # A restarted process on this VM counts as the same holder, unless the former process was
        # still waiting itself: then a holder before it may have acted just now.
        if self.lease.previous_holder == self.node and self.lease.previous_settled:
            return True
        return self.clock.now_ms() - since_ms >= self.handover_ms

    def record_act(self) -> None:
        """Record that something is about to be sent under the current fence."""
        self.acted_fence = self.lease.fence

    def exceed_fence(self, used_fence: int) -> None:
        """Let the lease continue above a fence that another holder has used.

        That is not so by itself if the lease object was deleted.
        """
        self.lease.min_fence = max(self.lease.min_fence, used_fence + 1)
        self.lease.renew_soon()

    def observe(self) -> None:
        """Notice a pause of this process; to be called every ``OBSERVE_INTERVAL_MS`` or sooner."""
        self.pauses.observe(self.clock.now_ms())

    def watch_pauses(self) -> None:
        """Observe the clock forever, also while a step of the lease waits for the store."""
        while True:
            self.observe()
            self.clock.sleep_ms(OBSERVE_INTERVAL_MS)

    def _renewed_since_pause(self) -> bool:
        self.observe()
        renewed_ms = self.lease.renewed_ms
        return renewed_ms is not None and self.pauses.covers(renewed_ms)

    def update(self) -> None:
        """Update the time since which the lease is held; one step may lose and reacquire it."""
        if not self.lease.held():
            self.held_since_ms = None
            return
        if self.held_since_ms is None or self.held_fence != self.lease.fence:
            self.held_since_ms = self.clock.now_ms()
        self.held_fence = self.lease.fence

    def keep_lease(self) -> None:
        """Acquire and renew the lease forever."""
        while True:
            self.step()
            self._wait_for_step()

    def step(self) -> None:
        """Acquire, renew or wait; with duties, a held lease is renewed after a pause."""
        if self._lacks_renewal():
            self.lease.renew_soon()
        self.lease.settled = self.may_act()
        self.lease.step()
        self.update()

    def _lacks_renewal(self) -> bool:
        return self.has_duties and self.lease.held() and not self._renewed_since_pause()

    def _wait_for_step(self) -> None:
        """Wait until the next step of the lease is due, or a renewal after a pause.

        The pause may have been during the last step, while the store was called.
        """
        if not self.has_duties:
            self.clock.sleep_ms(LEASE_INTERVAL_MS)
            return
        until_ms = self.clock.now_ms() + LEASE_INTERVAL_MS
        while self.clock.now_ms() < until_ms:
            self.clock.sleep_ms(OBSERVE_INTERVAL_MS)
            self.observe()
            if self._lacks_renewal():
                return
