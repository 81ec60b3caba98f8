"""In-memory connections between entries and agents, with faults injected into single frames."""

import gevent
from gevent.queue import Empty, Queue

from pistachionotch.wire import codec

LATENCY_MS = 1
LATE_MS = 700
SWAP_MS = 30
FAULTS = ("cut", "deliver and cut", "lose", "double", "late", "cross", "silence")
_CLOSED = object()


class Endpoint:
    """One side of a connection, with the socket methods that ``Session`` uses."""

    def __init__(self, connection):
        self.connection = connection
        self.peer = None
        self.incoming = Queue()
        self.on_data_frame = None
        self.closed = False
        self.last_ms = 0.0

    def close_socket(self):
        self.close_endpoint()

    def send(self, frame):
        if self.closed or not self.connection.open:
            raise OSError("connection is closed")
        self.connection.transmit(self, frame)

    def recv(self, timeout=None):
        try:
            frame = self.incoming.get(block=timeout != 0)
        except Empty:
            raise TimeoutError from None
        if frame is _CLOSED:
            raise OSError("connection is closed")
        return frame

    def close(self, reason=""):
        if self.connection.silent:
            gevent.sleep(10)
        self.close_endpoint()

    def close_endpoint(self):
        if self.closed:
            return
        self.closed = True
        self.incoming.put(_CLOSED)
        if not self.connection.silent:
            self.connection.deliver(self, _CLOSED, 0)

    def receive(self, frame):
        if self.closed or not self.connection.open:
            return
        if self.on_data_frame is None:
            self.incoming.put(frame)
        else:
            self.on_data_frame(frame)

    def lose_connection(self):
        self.closed = True
        self.incoming.put(_CLOSED)


class Connection:
    """A connection of two endpoints; while ``silent``, it loses all frames but stays open."""

    def __init__(self, network, entry, agent):
        self.network = network
        self.entry = entry
        self.agent = agent
        self.open = True
        self.silent = False
        self.ends = (Endpoint(self), Endpoint(self))
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
            # Frames that are sent within this time overtake it.
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
            end.close_endpoint()
        else:
            end.receive(frame)


class Network:
    """The open connections, and the faults that apply to the next frame of a given kind."""

    def __init__(self, loop):
        self.loop = loop
        self.connections = []
        self.pending_faults = []

    def connect(self, entry, agent):
        self.connections = [connection for connection in self.connections if connection.open]
        connection = Connection(self, entry, agent)
        self.connections.append(connection)
        return connection

    def cut(self, node):
        for connection in self.connections:
            if node in (connection.entry, connection.agent):
                connection.cut()

    def fault_for(self, kind):
        for pending in self.pending_faults:
            if pending[0] == kind:
                self.pending_faults.remove(pending)
                return pending[1]
        return None

    def heal(self):
        self.pending_faults.clear()
        for connection in self.connections:
            connection.silent = False
