"""Take-overs whose gateway is lost, and slow readers beside a planned stop."""

import signal
import time
import zlib

import gevent

from tests.support.platform import HOSTNAME, new_id
from tests.support.platform_client import Client, credentials
from tests.support.slow_reader import SlowReader
from tests.support.soak_disturbances import CONTACT_S, Kind
from tests.support.soak_load import Step

# A gateway that nothing disturbs reads a batch this long after its owners were lost: the platform
# allows its items to be at no server for 5 s of steady state.
READ_S = CONTACT_S + 5.0
READ_PAUSE_S = 0.5
TAKE_OVER_S = 4.0
# Gateways that watch the store themselves do so at least once in this time.
COPYING_S = 4.0
# Gateways of which three are outside the directory of owners. They know each other after this time.
MANY_GATEWAYS = 5
CALM_S = 16.0
# Batches that are submitted until the owner of one is outside the directory.
SUBMISSIONS = 5
# Keeps the batch open while its owners are lost.
LOST_PROMPT = "play event_ms=300"
# Results of about 800 KB, which their readers have 2 s before the end of the grace period.
LARGE_ITEMS = 20
LARGE_PROMPT = "play event_ms=2 ascii=5000"
READERS = 4
PACE = 150_000
GRACE_S = 8.0


def outside_directory(platform):
    """Return the gateways that don't keep the directory of owners: all but two, by their names."""
    return sorted(platform.names, key=lambda name: zlib.crc32(name.encode()))[2:]


def watches(platform, name):
    """Return how often a gateway has watched the servers in the store itself."""
    page = Client(platform.address(name, 1)).ask("GET", "/metrics")[2].decode()
    lines = [line for line in page.splitlines() if 'kind="servers, watch"' in line]
    return sum(float(line.rpartition(" ")[2]) for line in lines if "store_calls" in line)


def copying(platform):
    """Return the gateways that use the directory: they copy the listings of its two gateways."""
    names = outside_directory(platform)
    former = {name: watches(platform, name) for name in names}
    gevent.sleep(COPYING_S)
    return [name for name in names if watches(platform, name) == former[name]]


def submit_lasting(platform, load):
    """Submit a batch whose owner is outside the directory; returns it and its owner, or None."""
    for _ in range(SUBMISSIONS):
        name = f"l-{new_id()[:8]}"
        step = Step(name, 0, 6, LOST_PROMPT, model="", may_end_early=True)
        if not load.submit(step):
            continue
        owner = platform.owner(step.id)
        if owner in outside_directory(platform):
            return step, owner
        gevent.spawn(load.collect, step)
    return None


def lose_successor(soak, load, readers=()):
    """Kill the owner of a batch, and the gateway that takes it over right after its write.

    It is read afterwards at one of ``readers``, if one is left.
    """
    platform = soak.platform
    found = submit_lasting(platform, load)
    if found is None:
        return
    step, owner = found
    names = [*outside_directory(platform), *platform.names]
    others = [name for name in dict.fromkeys([*readers, *names]) if name != owner]
    reader, successor = others[0], others[1]
    for name in platform.names:
        load.read(step, name)
    started = time.monotonic()
    with soak.locks[owner], soak.locks[successor]:
        platform.faults("store", hold_owner=successor)
        faults = [soak.disturbances.begin(Kind.ENDED, owner)]
        platform.deployment.kill(owner)
        taking_over = gevent.spawn(load.read, step, successor)
        while platform.owner(step.id) != successor and time.monotonic() < started + TAKE_OVER_S:
            gevent.sleep(0.02)
        faults.append(soak.disturbances.begin(Kind.ENDED, successor))
        platform.deployment.kill(successor)
        taking_over.kill()
        platform.faults("store", hold_owner="")
        lost = time.monotonic()
        page = None
        while not isinstance(page, dict) and time.monotonic() < lost + READ_S:
            page = load.read(step, reader)
            gevent.sleep(READ_PAUSE_S)
        if not isinstance(page, dict) and soak.disturbances.is_calm(reader, started):
            load.problems.append(f"{step.id}: not read at {reader} after two owners were lost")
        for fault, name in zip(faults, (owner, successor), strict=True):
            fault.end_with(platform.deployment.restart, name)
    load.collect(step)


def lose_successor_in_calm(soak, load):
    """Lose a successor before the other faults, if enough gateways are outside the directory."""
    if soak.gateways >= MANY_GATEWAYS:
        gevent.sleep(CALM_S)
        lose_successor(soak, load, copying(soak.platform))


def repeat_losses(soak, load, rng):
    """Lose successors now and then, beside the other faults."""
    end = time.monotonic() + soak.seconds
    while time.monotonic() < end:
        gevent.sleep(rng.uniform(2.0, 5.0))
        lose_successor(soak, load)


def read_slowly(platform, name, batch, pace):
    """Read the results of a batch at a gateway."""
    lines = [f"GET /api/lots/{batch}?after=0 HTTP/1.1", f"Host: {HOSTNAME}"]
    lines += [f"{title}: {value}" for title, value in credentials(platform.key)]
    return SlowReader(platform.address(name), "\r\n".join([*lines, "", ""]).encode(), pace)


def stop_beside_slow_readers(soak, load, name):
    """Stop a gateway whose clients read slowly; returns problems. Nothing else is disturbed."""
    platform = soak.platform
    step = Step(f"slow-{new_id()[:6]}", 1, LARGE_ITEMS, LARGE_PROMPT, may_end_early=True)
    if not load.submit(step):
        return [f"{step.id}: not accepted without a fault"]
    end = time.monotonic() + 20.0
    while len(step.results) < LARGE_ITEMS and time.monotonic() < end:
        load.read(step, name, len(step.results))
        gevent.sleep(0.1)
    readers = [read_slowly(platform, name, step.id, PACE) for _ in range(READERS)]
    silent = read_slowly(platform, name, step.id, 0)
    gevent.sleep(0.5)
    fault = soak.disturbances.begin(Kind.ENDED, name)
    process = platform.deployment.processes[name]
    process.send_signal(signal.SIGTERM)
    stopped = time.monotonic()
    while process.poll() is None and time.monotonic() < stopped + 2 * GRACE_S:
        gevent.sleep(0.02)
    took_s = time.monotonic() - stopped
    gevent.joinall([reader.task for reader in readers], timeout=2 * GRACE_S)
    silent.sock.close()
    fault.end_with(platform.deployment.restart, name)
    problems = [
        f"{name}: cut an answer after {len(reader.received)} bytes, {took_s:.1f} s after SIGTERM"
        for reader in readers
        if not reader.is_whole()
    ]
    if took_s > GRACE_S:
        problems.append(f"{name}: ran {took_s:.1f} s after SIGTERM for a client that reads nothing")
    gevent.spawn(load.collect, step)
    return problems
