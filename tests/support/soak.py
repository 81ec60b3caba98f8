"""Fault soak of gateways: ``python -m tests.support.soak [SEED...] [--seconds N] [--gateways N]``.

Gateways run as separate processes between stand-ins of the users' platform. Faults come from
outside them, at random and overlapping: signals, and proxies before the object API and the servers.
Clients and trainers go on all the while; ``soak_oracle`` compares what they saw with what ran.
"""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import argparse
import random
import sys
import time
import zlib
from collections import defaultdict

import attrs
import gevent
from gevent.lock import BoundedSemaphore

from tests.support.forwarder import Forwarder
from tests.support.platform import MODEL, REWARD_SUFFIX, Platform
from tests.support.soak_accounts import STEADY, STEADY_KEY, accounts_of, check_accounts
from tests.support.soak_aimed import repeat_pauses, stop_planned
from tests.support.soak_crashes import check_crashes
from tests.support.soak_disturbances import Disturbances, Kind, gateways_that_sent
from tests.support.soak_duties import (
    check_duties,
    summarize,
    trouble_duties,
    with_monotonic_times,
)
from tests.support.soak_keys import check_keys, count_checked
from tests.support.soak_load import SoakLoad
from tests.support.soak_odd import OddSubmissions, burst_reads
from tests.support.soak_oracle import check_all, check_retirements, count_take_ups
from tests.support.soak_statuses import send_odd_statuses
from tests.support.soak_takeovers import (
    lose_successor_in_calm,
    repeat_losses,
    stop_beside_slow_readers,
)

GATEWAYS = 3
# What the faults delay is answered within this time after the last one.
SETTLE_S = 12.0
# A server that is registered as leaving gets nothing new after this time.
LEAVING_BOUND_S = 2.5
# A replaced engine stays registered as leaving for this time.
DRAIN_S = 2.0


