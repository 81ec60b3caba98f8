"""Measure entry and agent processes: ``python scripts/process_slopes.py NAME [FOLDER]``.

NAME is ``idle``, ``connections``, ``requests``, ``samples``, ``bytes``, ``fetches``,
``handshakes`` or ``configuration``. Processor time and resident memory are those of the measured
process in /proc; peers and stand-ins run in this one.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from gevent.pywsgi import WSGIServer  # noqa: E402
from gevent.queue import Queue  # noqa: E402
from slope_peers import HEARTBEAT_MS, AgentPeer, EntryPeer  # noqa: E402

from pistachionotch.bench.slopes.fit import Slope, save  # noqa: E402
from pistachionotch.bench.slopes.proc import cpu_ms, resident_kb  # noqa: E402
from pistachionotch.clock import SystemClock  # noqa: E402
from pistachionotch.config.apply import CONFIGURATION_KEY  # noqa: E402
from pistachionotch.logs import configure_logs  # noqa: E402
from pistachionotch.objects.client import HttpObjectStore  # noqa: E402
from pistachionotch.standins.engine import EngineStandIn  # noqa: E402
from pistachionotch.wire import messages  # noqa: E402
from pistachionotch.wire.session import (  # noqa: E402
    Identity,
    open_session,
)
from tests.support.deployment import (  # noqa: E402
    HOST,
    KEY,
    ROOT,
    Deployment,
    wait_until,
)

WINDOW_S = 12.0
SETTLE_S = 4.0
CONNECTIONS = (0, 20, 40, 80)
ENTRY_CONNECTIONS = (0, 8, 16, 24, 48)
# One token per piece, as with engines whose streams are slower than the time for joining tokens.
TOKEN_MS = 25


class Meter:
    """Measure a process and the sockets of its peers over a window."""

    def __init__(self, role):
        name = f"{role} connections"
        self.memory = Slope(f"{name}, resident memory", "connection", "kB")
        self.cpu = Slope(f"{name}, processor", "connection", "ms of CPU per second")
        self.payload = Slope(f"{name}, payload both ways", "connection", "bytes/s")
        self.segments = Slope(f"{name}, TCP segments both ways", "connection", "segments/s")

    def take(self, pid, connections, peers):
        gevent.sleep(SETTLE_S)
        self.memory.add(connections, resident_kb(pid))
        payload, segments = totals(peers)
        used, started = cpu_ms(pid), time.monotonic()
        gevent.sleep(WINDOW_S)
        elapsed = time.monotonic() - started
        self.cpu.add(connections, (cpu_ms(pid) - used) / elapsed)
        later_payload, later_segments = totals(peers)
        self.payload.add(connections, (later_payload - payload) / elapsed)
        self.segments.add(connections, (later_segments - segments) / elapsed)

    def slopes(self):
        return [self.memory, self.cpu, self.payload, self.segments]


def totals(peers):
    counts = [count for peer in peers for count in peer.counts()]
    return sum(each.payload() for each in counts), sum(each.segments() for each in counts)


def store_of(deployment):
    return HttpObjectStore(HOST, deployment.ports["object-store"])


def start_engine(deployment, slots=64):
    engine = EngineStandIn("fitting", slots=slots, token_ms=TOKEN_MS)
    server = WSGIServer((HOST, 0), engine, log=None, error_log=None)
    server.start()
    deployment.ports["engine"] = server.server_port
    return engine


def pid_of(deployment, name):
    return deployment.processes[name].pid


def start_pair(deployment):
    deployment.start_platform()
    start_engine(deployment)
    deployment.start_agent("agent", "cebu", "engine", "engine", "fitting", 64)
    deployment.start_entry("entry", "cebu")


def measure_idle(deployment):
    """Print the resident memory of an entry and an agent that nothing uses."""
    start_pair(deployment)
    for name in ("agent", "entry"):
        wait_until(lambda name=name: deployment.status(name), 20, f"{name} answers")
    gevent.sleep(SETTLE_S)
    for name in ("entry", "agent"):
        print(f"idle {name}: {resident_kb(pid_of(deployment, name))} kB resident")
    return []


def measure_connections(deployment):
    """Measure memory, processor and traffic by the number of idle connections."""
    start_pair(deployment)
    # The agent under measurement is not one that the measured entry connects to.
    wait_until(lambda: deployment.status("agent"), 20, "agent answers")
    jobs = [
        gevent.spawn(entry_connections, deployment),
        gevent.spawn(agent_connections, deployment),
    ]
    gevent.joinall(jobs, raise_error=True)
    return [slope for job in jobs for slope in job.value]


def entry_connections(deployment):
    meter, peers, store = Meter("entry"), [], store_of(deployment)
    for count in CONNECTIONS:
        while len(peers) < count:
            peers.append(AgentPeer(len(peers)))
            peers[-1].register(store)
        if count:
            deployment.wait_agents("entry", count)
        meter.take(pid_of(deployment, "entry"), count, peers)
    return meter.slopes()


def agent_connections(deployment):
    meter, peers = Meter("agent"), []
    for count in ENTRY_CONNECTIONS:
        while len(peers) < count:
            peers.append(EntryPeer(len(peers), deployment.ports["agent"]))
        meter.take(pid_of(deployment, "agent"), count, peers)
    return meter.slopes()


def completions(deployment, requests, tokens, workers=8):
    """Stream ``requests`` completions of ``tokens`` tokens over several callers."""
    caller = deployment.caller("entry")
    todo = list(range(requests))

    def work():
        while todo:
            number = todo.pop()
            answer, _events = caller.stream(f"prompt {number}", tokens)
            assert answer.status == 200, answer

    gevent.joinall([gevent.spawn(work) for _ in range(workers)], raise_error=True)


def used_by(deployment, action):
    pids = [pid_of(deployment, name) for name in ("entry", "agent")]
    before = [cpu_ms(pid) for pid in pids]
    started = time.monotonic()
    action()
    elapsed = time.monotonic() - started
    return [cpu_ms(pid) - used for pid, used in zip(pids, before, strict=True)], elapsed


def measure_requests(deployment):
    """Measure processor time by requests and by streamed tokens."""
    start_pair(deployment)
    deployment.wait_agents("entry", 1)
    completions(deployment, 20, 2)
    (idle_entry, idle_agent), window = used_by(deployment, lambda: gevent.sleep(10))
    idle = (idle_entry / window, idle_agent / window)
    slopes = []
    for title, x, points in (
        ("requests of 1 token", "request", [(n, n, 1) for n in (50, 100, 200, 400)]),
        ("tokens of 40 requests", "token", [(40 * n, 40, n) for n in (10, 40, 80, 160)]),
    ):
        pair = [Slope(f"{role}, {title}", x, "ms of CPU") for role in ("entry", "agent")]
        for count, requests, tokens in points:
            used, elapsed = used_by(
                deployment, lambda r=requests, t=tokens: completions(deployment, r, t)
            )
            for slope, spent, base in zip(pair, used, idle, strict=True):
                slope.add(count, spent - base * elapsed)
        slopes.extend(pair)
    return slopes


def measure_samples(deployment):
    """Measure processor time by the tokens of a trainer's step, from order to acknowledgement."""
    start_pair(deployment)
    deployment.wait_agents("entry", 1)
    pair = [Slope(f"{r}, step of 32 samples", "token", "ms of CPU") for r in ("entry", "agent")]
    for step, tokens in enumerate((10, 40, 80, 160), start=1):
        used, _elapsed = used_by(
            deployment, lambda s=step, t=tokens: run_step(deployment.caller("entry"), s, t)
        )
        for slope, spent in zip(pair, used, strict=True):
            slope.add(32 * tokens, spent)
    return pair


