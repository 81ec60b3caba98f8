"""The gateway that runs a step is killed, and the one that takes the step over is lost for good."""

import base64
import http.client
import json
import signal
import threading
import time
import zlib

import fleet
from fleet import HOST, MODEL, ask

GATEWAYS = [f"edge-{letter}" for letter in "abcdefghijkl"]
ENGINES = ["engine-1", "engine-2", "engine-3"]
ITEMS = 12
EVENTS = 40
EVENT_MS = 150
# Time budget of a trainer, from the sheet of the site.
BUDGET_S = 12.0
CONTACT_S = 4.0
# The rule counts items that have been at no server for so long in steady state.
IDLE_S = 5.0
# After the trainer's time, the step is read for so long.
FINISH_S = 10.0


def choose_roles(deployment):
    """Name seven gateways so that each role falls to the one that it is meant for.

    The two gateways with the lowest CRC of their names keep the directory of owners. Steps of a
    model go to the gateway whose address ranks first, and are handed on to the next ones.
    """
    by_name = sorted(GATEWAYS, key=lambda name: zlib.crc32(name.encode()))[:7]
    ports = fleet.free_sets(7)
    ports.sort(key=lambda four: zlib.crc32(f"{MODEL} {HOST}:{four[2]}".encode()))
    directory, (owner, successor, *readers) = by_name[:2], by_name[2:]
    for name, four in zip([owner, successor, *readers, *directory], ports, strict=True):
        deployment.ports[name] = four
    return directory, owner, successor, readers


def watches(deployment, name):
    """Return how often a gateway has asked the store itself for changes of the servers."""
    metrics = ask(deployment.ports[name][1], "GET", "/metrics")[2].decode()
    for line in metrics.splitlines():
        if "store_calls" in line and 'kind="servers, watch"' in line:
            return float(line.rpartition(" ")[2])
    return 0.0


def choose_reader(deployment, readers):
    """Choose the gateway at which the trainer reads, and stop the other ones as planned.

    Some gateways copy the store's listings from the two of the directory all the time, others
    hardly ever do and don't ask these for owners either. The trainer's channels go to one of the
    first kind; which one it is follows from a hash of the client.
    """
    for _ in range(2):
        former = {name: watches(deployment, name) for name in readers}
        time.sleep(4)
        copying = [name for name in readers if watches(deployment, name) == former[name]]
        if copying:
            break
        for name in readers:
            stop(deployment, name)
            deployment.start_gateway(name, "zone-b")
        time.sleep(10)
    else:
        deployment.note("no gateway copies the listings")
        raise SystemExit(2)
    for name in readers:
        if name != copying[0]:
            stop(deployment, name)
    # The case begins in steady state.
    time.sleep(CONTACT_S + 1)
    return copying[0]


def stop(deployment, name):
    """Stop a gateway as planned and wait for its end."""
    deployment.processes[name].send_signal(signal.SIGTERM)
    deployment.processes[name].wait()


def step_body():
    """Return a step of a trainer: three groups of four items, each of which takes 6 s."""
    text = base64.b64encode(f"play event_ms={EVENT_MS} events={EVENTS}".encode()).decode()
    items = []
    for number in range(ITEMS):
        items.append(
            {
                "id": f"item-{number:02d}",
                "path": "/steps/1",
                "headers": {"Model": MODEL},
                "body": text,
                "token_count": 100,
                "group_id": f"group-{number // 4}",
            }
        )
    fields = {"train_step": 1, "model": MODEL, "min_version": 1, "desired": 3, "items": items}
    return json.dumps(fields).encode()


def read(deployment, node, wait_ms=1000):
    """Read the step at a gateway; returns the status and the number of results."""
    try:
        status, _headers, body = ask(
            deployment.ports[node][0],
            "GET",
            "/api/lots/step-1?after=0",
            {"Wait-Ms": str(wait_ms)},
            timeout_s=2.5,
        )
    except (OSError, http.client.HTTPException) as error:
        deployment.note(f"read at {node}: {type(error).__name__}")
        return 0, 0
    fields = json.loads(body)
    results = len(fields.get("results", ()))
    detail = f"{results} results" if status == 200 else fields.get("reason", "")
    deployment.note(f"read at {node}: {status}, {detail}")
    return status, results


