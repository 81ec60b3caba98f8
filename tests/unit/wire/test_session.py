"""Guards against unauthenticated peers, oversized frames and missing heartbeats."""

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


def _make_identity(role, key=b"k" * 16, deployment="bituin"):
    return Identity(deployment, f"{role}-1", role, "cebu", "i1", key)


@pytest.fixture
def agent():
    inbox = Queue()
    server = make_server(
        HOST, 0, _make_identity("agent"), SystemClock(), inbox, HEARTBEAT_MS, logger("wire")
    )
    server_greenlet = gevent.spawn(server.serve_forever)
    yield server.socket.getsockname()[1], inbox
    server.shutdown()
    server_greenlet.kill()


def _open_session(port, inbox, **changes):
    return open_session(HOST, port, _make_identity("entry", **changes), SystemClock(), inbox, 50)


def test_authenticated_peers_exchange_messages(agent):
    port, agent_inbox = agent
    session = _open_session(port, Queue())
    assert session.peer.node == "agent-1"
    session.send(Leaving("x"))
    peer_session, message = agent_inbox.get(timeout=2)
    assert message == Leaving("x")
    assert peer_session.peer.node == "entry-1"
    session.close("done")


@pytest.mark.parametrize("changes", [{"key": b"z" * 16}, {"deployment": "furao"}])
def test_peer_with_a_wrong_key_or_deployment_is_rejected(agent, changes):
    port, agent_inbox = agent
    with pytest.raises(HandshakeError):
        _open_session(port, Queue(), **changes)
    assert agent_inbox.empty()


def test_reflected_proof_is_rejected(agent):
    """A peer that sends the agent's own proof back must not be accepted as an entry."""
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
def test_malformed_frame_after_the_handshake_closes_the_session(agent, sent):
    port, agent_inbox = agent
    session = _open_session(port, Queue())
    session.connection.send(sent)
    _peer, message = agent_inbox.get(timeout=2)
    assert isinstance(message, SessionClosed)
    assert "malformed" in message.reason
    session.close("done")


def test_missing_heartbeats_are_detected_at_the_deadline(agent):
    port, _inbox = agent
    session = _open_session(port, Queue())
    assert not session.heartbeat_overdue()
    gevent.sleep(0.2)
    assert session.heartbeat_overdue()
    session.close("done")


def test_unresponsive_listener_does_not_block_the_client():
    """Connecting to a host that accepts but never responds must raise a handshake error."""
    server = StreamServer((HOST, 0), lambda *_: gevent.sleep(30))
    server.start()
    with gevent.Timeout(6), pytest.raises(HandshakeError):
        _open_session(server.server_port, Queue())
    server.stop(timeout=0)


@pytest.mark.parametrize(("received", "sent"), [(100, 0), (0, 100), (100, 100)])
def test_closing_a_session_with_unread_messages_closes_the_socket_safely(agent, received, sent):
    """Closing a descriptor that gevent still watches, or will watch, aborts the process."""
    port, agent_inbox = agent
    connection = connect(f"ws://{HOST}:{port}/", compression=None, legacy=True)
    handshake(connection, _make_identity("entry"), "client")
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
