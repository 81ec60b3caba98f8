"""Odd submissions, and bursts of short reads in an outage, and what clients of the soak may see."""

import json
import socket
import time

import attrs
import gevent

from pistachionotch.http_client import ExchangeError
from tests.support.platform import MODEL, new_id
from tests.support.platform_client import HOSTNAME, credentials
from tests.support.soak_disturbances import Kind
from tests.support.soak_load import Step

# An outage in which owners lose the confirmation of their batches, and the reads in it: at each
# gateway this many clients read at once on new connections, twice a second.
BURST_OUTAGE_S = 4.5
BURST_READERS = 100
BURST_PAUSE_S = 0.5
BURST_TIMEOUT_S = 3.0
# Keeps the batch open over the outage.
BURST_PROMPT = "play event_ms=900"
SUBMIT_PAUSE_S = 0.4
# Accepted batches are complete this long after the last fault.
COMPLETE_S = 10.0
# Changes of a submission that is within the platform's limits, by name: of its id, its fields and
# each of its items.
SOUND = {
    "estimate of 21 digits": ("{}", {}, {"hint": "1" + "0" * 20}),
    "estimate of 300 digits": ("{}", {}, {"hint": "9" * 300}),
    "slash in the id": ("{}/x", {}, {}),
    "tilde in the id": ("{}~x", {}, {}),
}
# Those that can't be kept, by the field that a refusal names; nothing is owed after a refusal.
UNSOUND = {
    "token_count": ("{}", {}, {"token_count": 1e30}),
    "desired": ("{}", {"desired": "9" * 26}, {}),
    "train_step": ("{}", {"train_step": 10**30}, {}),
    "min_version": ("{}", {"min_version": 1e30}, {}),
    "group_id": ("{}", {}, {"group_id": "\ud800"}),
}


@attrs.define
class OddBatch:
    """A batch with one odd value, and the answers to its submission."""

    id: str
    name: str
    statuses: list = attrs.field(factory=list)
    reason: str = ""

    @property
    def accepted(self):
        return 202 in self.statuses


@attrs.define
class OddSubmissions:
    """Submits odd batches all the while; two ids that differ in one character come in a row."""

    platform: object
    rng: object
    batches: list = attrs.field(factory=list)
    stopping: bool = False

    def run(self):
        while not self.stopping:
            base = f"odd-{new_id()[:6]}"
            for name, (template, fields, item) in {**SOUND, **UNSOUND}.items():
                prefix = base if template != "{}" else f"odd-{new_id()[:6]}"
                batch = OddBatch(template.format(prefix), name)
                self.batches.append(batch)
                self._submit(batch, fields, item)
                gevent.sleep(self.rng.uniform(0.0, SUBMIT_PAUSE_S))

    def _submit(self, batch, fields, item):
        while not self.stopping:
            gateway = self.rng.choice(self.platform.names)
            try:
                body = odd_submission(batch.id, fields, item)
                status, reason = self.platform.submit_odd(gateway, batch.id, body)
            except ExchangeError:
                status, reason = 0, b""
            batch.statuses.append(status)
            if status in (202, 400):
                batch.reason = reason.decode()
                return
            gevent.sleep(SUBMIT_PAUSE_S)

    def check(self):
        """Return what was broken, after the faults."""
        problems = []
        end = time.monotonic() + COMPLETE_S
        for batch in self.batches:
            if 400 in batch.statuses and batch.name in SOUND:
                problems.append(f"{batch.id}: refused for its {batch.name}: {batch.reason}")
            if 400 in batch.statuses and batch.name not in SOUND and batch.name not in batch.reason:
                problems.append(f"{batch.id}: {batch.name} is not named in {batch.reason}")
            if batch.accepted:
                problems += self._check_accepted(batch, end)
        return problems

    def _check_accepted(self, batch, end):
        """Check that each gateway knows an accepted batch, with its result if it can have one."""
        expected = [f"{batch.id}-0"] if batch.name in SOUND else []
        problems = []
        for name in self.platform.names:
            found = self._read_ids(name, batch)
            while found is None or len(found) < len(expected):
                if time.monotonic() >= end:
                    break
                gevent.sleep(SUBMIT_PAUSE_S)
                found = self._read_ids(name, batch)
            if found is None or found[: len(expected)] != expected:
                problems.append(f"{batch.id}: {batch.name}: accepted, and read at {name}: {found}")
        return problems

    def _read_ids(self, name, batch):
        """Return the ids of the results of a batch; None unless the read is answered with 200."""
        try:
            page = self.platform.read(name, batch.id)
        except ExchangeError:
            return None
        return [result["id"] for result in page["results"]] if isinstance(page, dict) else None


def burst_reads(soak, load):
    """Let many clients read a batch at each gateway while the store is down; returns problems."""
    platform = soak.platform
    # Its items take 7.2 s each; other steps have to be complete after 5 s without a fault.
    step = Step(f"burst-{new_id()[:6]}", 1, 8, BURST_PROMPT, may_end_early=True)
    if not load.submit(step):
        return [f"{step.id}: not accepted without a fault"]
    fault = soak.disturbances.begin(Kind.OUTAGE)
    started = time.monotonic()
    platform.faults("store", outage=True)
    cut = dict.fromkeys(platform.names, 0)
    bursts = []
    while time.monotonic() < started + BURST_OUTAGE_S:
        for name in platform.names:
            bursts += [
                gevent.spawn(_read_once, platform, name, step.id, cut) for _ in range(BURST_READERS)
            ]
        gevent.sleep(BURST_PAUSE_S)
    fault.end_with(lambda: platform.faults("store", outage=False))
    soak.outages.append((started, time.monotonic()))
    gevent.joinall(bursts, timeout=2 * BURST_TIMEOUT_S)
    problems = [
        f"{name}: cut {number} reads in an outage" for name, number in cut.items() if number
    ]
    for name in platform.names:
        ended = platform.deployment.processes[name].poll()
        if ended is not None:
            problems.append(f"{name}: ended by itself with status {ended} in an outage")
            platform.deployment.restart(name)
    gevent.spawn(load.collect, step)
    return problems


def _read_once(platform, name, batch, cut):
    """Read on a new connection; counts one that is closed without an answer."""
    lines = [f"GET /api/lots/{batch}?after=0 HTTP/1.1", f"Host: {HOSTNAME}", "Connection: close"]
    lines += [f"{title}: {value}" for title, value in credentials(platform.key)]
    address = platform.address(name)
    try:
        with socket.create_connection((address.host, address.port), BURST_TIMEOUT_S) as sock:
            sock.sendall("\r\n".join([*lines, "", ""]).encode())
            if not sock.recv(65_536):
                cut[name] += 1
    except ConnectionError:
        cut[name] += 1
    except TimeoutError:
        # A busy machine; whether a gateway answers in time is checked elsewhere.
        return


def odd_submission(batch, fields, item):
    """Return the body of a submission of one item with odd values."""
    headers = {"Model": MODEL, "Token-Usage": "10,10"}
    values = {"token_count": 20, "group_id": f"{batch}-0", **item}
    if "hint" in values:
        headers["Length-Hint"] = values.pop("hint")
    item = {"id": f"{batch}-0", "path": "/steps/odd", "headers": headers, "body": "aGVsbG8="}
    defaults = {"train_step": 0, "model": MODEL, "min_version": 1, "desired": 1}
    return json.dumps({**defaults, **fields, "items": [{**item, **values}]}).encode()
