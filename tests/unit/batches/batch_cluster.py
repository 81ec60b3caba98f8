"""Gateways with a shared object API whose requests to each other can fail, for tests of batches."""

import random

import structlog
from test_batch_log import head

from pistachionotch.batches.model import Owner, ResultPage
from pistachionotch.batches.owner import BatchOwner
from pistachionotch.batches.peers import NotOwner, PeerRequestFailed, PeerUnreachable
from pistachionotch.batches.records import read_state, state_bytes
from pistachionotch.batches.scoring import RewardCallRunner
from pistachionotch.batches.service import BatchService
from pistachionotch.clock import ManualClock
from pistachionotch.config.spec import Address
from pistachionotch.gateway.catalog import Catalog, ClientLimits, Route, RouteKind, ServiceShare
from pistachionotch.gateway.upstreams import UpstreamTable
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.software.origin import Origin
from pistachionotch.weights.demand import ModelDemands

ROUTE = Route(
    name="r",
    host="h",
    prefix="/p/",
    kind=RouteKind.BATCH,
    shares=(ServiceShare("s", 1),),
    timeout_ms=0,
    objective_ms=400,
    priority=0,
    max_attempts=3,
    due_ms=7_500,
    give_up_ms=40_000,
)

ORIGIN = Origin("s", "v1")
CATALOG = Catalog(1, (ROUTE,), {}, ClientLimits())


class FakePeers:
    """Peer client that calls other services directly; services can be unreachable or removed."""

    def __init__(self):
        self.services = {}
        self.unreachable = set()
        self.reachable_at_ms = None
        self.clock = None

    def at(self, address):
        return next((s for s in self.services.values() if s.local_owner.address == address), None)

    def owner_of(self, address, batch):
        peer = self.at(address)
        if peer is None or peer.local_owner.node in self.unreachable:
            return PeerUnreachable("no response", peer is None)
        found = peer.known_owner(batch)
        return NotOwner() if found is None else found

    def submit(self, address, head):
        peer = next((s for s in self.services.values() if s.local_owner.address == address), None)
        if peer is None:
            return PeerUnreachable("connect: refused", True)
        if peer.local_owner.node in self.unreachable:
            return PeerUnreachable("no response", False)
        accepted = peer.local_submit(head.submission)
        return NotOwner() if accepted is None else accepted

    def hand_off(self, address, state):
        peer = next((s for s in self.services.values() if s.local_owner.address == address), None)
        if peer is None or peer.local_owner.node in self.unreachable:
            return None
        return peer.local_accept_handoff(read_state(state_bytes(state)))

    def announce(self, address, batch, found):
        peer = self.at(address)
        if peer is None or peer.local_owner.node in self.unreachable:
            return False
        peer.learn_owner(batch, found)
        return True

    def send(self, peer, request):
        if self.reachable_at_ms is not None and self.clock.now_ms() >= self.reachable_at_ms:
            self.unreachable.clear()
        service = self.services.get(peer.node)
        if service is None:
            return PeerUnreachable("connect: refused", True)
        if peer.node in self.unreachable:
            return PeerUnreachable("no response", False)
        if service.local_owner != peer:
            return NotOwner()
        return request(service)

    def read(self, peer, batch, position, wait_ms):
        page = self.send(peer, lambda service: service.local_page(batch, position, 0))
        return NotOwner() if page is None else page

    def item_body(self, peer, batch, item):
        body = self.send(peer, lambda service: service.local_body(batch, item))
        return NotOwner() if body is None else body

    def end(self, peer, batch):
        ended = self.send(peer, lambda service: service.local_end(batch))
        if ended is None:
            return NotOwner()
        if isinstance(ended, bool):
            return None if ended else PeerRequestFailed("not stored")
        return ended


class ManualBatchOwner(BatchOwner):
    """Batch owner without tasks: the tests list the results themselves."""

    def add(self, run):
        self.runs[run.id] = run


class Cluster:
    """Batch services of several nodes with one object API, clock and peer client."""

    def __init__(self):
        self.store = MemoryStore()
        self.clock = ManualClock()
        self.peers = FakePeers()
        self.peers.clock = self.clock

    def start(self, node, incarnation="1"):
        me = Owner(
            node=node,
            incarnation=f"{node}-{incarnation}",
            address=Address(f"10.0.0.{ord(node)}", 80),
        )
        log = structlog.get_logger()
        batches = ManualBatchOwner(
            self.clock,
            random.Random(me.incarnation),
            me,
            "r",
            {},
            UpstreamTable(),
            None,
            RewardCallRunner(self.clock, UpstreamTable(), None, lambda: CATALOG, log),
            lambda: CATALOG,
            log,
        )
        service = BatchService(
            self.clock,
            random.Random(me.incarnation),
            me,
            self.store,
            1_000_000,
            batches,
            self.peers,
            ModelDemands(self.store, log),
            list,
            log,
        )
        self.peers.services[node] = service
        return service


def submission():
    return head().submission


def finish(service, name):
    run = service.owner.runs["b1"]
    run.progress[name].add_event(1, "t", 3, ORIGIN)
    run.finish(run.progress[name], True, 0)
    assert service.owner.writer.list_once(run)


def item_ids(page):
    assert isinstance(page, ResultPage), page
    return [result.id for result in page.results]