@attrs.define
class Soak:
    """Bring the faults of a seed about under load."""

    seed: int
    seconds: float
    gateways: int = GATEWAYS
    rng: random.Random = attrs.field(init=False)
    # Randomness of the aimed faults; the others of a seed stay the same.
    aimed: random.Random = attrs.field(init=False)
    load: SoakLoad | None = None
    proxies: dict = attrs.field(factory=dict)
    departures: list = attrs.field(factory=list)
    leaving: set = attrs.field(factory=set)
    # Engines that left for good, and when; times in which the store could not be read by all.
    retirements: list = attrs.field(factory=list)
    outages: list = attrs.field(factory=list)
    disturbances: Disturbances = attrs.field(factory=Disturbances)
    named: int = 1
    # Engines that a release has replaced, and the number of software versions so far.
    retired: set = attrs.field(factory=set)
    releases: int = 1
    # Servers that are down after a crash, and who was down from when to when.
    crashed: set = attrs.field(factory=set)
    downtimes: list = attrs.field(factory=list)
    stopped: bool = False
    # One process fault at a time for each gateway.
    locks: dict = attrs.field(factory=lambda: defaultdict(BoundedSemaphore))
    platform: Platform = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.aimed = random.Random(self.seed + 4)

    def proxy(self, user, target, port):
        if target == "duties":
            # A proxy of its own would change which one is silenced under a seed.
            return port
        key = (user, target)
        if key not in self.proxies:
            self.proxies[key] = Forwarder(port, crosses=lambda _port: True)
        return self.proxies[key].port

    def run(self):
        self.platform = Platform(
            self.gateways, self.proxy, accounts_of, STEADY, STEADY_KEY, reports_usage=True
        )
        self.platform.start_server("shop")
        supervisor = gevent.spawn(self._supervise)
        load = self.load = SoakLoad(self.platform, random.Random(self.seed + 1))
        try:
            tasks = load.start()
            lose_successor_in_calm(self, load)
            self.platform.wait(lambda: not self._dead())
            stop_planned(self, load, self._name_of(self.aimed), calm=True)
            self.platform.wait(lambda: not self._dead())
            problems = burst_reads(self, load)
            self.platform.wait(lambda: not self._dead())
            problems += stop_beside_slow_readers(self, load, self._name_of(self.aimed))
            self.platform.wait(lambda: not self._dead())
            load.calm = False
            odd = OddSubmissions(self.platform, random.Random(self.seed + 5))
            tasks.append(gevent.spawn(odd.run))
            faults = [gevent.spawn(self._faults) for _ in range(2)]
            faults.append(gevent.spawn(self._name_limits))
            faults.append(gevent.spawn(self._release))
            faults.append(gevent.spawn(repeat_pauses, self, load))
            faults.append(gevent.spawn(repeat_losses, self, load, random.Random(self.seed + 6)))
            faults.append(gevent.spawn(send_odd_statuses, self, random.Random(self.seed + 7)))
            faults.append(gevent.spawn(trouble_duties, self.platform, self.seed, self.seconds))
            gevent.joinall(faults, raise_error=True)
            odd.stopping = True
            self._mend()
            # All gateways live on from here, and have to forget a key that they know.
            self._change_config()
            gevent.sleep(SETTLE_S)
            load.stop()
            gevent.joinall(tasks, timeout=20, raise_error=True)
            self.stopped = True
            supervisor.get(timeout=20)
            print(f"  take-ups: {count_take_ups(load.streams)}", file=sys.stderr)
            bound_s, faults = LEAVING_BOUND_S, self.disturbances
            problems += check_all(self.platform, load, self.departures, bound_s, faults)
            runs = self.platform.runs("engine")
            problems += check_retirements(
                runs, self.retirements, self.outages, bound_s, self._sent_by_disturbed
            )
            problems += check_accounts(load, [*runs, *self.platform.runs("shop")])
            problems += self._check_keys()
            problems += self._check_duties()
            problems += odd.check()
            problems += check_crashes(self.platform.crashes(), self.downtimes)
            problems += [f"{name} did not recover" for name in self._dead()]
            if problems:
                print(f"logs: {self.platform.deployment.folder}", file=sys.stderr)
            return problems
        finally:
            self.platform.stop()

    def _sent_by_disturbed(self, run):
        senders = gateways_that_sent(self.platform.deployment.folder, run)
        return bool(senders) and all(
            self.disturbances.excuses(sender, run["at"]) for sender in senders
        )

    def _check_keys(self):
        calls, writes = self.load.callers.calls, self.platform.config_writes
        checked = count_checked(calls, writes, self.disturbances)
        print(f"  calls with checked keys: {checked}", file=sys.stderr)
        return check_keys(calls, self.platform.runs("shop"), writes, self.disturbances)

    def _check_duties(self):
        calls = with_monotonic_times(self.platform.duty_calls())
        print(f"  duties: {summarize(calls)}", file=sys.stderr)
        return check_duties(calls, self.disturbances)

    def _supervise(self):
        """Start servers again that have crashed; until then nobody listens in their place."""
        while not self.stopped or self.crashed:
            for name in list(self.platform.servers):
                ended = self.platform.deployment.processes[name].poll() is not None
                if ended and name not in self.crashed:
                    self.crashed.add(name)
                    self.proxies[("gateways", name)].refuse()
                    gevent.spawn(self._revive, name, time.monotonic())
            gevent.sleep(0.01)

    def _revive(self, name, down_since):
        gevent.sleep(1.0 + 2.0 * (zlib.crc32(name.encode()) % 100) / 100)
        self.platform.start_again(name)
        self.downtimes.append((name, down_since, time.monotonic()))
        self.proxies[("gateways", name)].accept()
        if name not in self.leaving and name not in self.retired:
            self.platform.register(name)
        self.crashed.discard(name)

    def _dead(self):
        return [name for name in self.platform.names if not self.platform.ready(name)]

    def _faults(self):
        end = time.monotonic() + self.seconds
        kinds = [
            self._kill,
            self._terminate,
            self._pause,
            self._cut_store,
            self._silence,
            self._cut_server,
            self._store_outage,
            self._store_trouble,
            self._server_trouble,
            self._leave,
            self._name_version,
            self._name_version,
            self._change_config,
        ]
        while time.monotonic() < end:
            gevent.sleep(self.rng.uniform(0.2, 1.5))
            fault = self.rng.choice(kinds)
            print(f"  {time.monotonic():.2f} {fault.__name__}", file=sys.stderr)
            fault()

    def _gateway(self):
        return self._name_of(self.rng)

    def _name_of(self, rng):
        return rng.choice(self.platform.names)

    def _kill(self):
        name = self._gateway()
        self._kill_for(name, self.rng.uniform(0.1, 2.0))

    def _kill_for(self, name, down_s):
        with self.locks[name]:
            fault = self.disturbances.begin(Kind.ENDED, name)
            self.platform.deployment.kill(name)
            gevent.sleep(down_s)
            fault.end_with(self.platform.deployment.restart, name)

    def _terminate(self):
        name = self._gateway()
        with self.locks[name]:
            stop_planned(self, self.load, name, calm=False)

    def _pause(self):
        name = self._gateway()
        fault = self.disturbances.begin(Kind.FROZEN, name)
        self.platform.deployment.freeze(name)
        gevent.sleep(self.rng.uniform(0.5, 4.0))
        fault.end_with(self.platform.deployment.thaw, name)

    def _cut_store(self):
        name = self._gateway()
        proxy = self.proxies[(name, "store")]
        fault = self.disturbances.begin(Kind.CUT, name)
        started = time.monotonic()
        proxy.cut()
        gevent.sleep(self.rng.uniform(0.5, 5.0))
        fault.end_with(proxy.mend)
        self.outages.append((started, time.monotonic()))

    def _silence(self):
        self.rng.choice(list(self.proxies.values())).silence_open()

    def _cut_server(self):
        proxy = self.proxies[("gateways", self.rng.choice(self.platform.servers))]
        proxy.cut()
        gevent.sleep(self.rng.uniform(0.5, 3.0))
        proxy.mend()

    def _store_outage(self):
        fault = self.disturbances.begin(Kind.OUTAGE)
        started = time.monotonic()
        self.platform.faults("store", outage=True)
        gevent.sleep(self.rng.uniform(0.3, 3.0))
        fault.end_with(lambda: self.platform.faults("store", outage=False))
        self.outages.append((started, time.monotonic()))

    def _store_trouble(self):
        trouble = self.rng.choice(
            [{"lose_answers": 3}, {"lose_writes": 2}, {"slow_ms": 300}, {"forget": True}]
        )
        self.platform.faults("store", **trouble)
        gevent.sleep(self.rng.uniform(0.3, 2.0))
        self.platform.faults("store", slow_ms=0)

    def _server_trouble(self):
        trouble = self.rng.choice(
            [
                {"refuse": 5},
                {"fail": 2},
                {"lose_answers": 3},
                {"break_after": 3},
                {"surplus": 3},
                {"ignore_orders": 1},
                {"slow_ms": 400},
                {"fail_suffix": f"1{REWARD_SUFFIX}"},
                {"drip": 2},
                {"endless": 2},
            ]
        )
        name = self.rng.choice(self.platform.servers)
        self.platform.faults(name, **trouble)
        gevent.sleep(self.rng.uniform(0.3, 2.0))
        self.platform.faults(name, slow_ms=0, fail_suffix="")

    def _leave(self):
        name = self.rng.choice(self.platform.servers)
        if name in self.leaving:
            # The return that ends one departure would end another one too early.
            return
        self.leaving.add(name)
        self.platform.register(name, state="draining")
        left = time.monotonic()
        gevent.sleep(self.rng.uniform(3.0, 5.0))
        self.departures.append((name, left, time.monotonic()))
        self.platform.register(name)
        self.leaving.discard(name)

    def _name_limits(self):
        """Let servers name changing limits; the other faults of a seed stay the same."""
        rng = random.Random(self.seed + 2)
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            name = rng.choice(self.platform.servers)
            limit = rng.choice([[], ["0.5"], ["1"], ["3"], ["8"], ["x"], ["6", "2"], ["0"]])
            print(f"  {time.monotonic():.2f} {name} names {limit}", file=sys.stderr)
            self.platform.faults(name, limit=limit)
            gevent.sleep(rng.uniform(0.1, 2.0))

    def _release(self):
        """Replace engines in series; all gateways die meanwhile, at any moment of it."""
        rng = random.Random(self.seed + 3)
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            gevent.sleep(rng.uniform(0.5, 2.5))
            self.releases += 1
            series = gevent.spawn(
                self._replace_engines, f"v{self.releases}", rng.randint(1, 3), rng.uniform(0.0, 1.0)
            )
            if rng.random() < 0.6:
                gevent.sleep(rng.uniform(0.0, 3.0))
                print(f"  {time.monotonic():.2f} all gateways die", file=sys.stderr)
                down_s = rng.uniform(0.05, 0.5)
                kills = [gevent.spawn(self._kill_for, each, down_s) for each in self.platform.names]
                gevent.joinall(kills, raise_error=True)
            series.get()

    def _replace_engines(self, software, count, gap_s):
        """Start engines of a new software version; each takes the place of an older one."""
        old = [name for name in self.platform.servers if name.startswith("engine")]
        old = [name for name in old if name not in self.retired]
        for name in old[:count]:
            if name in self.leaving:
                # Its return would end this departure too.
                continue
            print(f"  {time.monotonic():.2f} {name} gives way to {software}", file=sys.stderr)
            self.leaving.add(name)
            self.platform.start_engine(software)
            self.platform.register(name, state="draining")
            self.retired.add(name)
            self.retirements.append((name, time.monotonic()))
            gevent.spawn_later(DRAIN_S, self.platform.unregister, name)
            gevent.sleep(gap_s)

    def _name_version(self):
        self.named += 1
        self.platform.write("versions", MODEL, {"model": MODEL, "version": self.named})

    def _change_config(self):
        self.platform.write_config()

    def _mend(self):
        for proxy in self.proxies.values():
            proxy.mend()
        self.platform.faults("store", outage=False, lose_answers=0, lose_writes=0, slow_ms=0)
        for name in self.platform.servers:
            self.platform.faults(name, limit=[], odd_statuses=[])
            if name not in self.retired:
                self.platform.register(name)


def main():
    """Run the seeds that are given, or a fresh one."""
    parser = argparse.ArgumentParser()
    parser.add_argument("seeds", nargs="*", type=int)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    options = parser.parse_args()
    failed = 0
    for seed in options.seeds or [random.SystemRandom().randrange(1_000_000)]:
        problems = Soak(seed, options.seconds, options.gateways).run()
        print(f"seed {seed}: {len(problems)} problems", flush=True)
        for problem in problems:
            print(f"  {problem}", flush=True)
        failed += bool(problems)
    return failed


if __name__ == "__main__":
    sys.exit(main())
