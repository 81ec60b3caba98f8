"""Guards against invalid input that crashes a daemon, blocks it or makes its memory grow."""

import json
import socket
import time
from pathlib import Path

import cbor2
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect

from pistachionotch.wire.connections import DeferredCloseClientConnection
from pistachionotch.wire.session import Identity, handshake
from tests.support.deployment import HOST, KEY, Deployment

# Twice the memory budget of the control processes of a node (section 1.4 of the design).
MAX_GROWTH_BYTES = 64 * 1024 * 1024
ANSWER_S = 10
RUNS = settings(max_examples=150, suppress_health_check=list(HealthCheck))


@pytest.fixture(scope="module")
def deployment():
    running = Deployment()
    try:
        running.start_platform()
        running.start_standin("storefront", "plain-service", "storefront")
        running.start_agent("agent-3", "cebu", "storefront", "plain-service", "storefront")
        running.start_entry("entry-1", "cebu")
        running.wait_agents("entry-1", 1)
        yield running
    finally:
        running.stop()


@pytest.fixture(autouse=True)
def check_daemons_keep_running(deployment):
    before = {name: _resident_bytes(deployment, name) for name in ("entry-1", "agent-3")}
    yield
    for name, resident in before.items():
        assert deployment.processes[name].poll() is None, deployment.log(name)[-2000:]
        assert _resident_bytes(deployment, name) - resident < MAX_GROWTH_BYTES
        assert "Traceback" not in deployment.log(name), deployment.log(name)[-3000:]
    order = deployment.caller("entry-1").order(f"after-{time.monotonic()}", {})
    assert order.status == 201, order


def _resident_bytes(deployment, name):
    pid = deployment.processes[name].pid
    pages = Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * 4096


def _exchange(deployment, data):
    """Send bytes to the entry, close the sending side and return everything it answers."""
    with socket.create_connection((HOST, deployment.ports["entry-1"]), ANSWER_S) as connection:
        answer = b""
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            while part := connection.recv(65536):
                answer += part
        except (BrokenPipeError, ConnectionResetError):
            pass
        return answer


def _check_answer(answer, statuses=range(400, 500)):
    if not answer:
        return
    assert int(answer.split()[1]) in statuses, answer


METHODS = st.sampled_from(["GET", "POST", "PUT", "HEAD", "OPTIONS", "BREW", "", "\x00"])
PATHS = st.sampled_from(
    ["/v1/completions", "/v1/keys", "/v1/steps", "/v1/steps/t/1/samples", "/v1/weights", "/v1/x"]
    + ["/services/storefront/a", "/services/", "/services//", "/v1/drain", "/v1/decisions/", "*"]
)
ODD_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.sampled_from([-1, 0, 2**63, 10**400, 1e308 * 10, float("nan"), "", "\ud800", "x" * 5000])
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=4,
)
FIELDS = st.dictionaries(
    st.sampled_from(
        ["model", "prompt", "max_tokens", "stream", "trainer", "step", "prompts", "service"]
        + ["samples_per_group", "staleness_bound", "version", "source"]
    ),
    ODD_VALUES,
)


@RUNS
@given(
    st.binary(max_size=300)
    | st.builds(lambda m, p, r: f"{m} {p} ".encode() + r, METHODS, PATHS, st.binary(max_size=200))
)
def test_raw_bytes_are_refused_or_the_connection_closed(deployment, data):
    _check_answer(_exchange(deployment, data), [*range(200, 300), *range(400, 500), 503])


