"""Gateways that are lost at a chosen write, read or message, for tests of take-overs."""

import attrs
import gevent
from batch_cluster import Cluster
from returns.result import Failure

from pistachionotch.batches.peers import PeerUnreachable
from pistachionotch.objects.api import StoreUnavailable

# A peer that is cut off or frozen costs its caller this time, as ``batches/peers.py`` limits it.
SILENCE_MS = 700


class Lost(gevent.GreenletExit):
    """The process that would go on has been killed."""


@attrs.define
class Losses:
    """Counts the operations of the processes and kills one of them at one of its operations.

    A store call or a message is two operations: the process can be lost before it takes effect, and
    after that but before its answer.
    """

    peers: object
    node: str = ""
    # Number of operations of the armed process that remain until it is killed; None if never.
    left: int | None = None
    dead: set = attrs.field(factory=set)

    def arm(self, node, operation):
        self.node, self.left = node, operation

    def operation(self, node):
        if node in self.dead:
            raise Lost(node)
        if node != self.node or self.left is None:
            return
        self.left -= 1
        if self.left < 0:
            self.kill(node)
            raise Lost(node)

    def kill(self, node):
        self.left = None
        self.dead.add(node)
        self.peers.services.pop(node, None)


@attrs.define
class NodeStore:
    """The object API as one process reaches it."""

    store: object
    losses: Losses
    node: str
    cut: set

    def call(self, name, *arguments):
        self.losses.operation(self.node)
        if self.node in self.cut:
            return Failure(StoreUnavailable("no connection"))
        result = getattr(self.store, name)(*arguments)
        self.losses.operation(self.node)
        return result

    def get(self, key):
        return self.call("get", key)

    def put(self, key, value, expected_version):
        return self.call("put", key, value, expected_version)


@attrs.define
class NodePeers:
    """The other processes as one process reaches them."""

    peers: object
    losses: Losses
    node: str
    clock: object
    # Pairs of processes that do not reach each other.
    cuts: set
    messages: list

    def __getattr__(self, name):
        def message(to, *arguments):
            self.messages.append((self.node, name))
            self.losses.operation(self.node)
            receiver = self.receiver(to)
            if frozenset({self.node, receiver}) in self.cuts:
                self.clock.advance(SILENCE_MS)
                return self.failure(name)
            if receiver in self.peers.unreachable:
                self.clock.advance(SILENCE_MS)
            try:
                answer = getattr(self.peers, name)(to, *arguments)
            except Lost:
                self.losses.operation(self.node)
                return self.failure(name)
            except StopIteration:
                return self.failure(name)
            self.losses.operation(self.node)
            return answer

        return message

    def receiver(self, to):
        address = getattr(to, "address", to)
        return chr(int(address.host.rpartition(".")[2]))

    def failure(self, name):
        if name in ("announce", "hand_off"):
            return None
        return PeerUnreachable("no response", False)


class LosingCluster(Cluster):
    """Gateways of which ``d`` and ``e`` keep the directory of owners."""

    directory = ("d", "e")

    def __init__(self):
        super().__init__()
        self.losses = Losses(self.peers)
        self.cuts = set()
        # Processes that do not reach the object API.
        self.cut_from_store = set()
        self.messages = []

    def start(self, node, incarnation="1"):
        service = super().start(node, incarnation)
        store = NodeStore(self.store, self.losses, node, self.cut_from_store)
        peers = NodePeers(self.peers, self.losses, node, self.clock, self.cuts, self.messages)
        for part in (service, service.ownership_transfer):
            part.store, part.peers = store, peers
        service.owner_cache.peers = peers
        service.owner_cache.directory_gateways = self.directory_addresses
        self.losses.dead.discard(node)
        return service

    def directory_addresses(self):
        """Return the addresses of the directory, also of a process that was just lost."""
        return [self.address(node) for node in self.directory]

    def address(self, node):
        return attrs.evolve(self.some_address, host=f"10.0.0.{ord(node)}")

    @property
    def some_address(self):
        return next(iter(self.peers.services.values())).local_owner.address

    def ask(self, node, request):
        """Return the answer of a gateway, None if it was lost before it had answered."""
        service = self.peers.services.get(node)
        if service is None:
            return None
        answer = None
        task = gevent.spawn(request, service)
        task.join()
        if node not in self.losses.dead:
            answer = task.get()
        # Notifications of the directory are tasks of their own.
        gevent.sleep(0)
        return answer
