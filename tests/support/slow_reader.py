"""A client that reads one answer slowly."""

import socket
import time

import gevent

PART_BYTES = 10_000
# Small, so that the rest of an answer stays with its sender.
RECEIVE_BUFFER_BYTES = 16 * 1024


class SlowReader:
    """Sends a request and reads the answer at a pace in bytes a second; 0 reads nothing."""

    def __init__(self, address, request, pace, timeout_s=16.0):
        self.pace = pace
        self.received = b""
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.connect((address.host, address.port))
        self.sock.settimeout(timeout_s)
        self.sock.sendall(request)
        self.task = gevent.spawn(self._read) if pace else None

    def _read(self):
        began = time.monotonic()
        while not self.is_whole():
            try:
                part = self.sock.recv(PART_BYTES)
            except OSError:
                return
            if not part:
                return
            self.received += part
            gevent.sleep(max(0.0, began + len(self.received) / self.pace - time.monotonic()))

    @property
    def body_bytes(self):
        return len(self.received.partition(b"\r\n\r\n")[2])

    def is_whole(self):
        """Return whether the answer has come to its end, which its framing tells."""
        head, separator, body = self.received.partition(b"\r\n\r\n")
        if not separator:
            return False
        if b"transfer-encoding: chunked" in head.lower():
            return body.endswith(b"0\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return len(body) >= int(line.partition(b":")[2])
        return False
