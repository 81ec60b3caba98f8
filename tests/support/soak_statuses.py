"""Servers that answer with a status that is none of an answer, and what clients may see of it."""

import time

import gevent

ODD_STATUSES = ("000", "099", "600", "700", "999")


def send_odd_statuses(soak, rng):
    """Let servers answer now and then with a status that is none of an answer."""
    end = time.monotonic() + soak.seconds
    while time.monotonic() < end:
        name = rng.choice(soak.platform.servers)
        soak.platform.faults(name, odd_statuses=rng.sample(ODD_STATUSES, 3))
        gevent.sleep(rng.uniform(0.1, 0.6))


def check_status(request, status):
    """Check that a client got no status that is none of an answer."""
    if status == 0 or 200 <= status <= 599:
        return []
    return [f"{request}: status {status}"]


def check_error(request, error):
    """Check that a client got no malformed head."""
    return [f"{request}: {error.reason}"] if error.malformed else []
