"""Guards against a server stop that leaves watchers behind and an accept failure that ends it."""

import errno
import gc
import os

import gevent
from gevent.libev.corecext import io
from gevent.queue import Queue
from test_session import HOST, _make_identity, _open_session

from pistachionotch.clock import SystemClock
from pistachionotch.logs import logger
from pistachionotch.wire.messages import Leaving
from pistachionotch.wire.session import make_server


def stale_watchers():
    """Return the active watchers on closed file descriptors."""
    stale = []
    for watcher in gc.get_objects():
        if type(watcher) is not io or not watcher.active:
            continue
        try:
            os.fstat(watcher.fd)
        except OSError:
            stale.append(watcher)
    return stale


def test_a_stopped_server_leaves_no_watcher_on_a_closed_descriptor():
    # libev aborts the process when a later socket reuses the descriptor and changes its events.
    before = stale_watchers()
    server = make_server(
        HOST, 0, _make_identity("agent"), SystemClock(), Queue(), 50, logger("wire")
    )
    server_greenlet = gevent.spawn(server.serve_forever)
    session = _open_session(server.socket.getsockname()[1], Queue())
    gevent.sleep(0.2)
    session.close("done")
    server.shutdown()
    server_greenlet.join(timeout=2)
    gevent.sleep(0.1)
    assert [watcher for watcher in stale_watchers() if watcher not in before] == []


def test_a_failed_accept_does_not_end_the_server():
    # For example because the process is temporarily out of file descriptors.
    inbox = Queue()
    server = make_server(HOST, 0, _make_identity("agent"), SystemClock(), inbox, 50, logger("wire"))
    failures = []

    class AcceptFailsOnce:
        def __init__(self, sock):
            self.sock = sock

        def __getattr__(self, name):
            return getattr(self.sock, name)

        def accept(self):
            if not failures:
                failures.append(1)
                raise OSError(errno.EMFILE, "too many open files")
            return self.sock.accept()

    server.socket = AcceptFailsOnce(server.socket)
    server_greenlet = gevent.spawn(server.serve_forever)
    session = _open_session(server.socket.getsockname()[1], Queue())
    session.send(Leaving("x"))
    assert inbox.get(timeout=2)[1] == Leaving("x")
    assert failures and not server_greenlet.dead
    session.close("done")
    server.shutdown()
    server_greenlet.join(timeout=2)
    assert server_greenlet.dead