def run_step(caller, step, tokens):
    wanted = {
        "trainer": "tuner",
        "step": step,
        "model": "fitting",
        "groups": 8,
        "samples_per_group": 4,
        "staleness_bound": 4,
        "deadline_ms": 120_000,
        "prompts": [f"prompt {number}" for number in range(8)],
        "sampling": {"max_tokens": tokens},
    }
    answer = caller.send("POST", "/v1/steps", wanted)
    assert answer.status in (200, 201), answer
    cursor, found = 0, 0
    while True:
        pulled = caller.send("GET", f"/v1/steps/tuner/{step}/samples?cursor={cursor}").json()
        found += len(pulled.get("samples", ()))
        if pulled.get("complete"):
            assert found == 32, found
            return
        if pulled.get("samples"):
            cursor += 1


def measure_bytes(deployment):
    """Measure processor time by the bytes of a plain service's responses."""
    deployment.start_platform()
    body = bytes(4 * 1024 * 1024)

    def service(environ, start_response):
        size = int(environ["PATH_INFO"].rsplit("/", 1)[1])
        headers = [("Content-Type", "application/octet-stream"), ("Content-Length", str(size))]
        start_response("200 OK", headers)
        return [body[:size]]

    server = WSGIServer((HOST, 0), service, log=None, error_log=None)
    server.start()
    deployment.ports["service"] = server.server_port
    deployment.start_agent("agent", "cebu", "service", "plain-service", "storefront", 32)
    deployment.start_entry("entry", "cebu")
    deployment.wait_agents("entry", 1)
    pair = [Slope(f"{r}, response bytes of 20", "MB", "ms of CPU") for r in ("entry", "agent")]
    for size in (1_000, 100_000, 400_000, 1_000_000):

        def fetch(size=size):
            for _ in range(20):
                answer = deployment.caller("entry").send("GET", f"/services/storefront/{size}")
                assert len(answer.body) == size, answer.status

        used, _elapsed = used_by(deployment, fetch)
        for slope, spent in zip(pair, used, strict=True):
            slope.add(20 * size / 1e6, spent)
    return pair


