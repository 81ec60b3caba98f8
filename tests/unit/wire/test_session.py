"""Guards against strangers on the wire, unbounded frames and peers that fall silent."""

import gevent
import pytest
from gevent.queue import Queue
from gevent.server import StreamServer
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect

from pistachionotch.clock import SystemClock
from pistachionotch.logs import logger
from pistachionotch.wire import codec
from pistachionotch.wire.messages import PROTOCOL_VERSION, Hello, Leaving, Piece, Proof
from pistachionotch.wire.session import (
    HandshakeError,
    Identity,
    SessionClosed,
    handshake,
    make_server,
    open_session,
)

HOST = "127.0.0.1"
HEARTBEAT_MS = 50


def _identity(role, key=b"k" * 16, deployment="bituin"):
    return Identity(deployment, f"{role}-1", role, "cebu", "i1", key)


@pytest.fixture
def agent():
    inbox = Queue()
    server = make_server(
        HOST, 0, _identity("agent"), SystemClock(), inbox, HEARTBEAT_MS, logger("wire")
    )
    greenlet = gevent.spawn(server.serve_forever)
    yield server.socket.getsockname()[1], inbox
    server.shutdown()
    greenlet.kill()


def _open(port, inbox, **changes):
    return open_session(HOST, port, _identity("entry", **changes), SystemClock(), inbox, 50)


def test_proved_peers_exchange_messages(agent):
    port, agent_inbox = agent
    session = _open(port, Queue())
    assert session.peer.node == "agent-1"
    session.send(Leaving("x"))
    peer_session, message = agent_inbox.get(timeout=2)
    assert message == Leaving("x")
    assert peer_session.peer.node == "entry-1"
    session.close("done")


@pytest.mark.parametrize("changes", [{"key": b"z" * 16}, {"deployment": "furao"}])
def test_peer_without_the_deployment_key_gets_nothing(agent, changes):
    port, agent_inbox = agent
    with pytest.raises(HandshakeError):
        _open(port, Queue(), **changes)
    assert agent_inbox.empty()


def test_reflected_proof_is_refused(agent):
    """A stranger that sends the agent's own messages back must not be taken for an entry."""
    port, agent_inbox = agent
    connection = connect(f"ws://{HOST}:{port}/", compression=None, proxy=None, legacy=True)
    connection.send(
        codec.encode(Hello(PROTOCOL_VERSION, "bituin", "x", "entry", "cebu", "i", b"n" * 16))
    )
    connection.recv(timeout=2)
    proof = codec.decode(connection.recv(timeout=2))
    connection.send(codec.encode(Proof(proof.mac)))
    with pytest.raises(ConnectionClosed):
        connection.recv(timeout=2)
    assert agent_inbox.empty()


@pytest.mark.parametrize("frame", [b"\x00" * 5000, b"\xff\xff", "text"])
def test_bad_first_frame_closes_the_connection(agent, frame):
    port, agent_inbox = agent
    connection = connect(f"ws://{HOST}:{port}/", compression=None, proxy=None, legacy=True)
    connection.send(frame)
    with pytest.raises(ConnectionClosed):
        while True:
            connection.recv(timeout=2)
    assert agent_inbox.empty()


@pytest.mark.parametrize("sent", [b"\x9f", "text", [b"\x81", b"\x0e"]], ids=str)
def test_malformed_frame_after_the_proof_closes_the_session(agent, sent):
    port, agent_inbox = agent
    session = _open(port, Queue())
    session.connection.send(sent)
    _peer, message = agent_inbox.get(timeout=2)
    assert isinstance(message, SessionClosed)
    assert "malformed" in message.reason
    session.close("done")


def test_silence_is_noticed_by_the_heartbeat_deadline(agent):
    port, _inbox = agent
    session = _open(port, Queue())
    assert not session.heartbeat_overdue()
    gevent.sleep(0.2)
    assert session.heartbeat_overdue()
    session.close("done")


def test_listener_that_never_answers_does_not_hold_the_opener():
    """A host that accepts connections and stays silent must end in a typed error."""
    server = StreamServer((HOST, 0), lambda *_: gevent.sleep(30))
    server.start()
    with gevent.Timeout(6), pytest.raises(HandshakeError):
        _open(server.server_port, Queue())
    server.stop(timeout=0)


@pytest.mark.parametrize(("received", "sent"), [(100, 0), (0, 100), (100, 100)])
def test_a_session_closed_with_unread_messages_does_no_harm(agent, received, sent):
    """Closing a descriptor that gevent still watches, or will watch, aborts the whole process."""
    port, agent_inbox = agent
    connection = connect(f"ws://{HOST}:{port}/", compression=None, legacy=True)
    handshake(connection, _identity("entry"), "client")
    connection.send(codec.encode(Leaving("x")))
    session, _message = agent_inbox.get(timeout=2)
    for _ in range(sent):
        session.send(Piece("attempt", 0, bytes(512 * 1024), -1, 0))
    for _ in range(received):
        connection.send(codec.encode(Leaving("x")))
    session.close("no heartbeat")
    gevent.sleep(1.5)
    assert session.connection.socket.fileno() < 0
    assert not session.connection.recv_events_thread.is_alive()
    with pytest.raises(ConnectionClosed):
        while True:
            session.connection.recv()
