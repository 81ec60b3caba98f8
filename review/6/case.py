"""A batch submission that was accepted and partly read is lost in a planned restart."""

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from engine import engine, submission  # noqa: E402
from harness import MODEL, Server, main  # noqa: E402

GATEWAYS = ("gateway-1", "gateway-2")
# 21 digits; the other batch submission has an estimate of usual size.
HINTS = {"0dd0": "1" + "0" * 20, "9a1b": "400"}
ITEMS = 4
# grace_s, contact_ms and finish_s of the settings; nothing excuses an answer after the last two.
GRACE_S, CONTACT_S, FINISH_S = 8.0, 4.0, 10.0


def read(deployment, record, gateway, batch, after=0):
    """Return the page of a read, None unless the status is 200."""
    status, body = deployment.ask(
        deployment.front(gateway), "GET", f"/api/lots/{batch}?after={after}",
        headers={"Wait-Ms": "1000"},
    )
    page = json.loads(body) if status == 200 else None
    record.write("read", gateway=gateway, batch=batch, after=after, status=status,
                 listed=None if page is None else [each["id"] for each in page["results"]])
    return page


def read_all(deployment, record, batch, timeout_s):
    """Read at alternating gateways until all results are there, as trainers do."""
    found = []
    end = time.monotonic() + timeout_s
    number = 0
    while time.monotonic() < end and len(found) < ITEMS:
        page = read(deployment, record, GATEWAYS[number % 2], batch, len(found))
        number += 1
        if page is not None:
            found += page["results"]
        time.sleep(0.4)
    return found


def play(deployment, record, trouble):
    servers = [Server(record, f"i-{number}", "engines", engine, models={MODEL: 1})
               for number in (1, 2, 3)]
    deployment.write_config()
    for server in servers:
        deployment.register(server)
    for gateway in GATEWAYS:
        deployment.start_gateway(gateway)
    deployment.wait(lambda: all(deployment.ready(gateway) for gateway in GATEWAYS))
    time.sleep(2.0)
    first = {}
    for batch, hint in HINTS.items():
        status, _ = deployment.ask(
            deployment.front(GATEWAYS[0]), "POST", f"/steps/{batch}",
            submission(batch, ITEMS, hint),
            {"Request-Id": batch, "Content-Type": "application/json"},
        )
        record.write("submitted", batch=batch, length_hint=hint, status=status)
        if status != 202:
            # A refusal is allowed, and nothing is owed.
            first[batch] = []
            continue
        first[batch] = read_all(deployment, record, batch, 10.0)
        assert len(first[batch]) == ITEMS, "the results did not come before the disruption"
    if trouble:
        # The planned restart of the deployment: one gateway after the other.
        for gateway in GATEWAYS:
            deployment.signal(gateway, signal.SIGTERM)
            try:
                deployment.processes[gateway].wait(GRACE_S)
            except subprocess.TimeoutExpired:
                deployment.signal(gateway, signal.SIGKILL)
                deployment.processes[gateway].wait()
            deployment.start_gateway(gateway)
            deployment.wait(lambda gateway=gateway: deployment.ready(gateway))
            record.write("ready again", gateway=gateway)
            time.sleep(1.0)
        time.sleep(CONTACT_S)
    breaches = []
    for batch in HINTS:
        if not first[batch]:
            continue
        again = read_all(deployment, record, batch, FINISH_S)
        if not again:
            breaches.append(f"LOST: batch submission {batch} got 202, and can't be read any more")
        elif again != first[batch]:
            breaches.append(f"LOST: results of {batch} that had been read don't come again")
    return breaches


if __name__ == "__main__":
    sys.exit(main(play, Path(__file__).resolve().parent))
