"""A TCP forwarder whose open connections can go silent or be delayed while new ones work."""

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from tests.support.deployment import HOST


class Forwarder:
    """Forward connections to ``target_port`` until they are silenced."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.silent = set()
        self.open = set()
        self.accepted = 0
        self.closed_to_new = False
        self.passing = Event()
        self.passing.set()
        self.server = StreamServer((HOST, 0), self._serve)
        self.server.start()

    @property
    def port(self):
        return self.server.server_port

    def silence_open(self):
        """Swallow everything on the connections that are open now, without closing them."""
        self.silent |= self.open

    def _serve(self, near, _address):
        if self.closed_to_new:
            near.close()
            return
        self.accepted += 1
        name = self.accepted
        self.open.add(name)
        try:
            far = socket.create_connection((HOST, self.target_port))
        except OSError:
            return
        jobs = [
            gevent.spawn(self._pump, name, near, far),
            gevent.spawn(self._pump, name, far, near),
        ]
        gevent.joinall(jobs)

    def _pump(self, name, source, sink):
        while True:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            self.passing.wait()
            if name in self.silent:
                if not data:
                    return
                continue
            if not data:
                sink.close()
                return
            sink.sendall(data)
