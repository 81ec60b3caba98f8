"""Operators of a chaos run, who race each other, and what the processes then have in force."""

import re
import secrets
import time

import attrs
import gevent
from returns.result import Failure

from pistachionotch.config.apply import ApplySuccess, apply, fetch
from pistachionotch.objects.client import HttpObjectStore
from tests.support.deployment import HOST
from tests.support.load import exchange
from tests.support.operation_oracle import Applied, Sighting

ROUND_S = (1.5, 4.0)
SIGHTING_S = 0.5
SIGHTING_LIMIT_S = 2.0


@attrs.define
class Operators:
    """Two operators who change the same revision at the same time, and a watch on each process.

    ``ports`` are the HTTP ports of the processes by their names.
    """

    store_port: int
    ports: dict
    rng: object
    applied: list = attrs.field(factory=list)
    sightings: list = attrs.field(factory=list)
    refused: int = 0
    stopping: bool = False

    def start(self):
        watches = [gevent.spawn(self.watch, *item) for item in self.ports.items()]
        return [gevent.spawn(self.race), *watches]

    def race(self):
        store = HttpObjectStore(HOST, self.store_port)
        while not self.stopping:
            gevent.sleep(self.rng.uniform(*ROUND_S))
            base = fetch(store)
            if isinstance(base, Failure):
                continue
            jobs = [gevent.spawn(self.change, name, base.unwrap()) for name in ("first", "second")]
            gevent.joinall(jobs, raise_error=True)

    def change(self, operator, base):
        # Each text is new, because one that is in force already would be accepted without a write.
        value = f'"heartbeat_ms": {2000 + 2 * len(self.sightings) % 400 + len(operator) % 2}'
        text = re.sub(r'"heartbeat_ms": \d+', value, base.text)
        store = HttpObjectStore(HOST, self.store_port)
        done = apply(store, text, f"{operator}.jsonc", base, secrets.token_hex(8)).value_or(None)
        if not isinstance(done, ApplySuccess):
            self.refused += 1
        elif done.changed:
            self.applied.append(Applied(operator, base.revision, done.revision, time.monotonic()))

    def watch(self, process, port):
        while not self.stopping:
            sent_s = time.monotonic()
            reply = exchange(port, "GET", "/v1/status", limit_s=SIGHTING_LIMIT_S)
            if reply.status == 200:
                fields = reply.json()
                revision = fields["config_revision"]
                seen = Sighting(process, fields["incarnation"], revision, sent_s)
                self.sightings.append(seen)
            gevent.sleep(SIGHTING_S)
