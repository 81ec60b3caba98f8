"""One process's part in a lease: acquire, renew, lose and release.

Why two processes never hold it at once. The holder counts its time to live from before its write
was sent, less a margin. Another process writes only conditionally on the version it has seen, and
only after that version has stood for the whole time to live on its own clock, counted from after
the read that first showed it. Both use durations of their own monotonic clock, whose rates may
differ by less than the margin. A holder that was paused between ``held`` and its action may still
act late; the fence, checked where orders are executed, covers that. Work must therefore carry the
``fence`` that was read when the work began.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable

from returns.result import Failure, Success

from ..charts.interpreter import ChartRunner
from ..clock import Clock
from ..logs import logger
from ..objects.api import ObjectStore, StoredObject, VersionConflict, WriteAmbiguous
from ..objects.read_back import put_with_read_back
from .list_cache import LeaseListCache
from .record import LeaseRecord, parse_lease

# Covers clocks whose rates differ by up to a tenth; the clocks of VMs differ by far less.
MARGIN_SHARE = 10
# Two renewals may fail before the lease runs out.
RENEWALS_PER_TIME_TO_LIVE = 3
# A waiting process reads at this rate, which bounds the delay after a release.
READS_PER_TIME_TO_LIVE = 3
# For each lease that a process holds, it leaves a free one to the others for this long.
DEFERRAL_PER_LEASE_MS = 500
MAX_DEFERRAL_MS = 2_000


class LeaseState(enum.StrEnum):
    """Name the states of the chart ``lease.json``."""

    WAITING = "waiting"
    HELD = "held"
    RELEASED = "released"


class Lease:
    """Contend for one duty and shard; a released lease is not acquired again.

    ``step`` and ``release`` use the store and may wait for it; ``held`` may be called meanwhile.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        duty: str,
        shard: str,
        holder: str,
        time_to_live_ms: int,
        rng: random.Random,
        list_cache: LeaseListCache | None = None,
        held_keys: set[str] | None = None,
        prefix: str = "leases",
        reclaims: bool = False,
        min_poll_ms: Callable[[], int] = lambda: 0,
        polls_at_expiry: Callable[[], bool] = lambda: True,
    ) -> None:
        self.store = store
        # Serves the reads of a waiting process that has no write of unknown outcome.
        self.list_cache = list_cache
        # Keys of the leases that this process holds, which decide how long it leaves a free one to
        # other processes; without them it takes a free one at once.
        self.held_keys = (
            list_cache.held_keys if held_keys is None and list_cache is not None else held_keys
        )
        # Whether no two processes with this holder's name ever run at once. What an earlier start
        # of this process held is then free: it need not run out first.
        self.reclaims = reclaims
        # Least time between two reads of a waiting process; many of them read less often each.
        self.min_poll_ms = min_poll_ms
        # Whether a waiting process looks again as soon as the lease may have run out. The others
        # find that out with their next regular read.
        self.polls_at_expiry = polls_at_expiry
        # Who held the lease before this process, empty if that is not known.
        self.previous_holder = ""
        self.clock = clock
        self.key = f"{prefix}/{duty}/{shard}"
        self.holder = holder
        # Every waiting entry lists all leases, so the record does not repeat the holder's name.
        self.session = f"{rng.getrandbits(64):016x}"
        self.time_to_live_ms = time_to_live_ms
        self.margin_ms = max(1, time_to_live_ms // MARGIN_SHARE)
        self.rng = rng
        self.chart = ChartRunner("lease")
        self.log = logger("lease")
        # The fence of this process's last holding; never that of another holder.
        self.fence = 0
        self.highest_fence = 0
        self.held_until_ms: int | None = None
        self.last_seen: StoredObject | None = None
        # A lease that was never held counts as free from now on, but the duties of a new deployment
        # are taken at once.
        self.first_seen_ms = 0 if held_keys is None else clock.now_ms()
        self.next_call_ms = clock.now_ms()
        # Start times of writes with unknown outcomes, by token.
        self.unconfirmed_writes: dict[str, int] = {}

    @property
    def state(self) -> LeaseState:
        """Return the state as of the last ``step`` or ``release``."""
        return LeaseState(self.chart.state)

    def held(self) -> bool:
        """Return whether this process may act as the holder at this moment."""
        return self.held_until_ms is not None and self.clock.now_ms() < self.held_until_ms

    def step(self) -> LeaseState:
        """Acquire, renew or wait, whichever is due; call it once a second."""
        if self.state is LeaseState.RELEASED:
            return self.state
        if self.state is LeaseState.HELD and not self.held():
            self._set_lost("the time to live ran out")
        if self.clock.now_ms() < self.next_call_ms:
            return self.state
        if self.state is LeaseState.HELD and not self.unconfirmed_writes:
            # A lost or replaced version makes this write conflict.
            self._write(self.fence, self.last_seen.version if self.last_seen is not None else None)
        else:
            self._read()
        return self.state

    def release(self) -> None:
        """Stop holding at once, and let another process take over without waiting."""
        if self.state is LeaseState.RELEASED:
            return
        self.held_until_ms = None
        self.chart.send("released")
        self._update_held_keys(False)
        record = self._last_seen_record()
        if self.last_seen is None or record is None or record.session != self.session:
            return
        # If this write is lost, other processes wait for the time to live to run out.
        released_record = LeaseRecord("", "", self._new_token(), record.fence, self.time_to_live_ms)
        put_with_read_back(
            self.store,
            self.key,
            released_record.to_bytes(),
            self.last_seen.version,
            released_record.token,
        )
        self.log.info("released", lease=self.key, fence=record.fence)

    def _read(self) -> None:
        if self.state is LeaseState.WAITING:
            period_ms = self.time_to_live_ms // READS_PER_TIME_TO_LIVE
            self._schedule_next_call(max(period_ms, self.min_poll_ms()))
        cacheable = self.state is LeaseState.WAITING and not self.unconfirmed_writes
        source = self.list_cache if cacheable and self.list_cache is not None else self.store
        read = source.get(self.key)
        if isinstance(read, Failure):
            return
        self._observe(read.unwrap())
        if self.state is LeaseState.HELD and not self.unconfirmed_writes:
            return
        record = self._last_seen_record()
        if self._defers_to_others(record):
            return
        if self.last_seen is None:
            # An object that someone deleted is created with a fence above all that were seen.
            self._write(self.highest_fence + 1, None)
            return
        if record is None:
            self.log.error("malformed lease, not taken", lease=self.key)
            return
        if record.session == self.session:
            self._write(record.fence, self.last_seen.version)
            return
        expires_ms = self.first_seen_ms + record.time_to_live_ms
        if (
            record.session
            and self.clock.now_ms() < expires_ms
            and not self._held_by_earlier_start(record)
        ):
            if self.polls_at_expiry():
                self.next_call_ms = min(self.next_call_ms, expires_ms)
            return
        self.previous_holder = record.holder
        self._write(record.fence + 1, self.last_seen.version)

    def _held_by_earlier_start(self, record: LeaseRecord) -> bool:
        """Return whether an earlier start of this process holds the lease by this record."""
        return self.reclaims and record.holder == self.holder

    def _defers_to_others(self, record: LeaseRecord | None) -> bool:
        """Return whether processes that hold fewer leases still come first for a free one.

        Without this, the entry that sees a free lease first takes all of them: one holder of every
        roll-out lease at the target scale would have links to all 1,100 agents.
        """
        if self.held_keys is None:
            return False
        if record is not None and record.session == self.session:
            return False
        if record is not None and self._held_by_earlier_start(record):
            return False
        free_ms = self.first_seen_ms
        if record is not None and record.session:
            free_ms += record.time_to_live_ms
        deferral_ms = min(MAX_DEFERRAL_MS, len(self.held_keys) * DEFERRAL_PER_LEASE_MS)
        if self.clock.now_ms() >= free_ms + deferral_ms:
            return False
        if self.polls_at_expiry():
            self.next_call_ms = min(self.next_call_ms, free_ms + deferral_ms)
        return True

    def _write(self, fence: int, expected_version: int | None) -> None:
        if self.state is LeaseState.RELEASED:
            return
        token = self._new_token()
        record = LeaseRecord(self.holder, self.session, token, fence, self.time_to_live_ms)
        started_ms = self.clock.now_ms()
        write_result = put_with_read_back(
            self.store, self.key, record.to_bytes(), expected_version, token
        )
        if isinstance(write_result, Success):
            self._set_held(write_result.unwrap(), fence, started_ms)
            return
        error = write_result.failure()
        self.log.warning("write not confirmed", lease=self.key, error=type(error).__name__)
        if isinstance(error, VersionConflict):
            self._observe(error.current)
        if isinstance(error, WriteAmbiguous):
            self.unconfirmed_writes[token] = started_ms

    def _observe(self, current: StoredObject | None) -> None:
        if current != self.last_seen:
            self.last_seen = current
            self.first_seen_ms = self.clock.now_ms()
        record = self._last_seen_record()
        if current is None or record is None:
            self._set_lost("the lease object is gone or malformed")
            return
        self.highest_fence = max(self.highest_fence, record.fence)
        if record.session != self.session:
            self.unconfirmed_writes.clear()
            self._set_lost("another process took over")
            return
        started_ms = self.unconfirmed_writes.get(record.token)
        if started_ms is not None:
            self._set_held(current, record.fence, started_ms)

    def _set_held(self, current: StoredObject, fence: int, started_ms: int) -> None:
        self.last_seen = current
        self.unconfirmed_writes.clear()
        if self.state is LeaseState.RELEASED:
            return
        self.fence = fence
        self.highest_fence = max(self.highest_fence, fence)
        self.held_until_ms = started_ms + self.time_to_live_ms - self.margin_ms
        self.next_call_ms = started_ms + self.time_to_live_ms // RENEWALS_PER_TIME_TO_LIVE
        if self.state is LeaseState.WAITING and self.held():
            self.chart.send("acquired")
            self._update_held_keys(True)
            self.log.info("acquired", lease=self.key, fence=fence)

    def _set_lost(self, reason: str) -> None:
        self.held_until_ms = None
        if self.state is not LeaseState.HELD:
            return
        self.chart.send("lost")
        self._update_held_keys(False)
        self.next_call_ms = self.clock.now_ms()
        self.log.warning("lost", lease=self.key, fence=self.fence, reason=reason)

    def _update_held_keys(self, held: bool) -> None:
        if self.held_keys is None:
            return
        if held:
            self.held_keys.add(self.key)
        else:
            self.held_keys.discard(self.key)

    def _last_seen_record(self) -> LeaseRecord | None:
        return None if self.last_seen is None else parse_lease(self.last_seen.value)

    def _schedule_next_call(self, duration_ms: int) -> None:
        # The random part keeps waiting processes from reading and writing at the same moment.
        spread_ms = self.rng.randrange(duration_ms // 4 + 1)
        self.next_call_ms = self.clock.now_ms() + duration_ms - spread_ms

    def _new_token(self) -> str:
        return f"{self.rng.getrandbits(64):016x}"
