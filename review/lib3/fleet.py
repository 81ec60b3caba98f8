"""A small deployment on loopback addresses: the store, servers and gateways as processes."""

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
HOST = "127.0.0.1"
HOSTNAME = "shop.example"
MODEL = "m0"
GATEWAY = ["python3", "-m", "pistachionotch", "gateway"]


def free_ports(count):
    """Return free ports; all are reserved at once, so that they differ."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def ask(port, method, path, headers=(), body=b"", timeout_s=5.0):
    """Return status, headers and body of one request on a new connection."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, {"Host": HOSTNAME, **dict(headers)})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def free_sets(count):
    """Return sets of four ports for gateways: clients, readiness, peers and control."""
    ports = free_ports(4 * count)
    return [ports[4 * number : 4 * number + 4] for number in range(count)]


def _give_up(_number, _frame):
    raise SystemExit(2)


def run(case, play):
    """Play a case and exit with 1 if it returns that the rule was broken, 0 if it held."""
    with Fleet(case) as fleet:
        broken = play(fleet, os.environ.get("TROUBLE", "1") != "0")
        fleet.note("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)


class Fleet:
    """Processes, ports and the record of one run; a context manager that ends all it started."""

    def __init__(self, case, memory_mb=150):
        self.case = Path(case)
        self.memory_mb = memory_mb
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = {}
        self.restarted = set()
        self.closed = False
        self.ports = {}
        self.started = time.monotonic()
        self.lines = []

    def __enter__(self):
        # A script has 120 s; all that it has started is ended before.
        signal.signal(signal.SIGALRM, _give_up)
        signal.signal(signal.SIGTERM, _give_up)
        signal.alarm(110)
        return self

    def __exit__(self, *_error):
        self.closed = True
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        (self.case / "record.txt").write_text("".join(line + "\n" for line in self.lines))
        shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text):
        """Add a line to the record and print it."""
        line = f"{time.monotonic() - self.started:8.3f}  {text}"
        self.lines.append(line)
        print(line, flush=True)

    def spawn(self, name, command, **variables):
        """Start a process of the deployment at the root of the repository."""
        if self.closed:
            raise SystemExit(2)
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment = {**kept, "PYTHONPATH": str(REPOSITORY / "target" / "deps"), **variables}
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            command, cwd=REPOSITORY, env=environment, stdout=log, stderr=subprocess.STDOUT
        )
        log.close()
        return self.processes[name]

    def start_standin(self, kind, name, port=None):
        """Start one of the project's stand-ins."""
        self.ports[name] = port or free_ports(1)[0]
        script = str(HERE / "standin.py")
        self.spawn(name, [sys.executable, script, kind, name, str(self.ports[name])])
        self.wait(f"{name} answers", lambda: self.answers(name))

    def answers(self, name):
        """Return whether a stand-in accepts connections."""
        try:
            socket.create_connection((HOST, self.ports[name]), 1.0).close()
            return True
        except OSError:
            return False

    def start_gateway(self, name, zone="zone-a", wait=True, **settings):
        """Start a gateway by the command of the deploy file."""
        client, ready, peer, control = self.ports.setdefault(name, free_ports(4))
        path = self.folder / f"{name}.conf"
        added = "".join(f"{key}={value}\n" for key, value in settings.items())
        path.write_text(
            f"""node_name={name}
role=gateway
machine_class=edge
serves=edge
ip={HOST}
zone={zone}
region=region-a
zones.zone-a=region-a
zones.zone-b=region-a
listen.frontend={HOST}:{client}
listen.ready_addr={HOST}:{ready}
listen.control={HOST}:{control}
port_range={peer},{peer}
first_start=true
failure_counted=false
limits.cpu_share=0.817
limits.cores=1
limits.memory_mb={self.memory_mb}
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4.7
bounds.drain_ms=2500
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2500
bounds.revert_slack_ms=250
bounds.outer_ms=6000
bounds.recovery_s=12
bounds.pass_ms=250
bounds.retry_after_s=0
bounds.finish_s=10
bounds.status_s=120
bounds.cancel_ms=3000
bounds.settle_ms=1000
bounds.quota_overage=0.1
bounds.fencing=false
bounds.lease_ms=3000
bounds.thaw_ms=300
platform.address={HOST}:{self.ports["store"]}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
{added}"""
        )
        process = self.spawn(name, GATEWAY, PISTACHIONOTCH_BOOT=str(path))
        if wait:
            self.wait(f"{name} is ready", lambda: self.is_ready(name))
        return process

    def is_ready(self, name):
        """Return whether a gateway's readiness probe succeeds."""
        try:
            return ask(self.ports[name][1], "GET", "/api/readyz", timeout_s=1.0)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait(self, what, holds, limit_s=15.0):
        """Wait until something holds; exits with 2 if it does not, since the case can't run."""
        until = time.monotonic() + limit_s
        while not holds():
            if time.monotonic() > until:
                self.note(f"not reached: {what}")
                raise SystemExit(2)
            time.sleep(0.05)

    def store(self, method, path, fields=None):
        """Send a request to the store, as the operator or a server does."""
        body = b"" if fields is None else json.dumps(fields).encode()
        status, _headers, answer = ask(self.ports["store"], method, path, body=body)
        return status, json.loads(answer) if answer else None

    def write(self, kind, name, spec):
        """Create or replace an object of the store."""
        body = {"metadata": {"name": name}, "spec": spec}
        if self.store("POST", f"/api/objects/{kind}", body)[0] >= 300:
            self.store("PUT", f"/api/objects/{kind}/{name}", body)

    def configure(self, version, routes, services):
        """Write a version of the configuration."""
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 33554432,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        spec = {"version": version, "routes": routes, "services": services, "limits": limits}
        self.write("config", "main", spec)

    def register(self, name, service, state="ready", zone="zone-a", port=None, **more):
        """Write a server's entry."""
        spec = {
            "service": service,
            "address": f"{HOST}:{port or self.ports[name]}",
            "zone": zone,
            "version": "v1",
            "slots": 12,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": 1700000000000,
            **more,
        }
        self.write("servers", name, spec)

    def memory_kb(self, name, field="VmRSS"):
        """Return the memory of a process, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1])
        return 0

    def cpu_s(self, name):
        """Return the processor time of a process in s."""
        fields = Path(f"/proc/{self.processes[name].pid}/stat").read_text().rpartition(")")[2]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    def log(self, name):
        """Return the log of a process."""
        return (self.folder / f"{name}.log").read_text(errors="replace")


def route(name, kind, service, prefix, **more):
    """Return a route of the configuration, with the times of the users' sheets."""
    fields = {
        "name": name,
        "hostname": HOSTNAME,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 10000,
        "target_latency_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 3,
    }
    if kind == "rollout":
        fields.update({"max_queue_s": 40.0, "due_ms": 7500, "resumable": True})
    return {**fields, **more}
