"""Connections between entries and agents, in memory and with faults of single frames."""

import gevent
from gevent.queue import Empty, Queue

from pistachionotch.wire import codec

LATENCY_MS = 1
LATE_MS = 700
SWAP_MS = 30
FAULTS = ("cut", "deliver and cut", "lose", "double", "late", "cross", "silence")
_CLOSED = object()


class End:
    """Offer one side of a connection as ``Session`` uses it."""

    def __init__(self, wire):
        self.wire = wire
        self.peer = None
        self.incoming = Queue()
        self.deliver = None
        self.closed = False
        self.last_ms = 0.0

    def close_socket(self):
        self.shut()

    def send(self, frame):
        if self.closed or not self.wire.open:
            raise OSError("connection is closed")
        self.wire.transmit(self, frame)

    def recv(self, timeout=None):
        try:
            frame = self.incoming.get(block=timeout != 0)
        except Empty:
            raise TimeoutError from None
        if frame is _CLOSED:
            raise OSError("connection is closed")
        return frame

    def close(self, reason=""):
        if self.wire.silent:
            gevent.sleep(10)
        self.shut()

    def shut(self):
        if self.closed:
            return
        self.closed = True
        self.incoming.put(_CLOSED)
        if not self.wire.silent:
            self.wire.deliver(self, _CLOSED, 0)

    def receive(self, frame):
        if self.closed or not self.wire.open:
            return
        if self.deliver is None:
            self.incoming.put(frame)
        else:
            self.deliver(frame)

    def lose_connection(self):
        self.closed = True
        self.incoming.put(_CLOSED)


class Wire:
    """Connect two ends; ``silent`` loses every frame without closing."""

    def __init__(self, network, entry, agent):
        self.network = network
        self.entry = entry
        self.agent = agent
        self.open = True
        self.silent = False
        self.ends = (End(self), End(self))
        self.ends[0].peer, self.ends[1].peer = self.ends[1], self.ends[0]

    def cut(self):
        if not self.open:
            return
        self.open = False
        for end in self.ends:
            end.lose_connection()

    def transmit(self, sender, frame):
        fault = self.network.fault_for(type(codec.decode(frame)).__name__)
        if fault == "silence":
            self.silent = True
        if self.silent or fault == "lose":
            return
        if fault == "cut":
            self.cut()
            return
        if fault == "cross":
            # The frames that follow within this time overtake it.
            self.network.loop.schedule(SWAP_MS, sender.peer.receive, frame)
            return
        self.deliver(sender, frame, LATE_MS if fault == "late" else 0)
        if fault == "double":
            self.deliver(sender, frame, 0)
        if fault == "deliver and cut":
            self.network.loop.schedule(LATENCY_MS + 1, self.cut)

    def deliver(self, sender, frame, extra_ms):
        due_ms = max(sender.last_ms, self.network.loop.now + LATENCY_MS + extra_ms)
        sender.last_ms = due_ms
        self.network.loop.schedule(due_ms - self.network.loop.now, self._arrive, sender.peer, frame)

    def _arrive(self, end, frame):
        if frame is _CLOSED:
            end.shut()
        else:
            end.receive(frame)


class Network:
    """Hold the open connections and the faults that wait for a frame of their kind."""

    def __init__(self, loop):
        self.loop = loop
        self.wires = []
        self.armed = []

    def connect(self, entry, agent):
        self.wires = [wire for wire in self.wires if wire.open]
        wire = Wire(self, entry, agent)
        self.wires.append(wire)
        return wire

    def cut(self, node):
        for wire in self.wires:
            if node in (wire.entry, wire.agent):
                wire.cut()

    def fault_for(self, kind):
        for armed in self.armed:
            if armed[0] == kind:
                self.armed.remove(armed)
                return armed[1]
        return None

    def heal(self):
        self.armed.clear()
        for wire in self.wires:
            wire.silent = False
