"""A small copy of the users' platform on loopback, with gateways as separate processes."""

import base64
import json
import random
import secrets
import sys
import tempfile
import time
from pathlib import Path

from pistachionotch.accounts.access import scoped_batch_id
from pistachionotch.config.spec import Address
from pistachionotch.http_client import ExchangeError
from tests.support.deployment import HOST, Deployment, free_port
from tests.support.platform_client import HOSTNAME, Client
from tests.support.platform_config import MODEL, ConfigWrite, configuration

READY_S = 15.0
# Length of the windows of usage reports, shorter than on the platform.
WINDOW_S = 2
STEP_MS = 50
ENGINES = 3
# Ends the id of the reward call of an item.
REWARD_SUFFIX = "-reward"


class Platform:
    """Run stand-ins of the platform and gateways in front of them."""

    def __init__(
        self,
        gateways=2,
        path=None,
        accounts=None,
        account="",
        key="",
        settings=None,
        reports_usage=False,
        scaling=None,
    ):
        """Start all; ``path`` may put a proxy's port before a port, by who uses it and what for.

        ``accounts`` returns the accounts of a version of the configuration. Clients send ``key``,
        which belongs to ``account``, if they name no other one. ``settings`` are added to the
        settings file of each gateway. With ``reports_usage``, the gateways report the usage of
        accounts to the stand-in ``duties``. With ``scaling``, they order the servers of the
        service ``shop`` there, within these limits.
        """
        self.accounts, self.account, self.key = accounts, account, key
        self.settings = settings or {}
        self.scaling = scaling
        self.duties = [
            name for name, on in (("usage", reports_usage), ("autoscale", scaling)) if on
        ]
        self.path = path or (lambda _user, _target, port: port)
        self.deployment = Deployment()
        self.folder = Path(tempfile.mkdtemp(prefix="pistachionotch-platform-"))
        # Number of starts of each server that was started again.
        self.starts = {}
        # One line for each crash of a server, with its runs.
        self.crash_file = self.folder / "crashes.jsonl"
        self.ports = {}
        # Version of the software of each server.
        self.software = {}
        self.names = [f"gateway-{number}" for number in range(1, gateways + 1)]
        self.servers = [f"engine-{number}" for number in range(1, ENGINES + 1)]
        # Scaled ones are started by the stand-in ``duties``.
        self.servers += [] if scaling else ["shop-1", "shop-2"]
        self.start_standin("store", "store")
        if self.duties:
            self.start_standin("duties", "duties")
        for name in self.servers:
            self.start_standin(name, "engine" if name.startswith("engine") else "plain")
        self.wait(lambda: self.fetch("store", "/calls") is not None)
        self.version = 0
        self.config_writes = []
        self.write_config()
        for name in self.servers:
            self.register(name)
        if scaling:
            order = {"service": "shop", "zone": "cebu", "desired": scaling["min"]}
            self.wait(lambda: self.fetch("duties", "/servers", "PUT", order) is not None)
        for name in self.names:
            self.start_gateway(name)
        self.wait(lambda: all(self.ready(name) for name in self.names))

    # Processes

    def start_standin(self, name, kind, software="v1"):
        self.ports[name] = free_port()
        self.software[name] = software
        script = "tests.support.platform_process"
        arguments = [kind, name, str(self.ports[name]), software, str(self.crash_file)]
        arguments.append(str(self.ports["store"]))
        self.deployment.spawn(name, [sys.executable, "-m", script, *arguments])

    def start_engine(self, software):
        """Start and register one more engine, of the software version; returns its name."""
        return self.start_server("engine", software)

    def start_server(self, kind, software="v1"):
        """Start and register one more ``engine`` or ``shop``; returns its name."""
        same = [name for name in self.servers if name.startswith(kind)]
        name = f"{kind}-{len(same) + 1}"
        self.start_standin(name, "engine" if kind == "engine" else "plain", software)
        self.wait(lambda: self.fetch(name, "/runs") is not None)
        self.servers.append(name)
        self.register(name)
        return name

    def start_again(self, name):
        """Start a server that has crashed."""
        self.starts[name] = self.starts.get(name, 1) + 1
        self.deployment.restart(name)
        self.wait(lambda: self.fetch(name, "/runs") is not None)

    def start_gateway(self, name):
        ports = self.ports.setdefault(name, [free_port() for _ in range(3)])
        path = self.folder / f"{name}.conf"
        added = "".join(f"{key}={value}\n" for key, value in self.settings.items())
        path.write_text(f"""node_name={name}
serves=edge
ip={HOST}
zone=cebu
region=visayas
zones.cebu=visayas
listen.frontend={HOST}:{ports[0]}
listen.ready_addr={HOST}:{ports[1]}
port_range={ports[2]},{ports[2]}
platform.address={HOST}:{self.path(name, "store", self.ports["store"])}
platform.value_bytes=1048576
bounds.grace_s=8
bounds.lease_ms=300
bounds.status_s=120
{self._duty_settings()}{added}""")
        command = [
            "env",
            f"PISTACHIONOTCH_BOOT={path}",
            "python",
            "-m",
            "pistachionotch",
            "gateway",
        ]
        self.deployment.spawn(name, command)

    def _duty_settings(self):
        if not self.duties:
            return ""
        return f"""cloud.address={HOST}:{self.path("gateways", "duties", self.ports["duties"])}
cloud.duties={','.join(self.duties)}
cloud.duty_per_s=40
bounds.report_window_s={WINDOW_S}
bounds.usage_late_s=10
"""

    def signal(self, name, number):
        self.deployment.send_signal(name, number)

    def log_lines(self, name):
        text = (self.deployment.folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def stop(self):
        self.deployment.stop()

    # The platform's side

    def address(self, name, which=0):
        port = self.ports[name]
        return Address(HOST, port if isinstance(port, int) else port[which])

    def fetch(self, name, path, method="GET", fields=None, which=0):
        body = b"" if fields is None else json.dumps(fields).encode()
        try:
            answer = Client(self.address(name, which)).ask(method, path, (), body)
        except ExchangeError:
            return None
        return json.loads(answer[2]) if answer[0] < 400 and answer[2] else None

    def ready(self, name):
        try:
            return Client(self.address(name, 1)).ask("GET", "/api/readyz")[0] == 200
        except ExchangeError:
            return False

    def write(self, kind, name, spec):
        """Create or replace an object of the store, as the operator and the servers do."""
        body = {"metadata": {"name": name}, "spec": spec}
        path = f"/api/objects/{kind}"

        def written():
            if self.fetch("store", path, "POST", body) is not None:
                return True
            return self.fetch("store", f"{path}/{name}", "PUT", body) is not None

        # In an outage the operator and the servers try again until the store accepts it.
        self.wait(written)

    def write_config(self, **changes):
        self.version += 1
        write = ConfigWrite(self.version, time.monotonic())
        self.config_writes.append(write)
        spec = configuration(self.version, self.scaling)
        if self.accounts is not None:
            spec["tenants"] = self.accounts(self.version)
        self.write("config", "main", {**spec, **changes})
        write.acknowledged = time.monotonic()

    def register(self, name, state="ready"):
        engine = name.startswith("engine")
        spec = {
            "service": "engines" if engine else "shop",
            "address": f"{HOST}:{self.path('gateways', name, self.ports[name])}",
            "zone": "cebu",
            "version": self.software[name],
            "slots": 4,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": self.starts.get(name, 1),
        }
        if engine:
            versions = (self.fetch(name, "/runs") or {"versions": {MODEL: 1}})["versions"]
            spec["models"] = [{"name": model, "version": versions[model]} for model in versions]
        self.write("servers", name, spec)

    def wait_until_listed(self, count):
        """Wait until each gateway knows this number of upstreams.

        Gateways learn about a removed registration some time after the store has answered.
        """
        for name in self.names:
            self.wait(lambda name=name: self.gauge(name, "upstreams_known") == count)

    def gauge(self, gateway, name):
        """Return the value of a gateway's metric, or None if the gateway doesn't answer."""
        try:
            _status, _headers, body = Client(self.address(gateway, 1)).ask("GET", "/metrics")
        except ExchangeError:
            return None
        for line in body.decode().splitlines():
            title, _, value = line.rpartition(" ")
            if not line.startswith("#") and title.partition("{")[0].endswith(f"_{name}"):
                return float(value)
        return None

    def unregister(self, name):
        self.fetch("store", f"/api/objects/servers/{name}", "DELETE")

    def runs(self, kind):
        """Return the runs of all servers of a kind, and which server made each."""
        found = []
        for name in self.servers:
            if name.startswith(kind):
                listed = self.fetch(name, "/runs") or {"runs": []}
                found.extend({**run, "server": name} for run in listed["runs"])
        for crash in self.crashes():
            if crash["server"].startswith(kind):
                found.extend(crash["runs"])
        return found

    def crashes(self):
        """Return the crashes of servers by a request, in their order."""
        if not self.crash_file.exists():
            return []
        return [json.loads(line) for line in self.crash_file.read_text().splitlines()]

    def faults(self, name, **switches):
        # A server that has crashed is back after a moment.
        self.wait(lambda: self.fetch(name, "/faults", "PUT", switches) is not None)

    def duty_calls(self):
        """Return the calls that the stand-in for duties has got, in their order."""
        return (self.fetch("duties", "/calls") or {"calls": []})["calls"]

    # Clients

    def client(self, gateway, key=None):
        return Client(self.address(gateway), self.key if key is None else key)

    def call(self, gateway, target, request, body=b"order", budget_ms=3_000, key=None):
        headers = [("Request-Id", request), ("Deadline-Ms", str(budget_ms))]
        return self.client(gateway, key).ask("POST", target, headers, body)

    def stream(self, gateway, request, begun_by="", last=None, budget_ms=6_000, body=b"prompt"):
        """Return status, events as numbers and texts, and whether the answer ended as complete.

        ``begun_by`` and ``last`` take up the stream that another request began.
        """
        headers = [("Request-Id", request), ("Deadline-Ms", str(budget_ms)), ("Model", MODEL)]
        if last is not None:
            headers += [("Last-Event-Id", str(last)), ("Resumes", begun_by)]
        return self.client(gateway).stream("/streams/x", headers, body)

    def submit(self, gateway, batch, groups=3, size=2, min_version=1, prompt="hello", model=MODEL):
        items = []
        prompt = base64.b64encode(prompt.encode()).decode()
        for group in range(groups):
            for number in range(size):
                items.append(
                    {
                        "id": f"{batch}-{group}-{number}",
                        "path": f"/steps/{batch}/{group}",
                        "headers": {"Model": MODEL, "Token-Usage": "10,10"},
                        "body": prompt,
                        "token_count": 20,
                        "group_id": f"{batch}-{group}",
                        "scorer": {
                            "id": f"{batch}-{group}-{number}{REWARD_SUFFIX}",
                            "hostname": HOSTNAME,
                            "path": "/safe/score",
                            "body": "c2NvcmU=",
                        },
                    }
                )
        fields = {
            "train_step": 0,
            "model": model,
            "min_version": min_version,
            "desired": groups,
            "items": items,
        }
        headers = [("Request-Id", batch), ("Content-Type", "application/json")]
        body = json.dumps(fields).encode()
        return self.client(gateway).ask("POST", f"/steps/{batch}", headers, body)[0]

    def submit_odd(self, gateway, batch, body):
        """Submit a batch with a body of the caller; returns status and body of the answer."""
        headers = [("Request-Id", batch), ("Content-Type", "application/json")]
        status, _headers, answer = self.client(gateway).ask("POST", "/steps/odd", headers, body)
        return status, answer

    def read(self, gateway, batch, after=0, key=None):
        target = f"/api/lots/{batch}?after={after}"
        status, _headers, body = self.client(gateway, key).ask("GET", target)
        return json.loads(body) if status == 200 else status

    def read_all(self, batch, timeout_s=15.0):
        """Read at changing gateways until all results are there, as a trainer does."""
        results = []
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            name = random.choice(self.names)
            try:
                page = self.read(name, batch, len(results))
            except ExchangeError:
                page = None
            if isinstance(page, dict):
                results.extend(page["results"])
                if len(results) == page["total"]:
                    return results
            time.sleep(0.1)
        raise AssertionError(f"{len(results)} results of {batch} after {timeout_s} s")

    def end(self, gateway, batch, key=None):
        return self.client(gateway, key).ask("DELETE", f"/api/lots/{batch}")[0]

    def owner(self, batch):
        """Return the gateway that the store names as the owner of a batch, empty if unknown."""
        batch = scoped_batch_id(self.account, batch)
        head = self.fetch("store", f"/api/objects/batches/{batch}")
        if head is None:
            return ""
        owner = head["spec"]["owner"]["node"]
        for number in range(1_000):
            entry = self.fetch("store", f"/api/objects/batch-log/{batch}.{number:05d}")
            if entry is None:
                break
            owner = entry["spec"].get("owner", {"node": owner})["node"]
        return owner

    @staticmethod
    def wait(condition, timeout_s=READY_S):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(STEP_MS / 1000)
        raise AssertionError("the condition did not come true")


def new_id():
    return secrets.token_hex(8)
