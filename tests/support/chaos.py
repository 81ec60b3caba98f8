"""Seeded chaos run: ``python -m tests.support.chaos [SEED...] [--seconds N]``."""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import argparse
import base64
import contextlib
import json
import random
import sys
import time
from collections import Counter, defaultdict

import attrs
import gevent

from pistachionotch.standins.ledger import read_ledger
from tests.support.deployment import ROOT, Deployment, free_port
from tests.support.faults import (
    AGENTS,
    ENGINES,
    ENTRIES,
    FAR,
    SERVICES,
    UPSTREAMS,
    ZONES,
    Faults,
    make_plan,
)
from tests.support.forwarder import Forwarder
from tests.support.load import SAMPLE_TOKENS, STALENESS_BOUND, Load, exchange, prompt_of, read_spans
from tests.support.operation_oracle import (
    Arrival,
    check_configuration,
    check_departures,
    check_recovery,
)
from tests.support.operators import Operators
from tests.support.oracle import (
    Delivery,
    EngineRun,
    Response,
    Run,
    check_orders,
    check_responses,
    check_samples,
)

CONFIGURATION = ROOT / "examples" / "bituin" / "configuration.jsonc"
# All that the faults delay has to be answered within the time of this many leases.
SETTLE_S = 30.0


@attrs.define
class ChaosRun:
    """Start a deployment, bring the faults of a seed about under load, and ask the oracle."""

    seed: int
    seconds: float
    deployment: Deployment
    forwarders: dict = attrs.field(factory=dict)
    unready: set = attrs.field(factory=set)
    faults: Faults = None
    load: Load = None
    operators: Operators = None
    violations: list = attrs.field(factory=list)

    def run(self):
        plan = make_plan(self.seed, self.seconds)
        print(f"seed {self.seed}, {self.seconds:.0f} s, logs in {self.deployment.folder}")
        print("\n".join(str(fault) for fault in plan), flush=True)
        self.start()
        ports = self.deployment.ports
        entries = {name: ports[name] for name in ENTRIES}
        agents = {name: ports[f"{name}-http"] for name in AGENTS}
        rng = random.Random(f"operators-{self.seed}")
        self.load = Load(entries, random.Random(f"load-{self.seed}"), self.unready)
        self.operators = Operators(ports["object-store"], {**entries, **agents}, rng)
        self.faults = Faults(self.deployment, self.forwarders, self.unready)
        self.deployment.list_vms()
        self.faults.slow_services(SERVICES)
        started_s = time.monotonic()
        self.load.start()
        watches = self.operators.start()
        jobs = []
        for fault in plan:
            gevent.sleep(max(0, started_s + fault.at_s - time.monotonic()))
            jobs.append(gevent.spawn(self.faults.bring_about, fault))
        gevent.joinall(jobs, raise_error=True)
        self.load.finish(SETTLE_S)
        self.violations = check_recovery({name: self.used(name) for name in ENTRIES}, AGENTS)
        self.operators.stopping = True
        gevent.joinall(watches, raise_error=True)
        self.judge()

    def used(self, entry):
        with contextlib.suppress(AssertionError):
            self.deployment.wait_agents(entry, len(AGENTS))
        return {each["node"] for each in self.deployment.status(entry)["agents"] if each["ready"]}

    def start(self):
        deployment = self.deployment
        deployment.start_platform()
        stored = exchange(
            deployment.ports["object-store"],
            "PUT",
            "/objects/control/config",
            CONFIGURATION.read_bytes(),
            {"If-None-Match": "*"},
        )
        assert stored.status == 200, stored
        far_store = Forwarder(deployment.ports["object-store"], lambda _port: True)
        self.forwarders["object-store"] = far_store
        deployment.store_ports["luzon"] = far_store.port
        for zone, (_entry, first, second, engine, service) in ZONES.items():
            deployment.start_standin(engine, "engine", "fitting")
            deployment.start_standin(service, "plain-service", "storefront")
            for agent in (first, second):
                port = deployment.ports.setdefault(agent, free_port())
                self.forwarders[agent] = Forwarder(port, self.crossing(zone))
                deployment.move_member(agent, self.forwarders[agent].port)
            deployment.start_agent(first, zone, engine, "engine", "fitting")
            deployment.start_agent(second, zone, service, "plain-service", "storefront", 16)
        for zone, names in ZONES.items():
            deployment.start_entry(names[0], zone)
        for name in ENTRIES:
            deployment.wait_agents(name, len(AGENTS))

    def crossing(self, zone):
        """Return the test whether a connection to this zone comes from the other region."""

        def crosses(client_port):
            client = self.deployment.owner(client_port)
            return bool(client) and (client in FAR) != (zone == "manila")

        return crosses

    def judge(self):
        load = self.load
        calls = [record for name in SERVICES for record in self.records(name)]
        runs = [Run(parse_order(call["body"]), call["request"], call["at"]) for call in calls]
        engine_runs = self.engine_runs()
        deliveries = [self.delivery(engine_runs, *pulled) for pulled in load.pulled]
        self.violations += [
            *check_orders(runs, load.answers),
            *check_responses(load.responses, engine_runs),
            *check_samples(load.wanted, deliveries, engine_runs, STALENESS_BOUND),
            *check_departures(
                self.faults.departures, self.arrivals(), load.exchanges, self.faults.disturbances
            ),
            *check_configuration(
                self.operators.applied, self.operators.sightings, self.faults.disturbances
            ),
            *load.unsettled,
            *[
                f"process {name} ended by itself with code {process.returncode}"
                for name, process in self.deployment.processes.items()
                if process.poll() is not None
            ],
            *[
                f"{name} logged an unhandled exception"
                for name in self.deployment.processes
                if "Traceback" in self.deployment.log(name)
            ],
        ]
        complete = sum(response.complete for response in load.responses)
        done = len({answer.order for answer in load.answers if 200 <= answer.status < 300})
        orders = len({answer.order for answer in load.answers})
        print(
            f"seed {self.seed}: {orders} orders in {len(load.answers)} attempts, {len(runs)} ran,"
            f" {done} answered; {len(load.responses)} completions, {complete} complete;"
            f" {len(load.wanted)} steps, {len(deliveries)} samples, version {load.published};"
            f" {len(self.faults.departures)} departures, {len(self.operators.applied)} revisions"
            f" and {self.operators.refused} refused;"
            f" {len(self.violations)} violations"
        )
        kinds = Counter(each.kind for each in self.faults.disturbances)
        held = sum(forwarder.held for forwarder in self.forwarders.values())
        print(f"  processes disturbed: {dict(kinds)}; connections held by a cut: {held}")
        for violation in self.violations:
            print(f"  {violation}")
        sys.stdout.flush()

    def records(self, name):
        return read_ledger(self.deployment.ledger_file(name))

    def arrivals(self):
        return [
            Arrival(agent, name, record["request"], record["at"])
            for agent, name in UPSTREAMS.items()
            for record in self.records(name)
            if "request" in record
        ]

    def engine_runs(self):
        started, versions = [], defaultdict(list)
        for record in (record for name in ENGINES for record in self.records(name)):
            if "version" in record:
                versions[record["run"]].append(record["version"])
            else:
                started.append(record)
        return [
            EngineRun(
                record["request"],
                record["prompt"],
                record["seed"] or 0,
                record["max_tokens"],
                tuple(versions[record["run"]]),
            )
            for record in started
        ]

    def delivery(self, engine_runs, step, newest, sample):
        slot = (sample["group"], sample["index"])
        name = sample["id"]
        request = f"{step}-{slot[0]}-{slot[1]}-{name[:6]}"
        # The entry draws the seed, so it is taken from the engine's ledger.
        seed = next((run.seed for run in engine_runs if run.request == request), -1)
        response = Response(
            request,
            prompt_of(step, slot[0]),
            seed,
            SAMPLE_TOKENS,
            base64.b64decode(sample["body"]).decode(),
            True,
            read_spans(sample),
        )
        return Delivery(step, slot, name, newest, response)


def parse_order(body):
    return json.loads(body)["order"]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", nargs="*", type=int, default=[1], metavar="SEED")
    parser.add_argument("--seconds", type=float, default=60)
    arguments = parser.parse_args()
    broken = False
    for seed in arguments.seeds:
        deployment = Deployment()
        run = ChaosRun(seed, arguments.seconds, deployment)
        try:
            run.run()
        finally:
            deployment.stop()
        broken = broken or bool(run.violations)
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
