"""Calls of the object API that leases, duties, claims and steps make, counted by the stand-in."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

import gevent
from geventhttpclient import HTTPClient

from ...clock import SystemClock
from ...config.revisions import Revisions
from ...entry.claims import read_epoch, revoke_key
from ...entry.control import ControlWatch
from ...entry.duties import DirectoryDuty
from ...entry.links import AgentLink
from ...entry.policy import PolicyView
from ...entry.rollouts import RolloutDuty
from ...entry.table import LinkTable
from ...idempotency.claim import StoredResult
from ...idempotency.manager import ClaimManager
from ...lease.lease import Lease
from ...lease.list_cache import LeaseListCache
from ...logs import logger
from ...membership.directory import Directory, Member
from ...membership.registration import Registration
from ...objects.client import HttpObjectStore
from ...routing.candidates import Location
from ...standins.object_store import ObjectStoreApp, serve
from ...weights.publish import DesiredVersion, publish
from .fit import Slope
from .sizes import members

HOST = "127.0.0.1"
WINDOW_S = 12.0
# Two waits of the control watch, so that each waiting call is counted about twice.
WATCH_WINDOW_S = 60.0
SETTLE_S = 2.0
TIME_TO_LIVE_MS = 6000
KINDS = ("get", "list", "put", "delete", "watch")
KEY = b"a-key-for-slopes-only-0123456789"


class NoVms:
    """Stand for a VM list that cannot be read."""

    def read(self) -> None:
        """Return nothing."""


class CountedStore:
    """Run the object API stand-in and read its counters over HTTP."""

    def __init__(self) -> None:
        self.app = ObjectStoreApp()
        self.server = serve(self.app)
        self.clock = SystemClock()
        self.rng = random.Random(1)

    def client(self) -> HttpObjectStore:
        """Return a client as a process of its own would have."""
        return HttpObjectStore(HOST, self.server.server_port)

    def counters(self) -> dict[str, int]:
        """Return the calls so far, by kind."""
        client = HTTPClient(HOST, self.server.server_port, concurrency=1)
        try:
            found: dict[str, int] = json.loads(client.get("/counters").read())
            return found
        finally:
            client.close()

    def answer_bytes(self, path: str) -> int:
        """Return the size of the body that a path answers with."""
        client = HTTPClient(HOST, self.server.server_port, concurrency=1)
        try:
            return len(client.get(path).read())
        finally:
            client.close()

    def calls_of(self, action: Callable[[], Any]) -> dict[str, int]:
        """Return the calls that an action makes, by kind."""
        before = self.counters()
        action()
        after = self.counters()
        return {kind: after.get(kind, 0) - before.get(kind, 0) for kind in KINDS}

    def rates(self, window_s: float) -> dict[str, float]:
        """Return the calls per second of what is running, by kind."""
        counted = self.calls_of(lambda: gevent.sleep(window_s))
        return {kind: count / window_s for kind, count in counted.items()}

    def stop(self) -> None:
        """Stop the stand-in."""
        self.server.stop(timeout=0.1)


def _slopes(title: str, x: str, unit: str) -> dict[str, Slope]:
    return {kind: Slope(f"{title}, {kind}", x, unit) for kind in KINDS}


def _add(slopes: dict[str, Slope], x: float, counts: dict[str, Any]) -> None:
    for kind in KINDS:
        slopes[kind].add(x, counts[kind])


def _used(slopes: dict[str, Slope]) -> list[Slope]:
    return [slope for slope in slopes.values() if any(y for _x, y in slope.points)]


def _over(
    title: str,
    x: str,
    points: tuple[int, ...],
    start: Callable[[CountedStore, int], list[Any]],
    window_s: float = WINDOW_S,
) -> list[Slope]:
    """Measure the rates of calls while ``start`` has a number of tasks running."""
    slopes = _slopes(title, x, "calls/s")
    for count in points:
        counted = CountedStore()
        tasks = start(counted, count)
        gevent.sleep(SETTLE_S)
        _add(slopes, count, counted.rates(window_s))
        gevent.killall(tasks)
        counted.stop()
    return _used(slopes)


def measure_leases() -> list[Slope]:
    """Measure leases by the entries that contend for them, and by the number of leases."""
    by_entries = _over(
        "9 leases",
        "contending entry",
        (1, 4, 8, 16),
        lambda counted, entries: _start_contenders(counted, entries, 9),
    )
    by_leases = _over(
        "8 entries",
        "contended lease",
        (1, 4, 9, 18),
        lambda counted, leases: _start_contenders(counted, 8, leases),
    )
    return by_entries + by_leases


def _start_contenders(counted: CountedStore, entries: int, leases: int) -> list[Any]:
    def contend(lease: Lease) -> None:
        while True:
            lease.step()
            gevent.sleep(1.0)

    tasks = []
    for entry in range(entries):
        store = counted.client()
        list_cache = LeaseListCache(store, counted.clock)
        for number in range(leases):
            lease = Lease(
                store,
                counted.clock,
                "directory",
                f"zone-{number}",
                f"entry-{entry}",
                TIME_TO_LIVE_MS,
                random.Random(f"{entry}/{number}"),
                list_cache,
            )
            tasks.append(gevent.spawn(contend, lease))
    return tasks


def measure_directory() -> list[Slope]:
    """Measure the holders of the directory duties of several zones, without contenders."""
    return _over("directory duty", "held zone", (1, 3, 9), _start_directories)


def _start_directories(counted: CountedStore, zones: int) -> list[Any]:
    tasks = []
    for number in range(zones):
        store = counted.client()
        zone = f"zone-{number}"
        lease = Lease(
            store, counted.clock, "directory", zone, "entry-1", TIME_TO_LIVE_MS, counted.rng
        )
        duty = DirectoryDuty(zone, store, NoVms(), lease, counted.clock, logger("directory"))
        tasks.append(gevent.spawn(duty.run))
    return tasks


def measure_rollouts() -> list[Slope]:
    """Measure the holders of roll-out duties whose engines all serve the desired version."""
    return _over("roll-out duty", "held model and zone", (1, 3, 9), _start_rollouts)


def _start_rollouts(counted: CountedStore, count: int) -> list[Any]:
    policy = PolicyView(Revisions())
    table = LinkTable(Location("entry-1", "cebu", "visayas"), Directory(), _no_link, policy)
    tasks = []
    for number in range(count):
        store, zone = counted.client(), f"zone-{number}"
        publish(store, DesiredVersion("fitting", 1, "weights-1"), counted.rng)
        lease = Lease(
            store, counted.clock, "weights", zone, "entry-1", TIME_TO_LIVE_MS, counted.rng
        )
        duty = RolloutDuty(
            "fitting",
            zone,
            store,
            counted.clock,
            table,
            lambda: policy.rollout_limits("fitting"),
            lease,
            logger("rollout"),
        )
        tasks.append(gevent.spawn(duty.run))
    return tasks


def _no_link(member: Member) -> AgentLink:
    raise AssertionError(f"no agent is registered, yet a link to {member.node} is wanted")


def measure_watches() -> list[Slope]:
    """Measure the waiting calls of entries over twice the wait of one call."""
    return _over("control watch", "entry", (4, 8, 16), _start_watches, WATCH_WINDOW_S)


def _start_watches(counted: CountedStore, entries: int) -> list[Any]:
    def ignore() -> None:
        return

    tasks = []
    for _number in range(entries):
        watch = ControlWatch(
            counted.client(),
            counted.clock,
            Revisions(),
            Directory(),
            ignore,
            ignore,
            logger("control"),
        )
        tasks.append(gevent.spawn(watch.run))
    return tasks


def measure_registrations() -> list[Slope]:
    """Measure the calls of agents that start."""
    slopes = _slopes("registration", "agent started", "calls")
    listed = Slope("list of all registrations", "agent", "bytes")
    watched = Slope("watch of all registrations, nothing changed", "agent", "bytes")
    for count in (5, 10, 20):
        counted = CountedStore()
        store = counted.client()

        def register(store: HttpObjectStore = store, count: int = count) -> None:
            for member in members(count):
                Registration(store, member, SystemClock(), logger("agent")).ensure_registered()

        _add(slopes, count, counted.calls_of(register))
        listed.add(count, counted.answer_bytes("/objects?prefix=members/"))
        since = counted.app.store.revision
        watched.add(count, counted.answer_bytes(f"/watch?prefix=members/&since={since}"))
        counted.stop()
    return [*_used(slopes), listed, watched]


def measure_claims() -> list[Slope]:
    """Measure the calls per non-idempotent request with a caller's key, and per refusal of one."""
    slopes = _slopes("claim", "request with a caller's key", "calls")
    refusals = _slopes("refusal", "refused request with a caller's key", "calls")
    for count in (10, 20, 40):
        counted = CountedStore()
        store = counted.client()
        claim_manager = ClaimManager(
            store, counted.clock, "agent-1", "1" * 12, KEY, 86_400_000, counted.rng
        )

        def run(
            store: HttpObjectStore = store,
            claim_manager: ClaimManager = claim_manager,
            count: int = count,
        ) -> None:
            for key in (f"key-{number}" for number in range(count)):
                epoch = read_epoch(store, "orders", key)
                assert epoch is not None
                claim_manager.begin("orders", key, epoch)
                claim_manager.mark_sending("orders", key)
                claim_manager.record_response("orders", key, StoredResult(201, (), b"{}"))
                claim_manager.maintain()

        def refuse(store: HttpObjectStore = store, count: int = count) -> None:
            for number in range(count):
                read_epoch(store, "orders", f"refused-{number}")
                revoke_key(store, "orders", f"refused-{number}", f"token-{number}")

        _add(slopes, count, counted.calls_of(run))
        _add(refusals, count, counted.calls_of(refuse))
        counted.stop()
    return [*_used(slopes), *_used(refusals)]
