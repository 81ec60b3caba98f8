"""A TCP forwarder whose open connections can go silent, or that holds traffic between regions."""

import contextlib

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from tests.support.deployment import HOST


class Forwarder:
    """Forward connections to ``target_port`` until they are silenced or cut.

    ``crosses`` tells by a client's port whether its connection crosses the link that ``cut`` cuts.
    """

    def __init__(self, target_port, crosses=lambda _client_port: False):
        self.target_port = target_port
        self.crosses = crosses
        self.silent = set()
        self.open = set()
        self.accepted = 0
        self.held = 0
        self.linked = Event()
        self.linked.set()
        self.closed_to_new = False
        self.server = StreamServer((HOST, 0), self._serve)
        self.server.start()
        self.port = self.server.server_port

    def refuse(self):
        """Refuse connections, as the host of a process that has ended does."""
        self.server.close()

    def accept(self):
        """Accept connections again."""
        self.server = StreamServer((HOST, self.port), self._serve)
        self.server.start()

    def silence_open(self):
        """Swallow everything on the connections that are open now, without closing them."""
        self.silent |= self.open

    def cut(self):
        """Hold what crosses, as a network does whose peers send again once it is mended."""
        self.linked.clear()

    def mend(self):
        self.linked.set()

    def _serve(self, near, address):
        if self.closed_to_new:
            near.close()
            return
        self.accepted += 1
        name = self.accepted
        self.open.add(name)
        linked = self.linked if self.crosses(address[1]) else None
        if linked:
            linked.wait()
        with contextlib.suppress(OSError):
            far = socket.create_connection((HOST, self.target_port))
            jobs = [
                gevent.spawn(self._pump, name, near, far, linked),
                gevent.spawn(self._pump, name, far, near, linked),
            ]
            gevent.joinall(jobs)
        self.open.discard(name)

    def _pump(self, name, source, sink, linked):
        data = b"first"
        while data:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            if linked and not linked.is_set():
                self.held += 1
                linked.wait()
            if name in self.silent:
                continue
            try:
                sink.sendall(data)
            except OSError:
                data = b""
        if name not in self.silent:
            # The peer's pump waits for data of this socket, which a plain close would not end.
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_RDWR)
            sink.close()
