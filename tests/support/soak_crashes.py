"""Requests of the soak that crash servers, and the rules about them."""

import gevent

from pistachionotch.http_client import ExchangeError
from tests.support.platform import new_id

DEADLY = (b"deadly call", b"deadly order", b"deadly stream")
# The platform allows this many runs of a request later than the time after its third crash.
MOST_LATE_RUNS = 3
KNOWN_AFTER_S = 4.0
CRASHES_UNTIL_KNOWN = 3
SHOPS = 3
FINAL = 400


def send_deadly(load):
    """Send requests that crash servers again and again, at any gateway."""
    while not load.stopping:
        gevent.sleep(load.rng.uniform(0.3, 2.0))
        if load.calm:
            continue
        body = load.rng.choice(DEADLY)
        # Clients send a request twice.
        for _ in range(2):
            name = load.rng.choice(load.platform.names)
            try:
                if body == DEADLY[2]:
                    load.platform.stream(name, new_id(), body=body)
                else:
                    kind = "safe" if body == DEADLY[0] else "unsafe"
                    load.platform.call(name, f"/{kind}/x", new_id(), body, 1_500)
            except ExchangeError:
                # The gateway or the server is gone, which is what this client is for.
                continue
            finally:
                gevent.sleep(load.rng.uniform(0.05, 0.3))


def check_crashes(crashes, downtimes):
    """Check that requests that crash servers are known, and leave a server of three."""
    problems = []
    for body in DEADLY:
        times = sorted(
            crash["crashed_by"]["at"]
            for crash in crashes
            if crash["crashed_by"]["body"] == body.decode()
        )
        if len(times) < CRASHES_UNTIL_KNOWN:
            continue
        known_at = times[CRASHES_UNTIL_KNOWN - 1] + KNOWN_AFTER_S
        late = [at for at in times if at > known_at]
        if len(late) > MOST_LATE_RUNS:
            problems.append(f"{body}: {len(times)} crashes, {len(late)} of them late")
    return problems + check_downtimes(crashes, downtimes)


def check_downtimes(crashes, downtimes):
    """Check that one request never takes all servers of a service of three."""
    problems = []
    for body in DEADLY[:2]:
        down = []
        for crash in crashes:
            if crash["crashed_by"]["body"] != body.decode():
                continue
            at = crash["crashed_by"]["at"]
            ends = [to for name, since, to in downtimes if name == crash["server"] and to > at]
            down.append((crash["server"], at, min(ends, default=at)))
        for _server, at, _to in down:
            together = {server for server, since, to in down if since <= at < to}
            if len(together) >= SHOPS:
                problems.append(f"{body}: all of {sorted(together)} down at {at:.2f}")
    return problems


def check_innocent(request, status):
    """Check that a request that crashes nothing is not refused for good."""
    return [f"{request}: innocent and refused for good"] if status == FINAL else []
