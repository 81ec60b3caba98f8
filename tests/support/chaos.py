"""Seeded chaos run: ``python -m tests.support.chaos [SEED...] [--seconds N]``."""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import argparse
import base64
import json
import random
import sys
import time
from collections import defaultdict

import attrs
import gevent

from pistachionotch.standins.ledger import read_records
from tests.support.deployment import ROOT, Deployment, wait_for_port
from tests.support.forwarder import Forwarder
from tests.support.load import (
    SAMPLE_TOKENS,
    STALENESS_BOUND,
    TRAINER,
    Load,
    exchange,
    prompt_of,
    read_spans,
)
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
# Leases last 6 s, so this is longer than every lease.
BEYOND_LEASES_S = (7.5, 9.0)
SHORT_S = (0.3, 2.0)
SOME_S = (2.0, 4.0)
# All that the faults delay has to be answered within the time of this many leases.
SETTLE_S = 30.0
ENTRIES = ("entry-1", "entry-2")
ENGINES = ("engine-1", "engine-2")
SERVICES = ("storefront-1", "storefront-2")
FORWARDED = ("agent-1", "agent-3")

# Kind, target, range of durations. Agents behind a forwarder are not killed, because they would
# register their own address again.
FAULTS = [
    *[("kill", name, SHORT_S) for name in (*ENTRIES, "agent-2", "agent-4", *ENGINES, *SERVICES)],
    *[("freeze", name, BEYOND_LEASES_S) for name in (*ENTRIES, "agent-1", "agent-4", "engine-2")],
    *[("silence", name, SOME_S) for name in FORWARDED],
    ("outage", "object-store", BEYOND_LEASES_S),
    ("slow", "object-store", SOME_S),
    ("slow-writes", "object-store", SOME_S),
    ("lost-answers", "object-store", SOME_S),
    ("lost-writes", "object-store", SOME_S),
    *[("broken-streams", name, SOME_S) for name in ENGINES],
    ("failed-orders", "engine-1", SOME_S),
    ("lost-orders", "engine-2", SOME_S),
    *[("lost-calls", name, SOME_S) for name in SERVICES],
]
# Switches of the stand-ins while a fault lasts, and afterwards; 4 s is beyond the client's limit.
SWITCHES = {
    "outage": ({"outage": True}, {"outage": False}),
    "slow": ({"slow_ms": 400}, {"slow_ms": 0}),
    "slow-writes": ({"slow_ms": 4000}, {"slow_ms": 0}),
    "lost-answers": ({"lose_answers": 6}, {"lose_answers": 0}),
    "lost-writes": ({"lose_writes": 6}, {"lose_writes": 0}),
    "broken-streams": ({"break_after_tokens": 4}, {"break_after_tokens": -1}),
    "failed-orders": ({"fail_orders": 2}, {"fail_orders": 0}),
    "lost-orders": ({"lose_order_answers": 2}, {"lose_order_answers": 0}),
    "lost-calls": ({"lose_next_answers": 3}, {"lose_next_answers": 0}),
}


@attrs.frozen
class Fault:
    at_s: float
    lasts_s: float
    kind: str
    target: str

    def __str__(self):
        return f"{self.at_s:6.1f} s  {self.kind} {self.target} for {self.lasts_s:.1f} s"


def make_plan(seed, seconds):
    """Return faults from a shuffled deck, one or two at a time, as the seed says."""
    rng = random.Random(f"plan-{seed}")
    deck, plan, at_s = [], [], 2.0
    while at_s < seconds:
        chosen = {}
        for _ in range(rng.choice((1, 2, 2))):
            if not deck:
                deck = rng.sample(FAULTS, len(FAULTS))
            kind, target, (low, high) = deck.pop()
            chosen.setdefault(target, Fault(at_s, rng.uniform(low, high), kind, target))
        plan += chosen.values()
        at_s += max(fault.lasts_s for fault in chosen.values()) + rng.uniform(0.5, 2.0)
    return plan


@attrs.define
class ChaosRun:
    """Start a deployment, bring the faults of a seed about under load, and ask the oracle."""

    seed: int
    seconds: float
    deployment: Deployment
    forwarders: dict = attrs.field(factory=dict)
    load: Load = None
    violations: list = attrs.field(factory=list)

    def run(self):
        plan = make_plan(self.seed, self.seconds)
        print(f"seed {self.seed}, {self.seconds:.0f} s, logs in {self.deployment.folder}")
        print("\n".join(str(fault) for fault in plan), flush=True)
        self.start()
        ports = [self.deployment.ports[name] for name in ENTRIES]
        self.load = Load(ports, random.Random(f"load-{self.seed}"))
        started_s = time.monotonic()
        self.load.start()
        jobs = []
        for fault in plan:
            gevent.sleep(max(0, started_s + fault.at_s - time.monotonic()))
            jobs.append(gevent.spawn(self.bring_about, fault))
        gevent.joinall(jobs, raise_error=True)
        self.load.finish(SETTLE_S)
        self.judge()

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
        for number, zone in ((1, "cebu"), (2, "iloilo")):
            engine, service = f"engine-{number}", f"storefront-{number}"
            deployment.start_standin(engine, "engine", "fitting")
            deployment.start_agent(f"agent-{number}", zone, engine, "engine", "fitting")
            deployment.start_standin(service, "plain-service", "storefront")
            agent = f"agent-{number + 2}"
            deployment.start_agent(agent, zone, service, "plain-service", "storefront", 16)
        for name in FORWARDED:
            self.forwarders[name] = Forwarder(deployment.ports[name])
            deployment.move_member(name, self.forwarders[name].port)
        for name in ENTRIES:
            deployment.start_entry(name, "cebu")
        for name in ENTRIES:
            deployment.wait_agents(name, 4)

    def bring_about(self, fault):
        deployment = self.deployment
        if fault.kind == "silence":
            self.forwarders[fault.target].silence_open()
            return
        if fault.kind == "kill":
            deployment.kill(fault.target)
            gevent.sleep(fault.lasts_s)
            deployment.restart(fault.target)
            # The next fault may be a switch of this process.
            wait_for_port(deployment.ports[fault.target])
            return
        if fault.kind == "freeze":
            deployment.freeze(fault.target)
            gevent.sleep(fault.lasts_s)
            deployment.thaw(fault.target)
            return
        during, afterwards = SWITCHES[fault.kind]
        deployment.faults(fault.target, **during)
        gevent.sleep(fault.lasts_s)
        deployment.faults(fault.target, **afterwards)

    def judge(self):
        load = self.load
        calls = [record for name in SERVICES for record in self.records(name)]
        runs = [Run(parse_order(call["body"]), call["request"], call["at"]) for call in calls]
        engine_runs = self.engine_runs()
        deliveries = [self.delivery(engine_runs, *pulled) for pulled in load.pulled]
        self.violations = [
            *check_orders(runs, load.answers),
            *check_responses(load.responses, engine_runs),
            *check_samples(load.wanted, deliveries, engine_runs, STALENESS_BOUND),
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
            f" {len(self.violations)} violations"
        )
        for violation in self.violations:
            print(f"  {violation}")
        sys.stdout.flush()

    def records(self, name):
        return read_records(self.deployment.ledger_file(name))

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
        request = f"{TRAINER}-{step}-{slot[0]}-{slot[1]}-{name[:6]}"
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
