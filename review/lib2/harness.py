"""A small deployment on loopback: the store, servers in threads, and gateways as processes.

Servers are written from PROTOCOL.md. Each records what it got and ran in ``Record``.
"""

import contextlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

HOST = "127.0.0.1"
HOSTNAME = "shop.example"
MODEL = "m0"
# Names of models; the gateway that runs a batch submission follows from a hash of its model.
MODELS = (MODEL, "daka510000", "lohu93", "pufi791", "ficu95x", "huvo11a", "wuno96b", "ombra",
          "kelp7", "q", "vx99", "nine-two", "zeta12", "rollout", "t3t", "ur")
ROOT = Path(__file__).resolve().parents[2]
LIB = Path(__file__).resolve().parent


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Record:
    """What was sent, answered and run, one JSON line each, with seconds since the start."""

    def __init__(self, path):
        self.file = Path(path).open("w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, what, **fields):
        line = {"at": round(time.monotonic() - self.start, 3), "what": what, **fields}
        with self.lock:
            self.file.write(json.dumps(line, default=repr) + "\n")
            self.file.flush()


class Request:
    """A request as a server read it."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.id = headers.get("request-id", "")


def read_request(reader):
    """Read one request; None at the end of the channel."""
    line = reader.readline()
    if not line.strip():
        return None
    method, target, _version = line.decode("latin-1").split()
    headers = {}
    while (line := reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


class Server:
    """One server of a service; subclasses or ``behave`` decide what it does with a request."""

    def __init__(self, record, name, service, behave, software="v1", slots=4, models=None):
        self.record, self.name, self.service, self.behave = record, name, service, behave
        self.software, self.slots, self.models = software, slots, models
        self.runs = []
        self.stamps = 0
        self.listener = socket.create_server((HOST, 0), backlog=512)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = sock.makefile("rb")
        with contextlib.suppress(OSError, ValueError):
            while (request := read_request(reader)) is not None:
                if not self._answer(sock, request):
                    break
        sock.close()

    def _answer(self, sock, request):
        if request.headers.get("expect-instance", self.name) != self.name:
            respond(sock, 421, [("Not-Run", "1")], b"null")
            return True
        if request.target == "/api/report":
            models = [{"name": n, "version": v, "adapters": []} for n, v in self.models.items()]
            fields = {"stage": "both", "models": models, "busy": False, "seq": 0, "queued": 0,
                      "active": 0, "kv_used": 0, "kv_total": 90000, "handles": 0}
            respond(sock, 200, [], json.dumps(fields).encode())
            return True
        return self.behave(self, sock, request)

    def run(self, request):
        """Record that a request is run; returns the headers of its answer."""
        self.stamps += 1
        self.runs.append(request)
        stamp = f"{self.name}.{self.stamps}"
        self.record.write("run", server=self.name, id=request.id, method=request.method,
                          target=request.target, body=request.body[:60].decode("latin-1"),
                          body_bytes=len(request.body), headers=request.headers)
        return [("Request-Id", request.id), ("Server-Stamp", stamp)]

    def spec(self, state="ready"):
        fields = {"service": self.service, "address": f"{HOST}:{self.port}", "zone": "z-a",
                  "version": self.software, "slots": self.slots, "state": state,
                  "cold_left_ms": 0, "seq": 1, "born": 1}
        if self.models is not None:
            fields["models"] = [{"name": n, "version": v, "adapters": []}
                                for n, v in self.models.items()]
        return fields


def respond(sock, status, headers, body):
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)


def echo(server, sock, request):
    """Run a request at once and answer with what was received."""
    headers = server.run(request)
    respond(sock, 200, headers, b"got:" + request.body)
    return True


def routes():
    plain = {"hostname": HOSTNAME, "timeout_ms": 2000, "target_latency_ms": 240, "priority": 2,
             "service": "shop", "max_attempts": 3}
    tokens = {"hostname": HOSTNAME, "timeout_ms": 10000, "target_latency_ms": 400, "priority": 0,
              "service": "engines", "max_attempts": 3}
    return [
        {**plain, "name": "safe", "path_prefix": "/safe/", "route_kind": "safe"},
        {**plain, "name": "unsafe", "path_prefix": "/unsafe/", "route_kind": "unsafe"},
        {**tokens, "name": "steps", "path_prefix": "/steps/", "route_kind": "rollout",
         "max_queue_s": 40.0, "due_ms": 7500},
        {**tokens, "name": "streams", "path_prefix": "/streams/", "route_kind": "stream",
         "resumable": True, "sticky": True},
    ]


# As ``fleetbench wire`` shows them.
LIMITS = {"max_header_bytes": 16_384, "max_body_bytes": 33_554_432, "header_timeout_ms": 3_000,
          "idle_timeout_ms": 15_000}

BOOT = """node_name={name}
role=gateway
machine_class=edge
serves=edge
ip={host}
zone=z-a
region=r
zones.z-a=r
listen.frontend={host}:{front}
listen.ready_addr={host}:{ready}
port_range={peer},{peer}
seeds=
first_start=true
failure_counted=false
limits.cpu_share=0.817
limits.cores=1
limits.memory_mb={memory_mb}
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.reuse_after_s=2
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.drain_ms=2500
bounds.grace_s=8
bounds.config_apply_ms=2500
bounds.pass_ms=250
bounds.finish_s=10
bounds.status_s=120
bounds.cancel_ms=3000
bounds.settle_ms=1000
bounds.fencing=false
bounds.lease_ms=3000
bounds.thaw_ms=300
platform.address={host}:{store}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""


class Deployment:
    """The store, the gateways and what the operator and the servers write."""

    def __init__(self, record, memory_mb=300):
        self.record, self.memory_mb = record, memory_mb
        self.folder = Path(tempfile.mkdtemp(prefix="pistachionotch-review-"))
        self.processes = {}
        self.ports = {}
        self.version = 0
        self.environment = {**os.environ, "PYTHONPATH": str(ROOT / "target" / "deps")}
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["gateway"]["run"].split()
        self.store_port = free_port()
        self.store_path = {}
        self._spawn("store", [sys.executable, str(LIB / "store.py"), str(self.store_port)])
        self.wait(lambda: self.ask(self.store_port, "GET", "/calls")[0] == 200)

    def _spawn(self, name, command, environment=None):
        log = (self.folder / f"{name}.log").open("a")
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env=environment or self.environment, stdout=log, stderr=log
        )

    def ask(self, port, method, path, fields=None, headers=None, timeout=5.0):
        """Return status and body of one call, 0 if there is no whole answer."""
        connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
        body = fields if isinstance(fields, bytes | None) else json.dumps(fields).encode()
        try:
            connection.request(method, path, body, {"Host": HOSTNAME, **(headers or {})})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def write(self, kind, name, spec):
        body = {"metadata": {"name": name}, "spec": spec}
        path = f"/api/objects/{kind}"
        if self.ask(self.store_port, "POST", path, body)[0] != 200:
            status, _ = self.ask(self.store_port, "PUT", f"{path}/{name}", body)
            assert status == 200, status

    def remove(self, kind, name):
        self.ask(self.store_port, "DELETE", f"/api/objects/{kind}/{name}")

    def write_config(self, found=None, limits=None):
        self.version += 1
        engine = {"slots": 4, "models": [{"name": name} for name in MODELS]}
        services = [{"name": "engines", "max_conns": 150, "engine": engine},
                    {"name": "shop", "max_conns": 100}]
        spec = {"version": self.version, "routes": found or routes(), "services": services,
                "limits": limits or LIMITS}
        self.write("config", "main", spec)
        self.record.write("config", version=self.version)

    def register(self, server, state="ready"):
        self.write("servers", server.name, server.spec(state))

    def start_gateway(self, name, store_port=None):
        ports = self.ports.setdefault(name, [free_port() for _ in range(3)])
        path = self.folder / f"{name}.conf"
        path.write_text(BOOT.format(name=name, host=HOST, front=ports[0], ready=ports[1],
                                    peer=ports[2], memory_mb=self.memory_mb,
                                    store=store_port or self.store_port))
        self._spawn(name, self.command, {**self.environment, "PISTACHIONOTCH_BOOT": str(path)})

    def ready(self, name):
        return self.ask(self.ports[name][1], "GET", "/api/readyz")[0] == 200

    def gauge(self, name, title):
        """Return the value of a gateway's metric, None if it has none."""
        for line in self.ask(self.ports[name][1], "GET", "/metrics")[1].decode().splitlines():
            key, _, value = line.rpartition(" ")
            if not line.startswith("#") and key.partition("{")[0].endswith(f"_{title}"):
                return float(value)
        return None

    def front(self, name):
        return self.ports[name][0]

    def alive(self, name):
        return self.processes[name].poll() is None

    def signal(self, name, number):
        self.record.write("signal", process=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    @staticmethod
    def wait(condition, timeout_s=20.0):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise Unplayable("a condition did not come true")

    def log(self, name):
        return (self.folder / f"{name}.log").read_text()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


class Unplayable(Exception):
    """The case could not run."""


def raw_exchange(port, data, timeout_s=4.0, pause_s=0.0):
    """Send bytes on a new channel and return all that comes back until it is silent or closed."""
    received = b""
    with socket.create_connection((HOST, port), timeout=2.0) as sock:
        for piece in data if isinstance(data, list) else [data]:
            sock.sendall(piece)
            time.sleep(pause_s)
        sock.settimeout(timeout_s)
        with contextlib.suppress(OSError):
            while part := sock.recv(65536):
                received += part
    return received


def main(case, folder):
    """Run ``case(deployment, record, trouble)``, which returns a list of breaches."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None
    try:
        deployment = Deployment(record)
        breaches = case(deployment, record, trouble)
    except Exception as error:  # noqa: BLE001
        import traceback
        record.write("not played", error=repr(error), trace=traceback.format_exc())
        print("not played:", repr(error))
        return 2
    finally:
        if deployment is not None:
            deployment.stop()
    for breach in breaches:
        record.write("breach", text=breach)
        print("breach:", breach)
    record.write("verdict", broken=bool(breaches))
    print("broken" if breaches else "held")
    return 1 if breaches else 0