def watch(deployment, name, ends):
    """Note when a gateway has ended."""
    deployment.processes[name].wait()
    ends[name] = time.monotonic()
    deployment.note(f"{name} has ended")


def last_runs(deployment):
    """Return when each item last began at a server, and whether it came to its end there."""
    found = {}
    for name in ENGINES:
        _status, _headers, body = ask(deployment.ports[name], "GET", "/runs")
        for run in json.loads(body)["runs"]:
            known = found.get(run["request"])
            if known is None or run["at"] > known["at"]:
                found[run["request"]] = run
    return found


def play(deployment, trouble):
    """Play the case; returns whether the rule was broken."""
    deployment.start_standin("store", "store")
    for name in ENGINES:
        deployment.start_standin("engine", name)
    route = fleet.route("steps", "rollout", "engines", "/steps/")
    engine = {"slots": 12, "models": [{"name": MODEL}]}
    deployment.configure(1, [route], [{"name": "engines", "max_conns": 150, "engine": engine}])
    for name in ENGINES:
        deployment.register(name, "engines", models=[{"name": MODEL, "version": 1}])
    directory, owner, successor, readers = choose_roles(deployment)
    zones = {name: "zone-a" for name in (*directory, owner)}
    zones.update({name: "zone-b" for name in (successor, *readers)})
    for name, zone in zones.items():
        deployment.start_gateway(name, zone, wait=False)
    for name in zones:
        deployment.wait(f"{name} is ready", lambda name=name: deployment.is_ready(name))
    # In calm, each gateway knows all others after this time.
    time.sleep(15)
    reader = choose_reader(deployment, readers)
    deployment.note(f"directory {directory}, owner {owner}, zone of the trainer {successor, reader}")
    submitted = time.monotonic()
    headers = {"Request-Id": "step-1", "Deadline-Ms": str(int(BUDGET_S * 1000))}
    status = ask(deployment.ports[reader][0], "POST", "/steps/1", headers, step_body())[0]
    deployment.note(f"submitted at {reader}: {status}")
    if status != 202:
        raise SystemExit(2)
    # Other clients read batches too, at gateways of any zone.
    for name in directory:
        read(deployment, name, wait_ms=0)
    ends = {}
    if trouble:
        time.sleep(0.5)
        kill = {"node": successor, "pid": deployment.processes[successor].pid}
        deployment.store("PUT", "/kill", kill)
        deployment.processes[owner].send_signal(signal.SIGKILL)
        for name in (successor, owner):
            threading.Thread(target=watch, args=(deployment, name, ends), daemon=True).start()
    zone_b = [successor, reader]
    listed = 0
    turn = 0
    while listed < ITEMS and time.monotonic() - submitted < BUDGET_S:
        if successor in ends and successor in zone_b:
            # It never comes back, so the platform sends nobody there any more.
            zone_b.remove(successor)
        if owner in ends and owner not in deployment.restarted:
            deployment.restarted.add(owner)
            deployment.start_gateway(owner, "zone-a", wait=False)
            deployment.note(f"{owner} starts again")
        # The trainer reads twice a second, at the gateways of its zone.
        _status, results = read(deployment, zone_b[turn % len(zone_b)])
        listed = max(listed, results)
        turn += 1
        time.sleep(0.5)
    timed_out = time.monotonic()
    deployment.note(f"after {timed_out - submitted:.1f} s {listed} of {ITEMS} items are listed")
    if trouble and len(ends) < 2:
        deployment.note("the gateways were not lost as planned")
        raise SystemExit(2)
    if listed == ITEMS:
        return False
    status = 0
    while status != 200 and time.monotonic() - timed_out < FINISH_S:
        status, _results = read(deployment, reader)
        time.sleep(0.5)
    steady_from = max(ends.values(), default=submitted) + CONTACT_S
    idle = 0
    for request, run in sorted(last_runs(deployment).items()):
        began = run["at"]
        state = "finished" if run["ended"] else "not finished"
        deployment.note(f"{request} began last {began - submitted:.1f} s after its step, {state}")
        # Its last server dropped it when the gateway that had sent it there closed its channel.
        idle += not run["ended"] and began < steady_from
    idle_s = timed_out - steady_from
    deployment.note(f"{idle} items were at no server for the last {idle_s:.1f} s of steady state")
    return idle > 0 and idle_s >= IDLE_S


fleet.run(".", play)
