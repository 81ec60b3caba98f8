"""Guards against a process that libev aborts: a socket is closed while its watch still waits.

Each case brings the order of events about in a process of its own: a watch begins, its socket is
closed in the same round of the event loop, and what was only queued to end the watch runs in the
next round.
"""

import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

# The loop looks at the time after this many callbacks, and then ends its round if it is over.
CALLBACKS_PER_TIME_CHECK = 50
REPETITIONS = 3
TIMEOUT_S = 30
BATCH_READ = b"GET /api/lots/b?after=0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
CALL = b"GET /p/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


def use_up_round():
    """Make callbacks that are queued from now on run in the loop's next round."""
    import gevent

    loop = gevent.get_hub().loop
    for _ in range(2 * CALLBACKS_PER_TIME_CHECK):
        loop.run_callback(int)
    end = time.monotonic() + 4 * sys.getswitchinterval()
    while time.monotonic() < end:
        continue


class Gateway:
    """A client port whose requests end in a round that is already used up."""

    def __init__(self):
        import structlog
        from test_ingress import CATALOG

        from pistachionotch.clock import SystemClock
        from pistachionotch.platform.ingress import IngressApp
        from pistachionotch.server import make_server

        self.drop = lambda: None
        self.app = IngressApp(
            SystemClock(),
            lambda: CATALOG,
            self,
            self,
            lambda: False,
            lambda: False,
            structlog.get_logger(),
        )
        self.server = make_server("127.0.0.1", 0, self.app)
        self.server.start()

    @property
    def open(self):
        return len(self.server.open_connections())

    def read(self, _batch, _position, _wait_ms):
        import gevent

        from pistachionotch.batches.model import BatchError, BatchErrorKind

        # The watch of the socket begins at the latest while the request waits.
        gevent.sleep(0)
        use_up_round()
        self.drop()
        return BatchError(BatchErrorKind.UNAVAILABLE, "not certain now", 0)

    def forward(self, _call, _route):
        from pistachionotch.gateway.responses import StreamingResponse

        return StreamingResponse(200, (), self.parts())

    def parts(self):
        import gevent

        gevent.sleep(0)
        use_up_round()
        self.drop()
        yield b"data: 1\n\n"

    def exchange(self, request):
        """Send a request and return all that comes back until the connection is closed."""
        from gevent import socket as gevent_socket

        with gevent_socket.create_connection(("127.0.0.1", self.server.server_port), 3) as sock:
            sock.sendall(request)
            received = b""
            try:
                while part := sock.recv(65_536):
                    received += part
            except ConnectionResetError:
                received += b"(reset)"
            return received


def answered():
    return Gateway().exchange(BATCH_READ).startswith(b"HTTP/1.1 503 ")


def stream_ended():
    return b"data: 1" in Gateway().exchange(CALL)


def drained():
    gateway = Gateway()
    gateway.drop = lambda: gateway.server.stop(timeout=0)
    gateway.exchange(BATCH_READ)
    return True


def cut_off_at_the_end_of_a_drain():
    import gevent

    gateway = Gateway()

    def cut_off():
        gateway.app.cut_off()
        gevent.sleep(0)

    gateway.drop = cut_off
    return gateway.exchange(BATCH_READ).startswith(b"HTTP/1.1 502 ")


def timed_out():
    gateway = Gateway()

    def time_out():
        raise TimeoutError("the client is too slow")

    gateway.drop = time_out
    gateway.exchange(BATCH_READ)
    return True


def closed_for_room():
    gateway = Gateway()

    def close():
        for connection in list(gateway.server.records.values()):
            connection.shut()

    gateway.drop = close
    gateway.exchange(CALL)
    return True


def left_by_the_client():
    import gevent
    from gevent import socket as gevent_socket

    gateway = Gateway()
    sock = gevent_socket.create_connection(("127.0.0.1", gateway.server.server_port), 3)
    gateway.drop = lambda: (sock.close(), gevent.sleep(0.05), use_up_round())
    sock.sendall(BATCH_READ)
    gevent.sleep(0.2)
    return gateway.open == 0


def upstream_connection_closed():
    """Another task closes a connection on which a task waits that was killed without waiting."""
    import gevent
    from gevent.server import StreamServer

    from pistachionotch.config.spec import Address
    from pistachionotch.http_client import Connection, ExchangeError

    server = StreamServer(("127.0.0.1", 0), lambda sock, _address: sock.recv(1) and gevent.sleep(1))
    server.start()
    connection = Connection(Address("127.0.0.1", server.server_port))
    connection.open(1_000)

    def wait():
        try:
            connection.send("GET", "/", [], b"", 1_000)
            connection.read_head(5_000)
        except ExchangeError as error:
            return error
        return None

    task = gevent.spawn(wait)
    gevent.sleep(0)
    use_up_round()
    task.kill(block=False)
    connection.close()
    task.join(timeout=2)
    return task.dead


CASES = (
    answered,
    stream_ended,
    drained,
    cut_off_at_the_end_of_a_drain,
    timed_out,
    closed_for_room,
    left_by_the_client,
    upstream_connection_closed,
)


@pytest.mark.parametrize("case", [case.__name__ for case in CASES])
def test_no_abort_if_a_socket_is_closed_in_the_round_in_which_its_watch_began(case):
    # Gateways ended by SIGABRT while clients read batches in an outage; a single abort fails this.
    ended = subprocess.run(
        [sys.executable, __file__, case], capture_output=True, text=True, timeout=TIMEOUT_S
    )
    assert ended.returncode == 0, ended.stderr[-2000:]
    outcomes = [line for line in ended.stdout.splitlines() if line.startswith(case)]
    assert outcomes == [f"{case} True"] * REPETITIONS


def test_a_client_that_leaves_ends_the_work_on_its_request_at_once():
    import gevent

    gateway = Gateway()
    started = gevent.event.Event()
    ended = gevent.event.Event()

    def work(_call, _route):
        started.set()
        try:
            gevent.sleep(30)
        finally:
            ended.set()

    gateway.forward = work
    with socket.create_connection(("127.0.0.1", gateway.server.server_port), 3) as sock:
        sock.sendall(CALL)
        assert started.wait(3)
    assert ended.wait(1)
    gevent.sleep(0.05)
    assert gateway.open == 0
    gateway.server.stop(timeout=0)


if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).parent))
    from gevent import monkey

    monkey.patch_all()
    chosen = next(case for case in CASES if case.__name__ == sys.argv[1])
    for _ in range(REPETITIONS):
        print(chosen.__name__, bool(chosen()), flush=True)