def measure_configuration(deployment):
    """Measure how long a configuration takes to reach all agents of an entry, and its bytes."""
    deployment.start_platform()
    text = (ROOT / "examples/bituin/configuration.jsonc").read_text()
    store, peers = store_of(deployment), []
    version = store.put(CONFIGURATION_KEY, text.encode(), None).unwrap().version
    deployment.start_entry("entry", "cebu")
    wait_until(lambda: deployment.status("entry"), 20, "entry answers")
    pid = pid_of(deployment, "entry")
    delay = Slope("configuration fan-out", "connection", "ms until the last agent has it")
    spent = Slope("configuration fan-out, entry", "connection", "ms of CPU")
    payload = Slope("configuration fan-out, payload", "connection", "bytes")
    for count in (10, 20, 40, 80):
        while len(peers) < count:
            peers.append(AgentPeer(len(peers)))
            peers[-1].register(store)
        deployment.wait_agents("entry", count)
        gevent.sleep(SETTLE_S)
        (used, sent), started = (cpu_ms(pid), totals(peers)[0]), time.monotonic()
        changed = f"// change {count}\n{text}".encode()
        version = store.put(CONFIGURATION_KEY, changed, version).unwrap().version
        wait_until(lambda v=version: all(p.revision == v for p in peers), 20, "all have it")
        delay.add(count, 1000 * (max(peer.revision_at for peer in peers) - started))
        gevent.sleep(0.1)
        spent.add(count, cpu_ms(pid) - used)
        payload.add(count, totals(peers)[0] - sent)
    print(f"configuration of {len(text)} bytes")
    return [delay, spent, payload]


def measure_fetches(deployment):
    """Measure how often an agent fetches a configuration that all its entries offer at once."""
    start_pair(deployment)
    wait_until(lambda: deployment.status("agent"), 20, "agent answers")
    fetches, peers = Slope("configuration fetches of an agent", "connected entry", "fetches"), []
    for revision, count in enumerate((8, 16, 24, 48), start=1000):
        while len(peers) < count:
            peers.append(EntryPeer(len(peers), deployment.ports["agent"]))
        gevent.sleep(1)
        before = sum(peer.fetches for peer in peers)
        for peer in peers:
            peer.session.send(messages.ConfigOffer(revision))
        gevent.sleep(2)
        fetches.add(count, sum(peer.fetches for peer in peers) - before)
    return [fetches]


def measure_handshakes(deployment):
    """Measure the agent's processor time by connections that are opened, proved and closed."""
    start_pair(deployment)
    wait_until(lambda: deployment.status("agent"), 20, "agent answers")
    pid, port = pid_of(deployment, "agent"), deployment.ports["agent"]
    identity = Identity("bituin", "peer", "entry", "cebu", "1" * 12, KEY.encode())
    spent = Slope("handshakes, agent", "connection opened and closed", "ms of CPU")
    own = Slope("handshakes, connecting side", "connection opened and closed", "ms of CPU")
    for count in (20, 40, 80, 160):
        used, own_used = cpu_ms(pid), time.process_time()
        for _ in range(count):
            session = open_session(HOST, port, identity, SystemClock(), Queue(), HEARTBEAT_MS)
            session.close("measured")
        gevent.sleep(0.5)
        spent.add(count, cpu_ms(pid) - used)
        own.add(count, 1000 * (time.process_time() - own_used))
    return [spent, own]


MEASURES = {
    "fetches": measure_fetches,
    "handshakes": measure_handshakes,
    "idle": measure_idle,
    "connections": measure_connections,
    "requests": measure_requests,
    "samples": measure_samples,
    "bytes": measure_bytes,
    "configuration": measure_configuration,
}


def main():
    name = sys.argv[1]
    configure_logs(open("/dev/null", "w"))  # noqa: SIM115
    deployment = Deployment()
    try:
        measured = MEASURES[name](deployment)
    finally:
        deployment.stop()
    for slope in measured:
        print(slope.text())
    if measured and len(sys.argv) > 2:
        save(Path(sys.argv[2]) / f"{name}.json", measured)


if __name__ == "__main__":
    main()
