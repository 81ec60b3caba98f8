"""A lease as one process sees it: it acquires, renews, loses and releases the lease.

Two processes never hold a lease at once, for these reasons. The holder counts the time to live from
before it sent its write, less a margin. Another process writes only on condition of the version
that it has seen, and only after that version has stayed unchanged for the whole time to live,
counted from after the read that first returned it. Both measure durations with their own monotonic
clocks, whose rates may differ by less than the margin.

A holder that is paused between checking ``held`` and acting may still act too late. This is covered
by the fencing token ``fence``, which is checked where orders are executed. Work must therefore
carry the ``fence`` that was read when the work began.
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

# The margin covers clock rates that differ by up to a tenth; the clocks of VMs differ by far less.
MARGIN_SHARE = 10
# Two renewals in a row may fail before the lease expires.
RENEWALS_PER_TIME_TO_LIVE = 3
# Read rate of a waiting process, which bounds the delay of a takeover after a release.
READS_PER_TIME_TO_LIVE = 3
# For each lease that a process holds, it waits this long before it takes a free one, so that
# processes that hold fewer leases come first.
DEFERRAL_PER_LEASE_MS = 500
MAX_DEFERRAL_MS = 2_000


class LeaseState(enum.StrEnum):
    """States of the statechart ``charts/lease.json``."""

    WAITING = "waiting"
    HELD = "held"
    RELEASED = "released"


class Lease:
    """The lease of one duty and shard; once released, it is not acquired again.

    ``step`` and ``release`` call the store and may block; ``held`` may be called meanwhile.
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
        # Used for reads while this process waits and has no write of unknown outcome.
        self.list_cache = list_cache
        # Keys of the leases that this process holds; their number determines how long it defers to
        # other processes before it takes a free lease. Without them, it takes a free lease at once.
        self.held_keys = (
            list_cache.held_keys if held_keys is None and list_cache is not None else held_keys
        )
        # Whether two processes with this holder's name never run at once. If so, a lease held by an
        # earlier start of this process is taken at once, before it expires.
        self.reclaims = reclaims
        # Minimum time between two reads of a waiting process; it bounds the total read rate of many
        # processes.
        self.min_poll_ms = min_poll_ms
        # Whether this process, while it waits, reads again as soon as the lease may have expired.
        # Others notice the expiry at their next regular read.
        self.polls_at_expiry = polls_at_expiry
        # The previous holder of the lease; empty if unknown.
        self.previous_holder = ""
        # Whether this holder may act, and whether the previous one could when it last wrote. The
        # lowest bit of a write's token tells it: the record has no field for it, and processes of
        # earlier versions could not read a record with another one.
        self.settled = False
        self.previous_settled = False
        self.clock = clock
        self.key = f"{prefix}/{duty}/{shard}"
        self.holder = holder
        # Does not repeat the holder's name, to keep the record short: every waiting entry lists all
        # leases.
        self.session = f"{rng.getrandbits(64):016x}"
        self.time_to_live_ms = time_to_live_ms
        self.margin_ms = max(1, time_to_live_ms // MARGIN_SHARE)
        self.rng = rng
        self.chart = ChartRunner("lease")
        self.log = logger("lease")
        # The fence under which this process last held the lease; never that of another holder.
        self.fence = 0
        self.highest_fence = 0
        # Lowest fence of the next write, if fences of a deleted lease are known otherwise.
        self.min_fence = 0
        self.held_until_ms: int | None = None
        # Start of the last write that is known to have acquired or renewed the lease.
        self.renewed_ms: int | None = None
        self.last_seen: StoredObject | None = None
        # With the argument ``held_keys``, a lease that was never held counts as free from now on,
        # so this process may defer to others. Without it, such a lease counts as free long since,
        # so that the duties of a new deployment start at once.
        self.first_seen_ms = 0 if held_keys is None else clock.now_ms()
        self.next_call_ms = clock.now_ms()
        # Start times of writes with an unknown outcome, by token.
        self.unconfirmed_writes: dict[str, int] = {}

    @property
    def state(self) -> LeaseState:
        """Return the state as of the last ``step`` or ``release``."""
        return LeaseState(self.chart.state)

    def held(self) -> bool:
        """Return whether this process may act as the holder now."""
        return self.held_until_ms is not None and self.clock.now_ms() < self.held_until_ms

    def step(self) -> LeaseState:
        """Acquire, renew or wait, whichever is due; to be called about once a second."""
        if self.state is LeaseState.RELEASED:
            return self.state
        if self.state is LeaseState.HELD and not self.held():
            self._set_lost("the time to live ran out")
        if self.clock.now_ms() < self.next_call_ms:
            return self.state
        if self.state is LeaseState.HELD and not self.unconfirmed_writes:
            # If the object was deleted or replaced, this write fails with a version conflict.
            self._write(self.fence, self.last_seen.version if self.last_seen is not None else None)
        else:
            self._read()
        return self.state

    def renew_soon(self) -> None:
        """Let the next ``step`` call the store, even if that is not due yet."""
        self.next_call_ms = min(self.next_call_ms, self.clock.now_ms())

    def release(self) -> None:
        """Stop holding at once, and free the lease so that others needn't wait for its expiry."""
        if self.state is LeaseState.RELEASED:
            return
        self.held_until_ms = None
        self.chart.send("released")
        self._update_held_keys(False)
        record = self._last_seen_record()
        if self.last_seen is None or record is None or record.session != self.session:
            return
        # If this write is lost, other processes wait until the lease expires.
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
            # A deleted object is created again, with a fence above all fences seen. Who held it
            # last is not known.
            self.previous_holder = ""
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
        self.previous_settled = _is_settled(record.token)
        self._write(record.fence + 1, self.last_seen.version)

    def _held_by_earlier_start(self, record: LeaseRecord) -> bool:
        """Return whether the record names an earlier start of this process as the holder."""
        return self.reclaims and record.holder == self.holder

    def _defers_to_others(self, record: LeaseRecord | None) -> bool:
        """Return whether processes that hold fewer leases still have precedence.

        Otherwise, the entry that first sees the free leases takes all of them. At the target scale,
        an entry that holds all roll-out leases would have links to all 1,100 agents.
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
        fence = max(fence, self.min_fence)
        # Under a new fence this process has to wait again.
        token = self._new_token(self.settled and fence == self.fence)
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
        self.renewed_ms = started_ms
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
        # The jitter keeps waiting processes from reading and writing at the same moment.
        spread_ms = self.rng.randrange(duration_ms // 4 + 1)
        self.next_call_ms = self.clock.now_ms() + duration_ms - spread_ms

    def _new_token(self, settled: bool = False) -> str:
        return f"{self.rng.getrandbits(64) & ~1 | settled:016x}"


def _is_settled(token: str) -> bool:
    """Return whether the writer of a record could act; a token that is no number says nothing."""
    try:
        return bool(int(token, 16) & 1)
    except ValueError:
        return False