@RUNS
@given(
    METHODS.filter(str.isalpha),
    PATHS,
    FIELDS,
    st.text("ab%0d\r\n /\xe9?&=", max_size=12),
    st.integers(0, 3),
)
def test_requests_with_odd_fields_are_refused(deployment, method, path, fields, odd, framing):
    body = json.dumps(fields).encode()
    length = (str(len(body)), "-1", "9" * 30, "7")[framing]
    header = odd.replace("\r", "").replace("\n", "")
    head = (
        f"{method} {path}{header.replace(' ', '')} HTTP/1.1\r\nHost: x\r\n"
        f"Content-Length: {length}\r\nX-Request-Timeout-Ms: 300{header}\r\n"
        f"Idempotency-Key: {header}\r\n"
        f"X-Request-Class: {header}\r\nConnection: close\r\n\r\n"
    )
    answer = _exchange(deployment, head.encode("latin-1") + body)
    _check_answer(answer, [*range(200, 300), *range(400, 500), 503, 504])


@pytest.mark.parametrize("framing", ["Content-Length: 300000000", "Transfer-Encoding: chunked"])
def test_oversized_body_is_refused_and_not_kept_in_memory(deployment, framing):
    head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\n{framing}\r\n\r\n".encode()
    block = bytes(1024 * 1024)
    part = block if "Length" in framing else b"100000\r\n" + block + b"\r\n"
    _check_answer(_exchange(deployment, head + part * 100), [400, 408, 413])


def _connect_as_entry(deployment):
    address = f"ws://{HOST}:{deployment.ports['agent-3']}/"
    connection = connect(
        address,
        compression=None,
        max_size=2**21,
        proxy=None,
        create_connection=DeferredCloseClientConnection,
        legacy=True,
    )
    identity = Identity("bituin", "entry-9", "entry", "cebu", "i1", KEY.encode())
    return connection, identity


FRAMES = st.lists(
    st.binary(max_size=200)
    | st.text(max_size=20)
    | st.builds(
        lambda number, values: cbor2.dumps([number, *values]),
        st.integers(0, 21),
        st.lists(st.none() | st.integers(-1, 2**64) | st.binary(max_size=9) | st.text(max_size=9)),
    )
    | st.sampled_from([b"\x9b" + b"\xff" * 8, b"\x81" * 4000, bytes(2 * 1024 * 1024)]),
    min_size=1,
    max_size=3,
)


def _send_frames(connection, frames):
    try:
        for frame in frames:
            connection.send(frame)
        for _ in range(20):
            connection.recv(timeout=0.02)
    except (ConnectionClosed, TimeoutError):
        pass
    finally:
        connection.close()


@RUNS
@given(FRAMES)
def test_frames_before_the_handshake_close_the_connection(deployment, frames):
    connection, _identity = _connect_as_entry(deployment)
    _send_frames(connection, frames)


@RUNS
@given(FRAMES)
def test_frames_after_the_handshake_do_no_harm(deployment, frames):
    connection, identity = _connect_as_entry(deployment)
    handshake(connection, identity, "client")
    _send_frames(connection, frames)


ODD_SUBMITS = st.tuples(
    st.sampled_from(["a", "a", ""]),
    st.just("r"),
    st.sampled_from(["storefront", "long"]),
    st.sampled_from([-1, 0, 1, 100, 2**62]),
    st.booleans(),
    st.sampled_from(["services/storefront", "", "x"]),
    st.sampled_from(["", "k", "\x00", "i:", "é"]),
    st.sampled_from(["GET", "POST", "", "A B"]),
    st.sampled_from(["/a", "", "/a b\r\nX: y", "http://x/"]),
    st.sampled_from([[], [["a", "b"]], [["a\r\nb", "c\r\n"]], [["", ""]]]),
    st.binary(max_size=4),
    st.sampled_from([-1, 0, 2**62]),
    st.sampled_from(["", "t"]),
    st.sampled_from(["", "s"]),
).map(lambda fields: cbor2.dumps([4, *fields]))


@RUNS
@given(st.lists(ODD_SUBMITS | st.just(cbor2.dumps([9, "a"])), min_size=1, max_size=4))
def test_odd_submits_of_a_proved_peer_do_no_harm(deployment, frames):
    connection, identity = _connect_as_entry(deployment)
    handshake(connection, identity, "client")
    _send_frames(connection, [cbor2.dumps([3, 1, 0, None]), *frames])
