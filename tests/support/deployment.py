"""A deployment of separate processes on loopback, with faults for the tests to inject."""

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from pistachionotch.config.spec import Address
from pistachionotch.demo.scenario import EntryClient

HOST = "127.0.0.1"
KEY = "a-key-for-tests-only-0123456789"
READY_S = 20.0
REGIONS = {"cebu": "visayas", "iloilo": "visayas", "manila": "luzon"}
ROOT = Path(__file__).resolve().parents[2]


# A process binds its port only after a while, or not while it is down.
GIVEN_PORTS = set()


def free_port():
    """Return a port below the ephemeral ones, which no client takes, that was not given before."""
    while True:
        port = random.SystemRandom().randrange(12_000, 32_000)
        if port in GIVEN_PORTS:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            GIVEN_PORTS.add(port)
            return port


class Deployment:
    """Start, stop, freeze and kill the processes of one deployment by their ids."""

    def __init__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="pistachionotch-"))
        self.processes = {}
        self.commands = {}
        self.ports = {}
        self.settings = {}
        self.frozen = set()
        # Ports by which the processes of a region reach the object API, if not directly.
        self.store_ports = {}

    # Processes

    def spawn(self, name, command):
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        environment = dict(os.environ, PYTHONPATH=f"{ROOT / 'src'}:{ROOT}")
        self.commands[name] = command
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, cwd=ROOT, env=environment
        )
        log.close()

    def restart(self, name):
        self.spawn(name, self.commands[name])

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.thaw(name)
        self.processes[name].kill()
        self.processes[name].wait()

    def freeze(self, name):
        self.send_signal(name, signal.SIGSTOP)
        self.frozen.add(name)

    def thaw(self, name):
        if name in self.frozen:
            self.frozen.discard(name)
            with contextlib.suppress(ProcessLookupError):
                self.send_signal(name, signal.SIGCONT)

    def terminate(self, name, timeout_s=30):
        self.send_signal(name, signal.SIGTERM)
        return self.processes[name].wait(timeout_s)

    def stop(self):
        for name in list(self.processes):
            self.thaw(name)
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    # Parts

    def start_standin(self, name, kind, model=""):
        port = self.ports.setdefault(name, free_port())
        module = "tests.support.standin_process"
        ledger = str(self.ledger_file(name))
        self.spawn(name, [sys.executable, "-m", module, kind, str(port), model, ledger])
        wait_for_port(port)

    def start_platform(self):
        self.start_standin("object-store", "object-store")
        self.start_standin("vm-list", "vm-list")

    def start_agent(self, name, zone, upstream, kind, serves, limit=8, wire_port=None):
        port = self.ports.setdefault(name, free_port())
        http = self.ports.setdefault(f"{name}-http", free_port())
        named = "model" if kind == "engine" else "service"
        self._write_settings(
            name,
            "agent",
            zone,
            listen={"wire": f"{HOST}:{wire_port or port}", "http": f"{HOST}:{http}"},
            upstream={
                "kind": kind,
                "address": f"{HOST}:{self.ports[upstream]}",
                named: serves,
                "concurrency_limit": limit,
            },
        )
        self.spawn(name, self._daemon_command("agent", name))

    def start_entry(self, name, zone, **fields):
        port = self.ports.setdefault(name, free_port())
        self._write_settings(name, "entry", zone, listen={"http": f"{HOST}:{port}"}, **fields)
        self.spawn(name, self._daemon_command("entry", name))

    def _daemon_command(self, role, name):
        return [sys.executable, "-m", "pistachionotch", role, str(self.settings[name])]

    def _write_settings(self, name, role, zone, **fields):
        region = REGIONS[zone]
        settings = {
            "deployment": "bituin",
            "node": name,
            "role": role,
            "region": region,
            "zone": zone,
            "deployment_key": KEY,
            "object_api": f"{HOST}:{self.store_ports.get(region, self.ports['object-store'])}",
            "vm_list": f"{HOST}:{self.ports['vm-list']}",
            **fields,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        self.settings[name] = path

    def start_standard(self, entries=2, **fields):
        """Start two entries, two engines and one storefront, each with its agent."""
        self.start_platform()
        for number, zone in ((1, "cebu"), (2, "iloilo")):
            self.start_standin(f"engine-{number}", "engine", "fitting")
            self.start_agent(f"agent-{number}", zone, f"engine-{number}", "engine", "fitting")
        self.start_standin("storefront", "plain-service", "storefront")
        self.start_agent("agent-3", "cebu", "storefront", "plain-service", "storefront", 32)
        for number in range(1, entries + 1):
            self.start_entry(f"entry-{number}", "cebu", **fields)
        for number in range(1, entries + 1):
            self.wait_agents(f"entry-{number}", 3)

    # Views

    def caller(self, entry):
        return EntryClient(Address(HOST, self.ports[entry]))

    def status(self, name):
        port = self.ports.get(f"{name}-http", self.ports[name])
        return EntryClient(Address(HOST, port)).send("GET", "/v1/status").json()

    def wait_agents(self, entry, count):
        def connected():
            agents = self.status(entry)["agents"]
            return sum(agent["ready"] for agent in agents) >= count

        wait_until(connected, READY_S, f"{entry} has {count} agents")

    def standin(self, name, method, path, value=None):
        answer = EntryClient(Address(HOST, self.ports[name])).send(method, path, value)
        return answer.json()

    def faults(self, name, **faults):
        method = "PUT" if name == "object-store" else "POST"
        return self.standin(name, method, "/faults", faults)

    def move_member(self, name, port):
        """Name another port in the next registration of an agent, such as a forwarder's."""
        self.rules(addresses=self.rules()["addresses"] | {name: f"{HOST}:{port}"})

    def rules(self, **rules):
        """Set rules of the object API for single keys, and return all."""
        return self.standin("object-store", "PUT", "/rules", rules)

    def list_vms(self, leaving=""):
        """Let the VM list name all processes, one of them as leaving."""
        vms = [
            {
                "name": name,
                "address": HOST,
                "zone": "cebu",
                "state": "leaving" if name == leaving else "live",
            }
            for name in self.processes
        ]
        self.standin("vm-list", "PUT", "/vms", vms)

    def owner(self, port):
        """Return the name of the process that has opened a connection from ``port``."""
        address = f"{int.from_bytes(socket.inet_aton(HOST), 'little'):08X}:{port:04X}"
        rows = (row.split() for row in Path("/proc/net/tcp").read_text().splitlines())
        inode = next((row[9] for row in rows if row[1] == address), "")
        for name, process in self.processes.items():
            with contextlib.suppress(OSError):
                files = Path(f"/proc/{process.pid}/fd").iterdir()
                if any(os.readlink(file) == f"socket:[{inode}]" for file in files):
                    return name
        return ""

    def ledger_file(self, name):
        """Return the file in which a stand-in keeps its runs across a kill."""
        return self.folder / f"{name}.ledger"

    def ledger(self, name):
        return self.standin(name, "GET", "/ledger")


def wait_until(condition, timeout_s, what):
    limit = time.monotonic() + timeout_s
    while True:
        with contextlib.suppress(Exception):
            if condition():
                return
        if time.monotonic() > limit:
            raise AssertionError(f"not reached within {timeout_s} s: {what}")
        time.sleep(0.05)


def wait_for_port(port):
    def listening():
        with socket.create_connection((HOST, port), timeout=1):
            return True

    wait_until(listening, READY_S, f"port {port} listens")
