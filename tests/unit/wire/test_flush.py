"""Guards against a last answer that is cut off because it was taken from the queue already."""

import types

import gevent
from gevent.queue import Queue

from pistachionotch.agent.daemon import AgentDaemon
from pistachionotch.clock import SystemClock
from pistachionotch.wire.messages import Leaving
from pistachionotch.wire.session import Session

# Longer than an agent waited before.
SLOW_S = 1.3


class SlowConnection:
    """A connection whose peer reads slowly."""

    def __init__(self):
        self.sent = 0
        self.closed = False

    def send(self, _data):
        gevent.sleep(SLOW_S)
        self.sent += not self.closed

    def close(self, reason):
        self.closed = True

    def close_socket(self):
        self.closed = True


def session():
    peer = types.SimpleNamespace(node="entry")
    found = Session(SlowConnection(), peer, SystemClock(), Queue(), 1_000)
    found.send(Leaving("draining"))
    gevent.sleep(0)
    return found


def test_a_message_that_is_being_sent_is_not_flushed_yet():
    found = session()
    found.flush(10)
    assert found.connection.sent == 1


def test_an_agent_closes_its_sessions_after_their_last_answers():
    sessions = [session(), session()]
    core = types.SimpleNamespace(sessions=sessions, log=None)
    AgentDaemon._send_last_answers(types.SimpleNamespace(core=core))
    gevent.sleep(0.01)
    for found in sessions:
        assert found.connection.sent == 1 and found.closed
