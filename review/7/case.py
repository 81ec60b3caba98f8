"""Gateways abort while the store is down and clients read batch submissions."""

import json
import signal
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from engine import engine, submission  # noqa: E402
from harness import HOST, HOSTNAME, MODELS, Server, main  # noqa: E402

GATEWAYS = ("gateway-1", "gateway-2")
# How long the store answers 503, and how often.
OUTAGE_S = 4.5
OUTAGES = 3
# Clients that read a batch submission, each twice a second on a new channel.
READERS = 12
READ_PAUSE_S = 0.5
# An event of an item takes this long, so that the batch submissions stay open.
EVENT_S = 2.0
RESTART_S = 0.5


class Readers:
    """The clients that read one batch submission at one gateway."""

    def __init__(self, deployment, record, gateway, batch):
        self.deployment, self.record, self.gateway, self.batch = deployment, record, gateway, batch
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        request = (f"GET /api/lots/{self.batch}?after=0 HTTP/1.1\r\nHost: {HOSTNAME}\r\n"
                   "Connection: close\r\n\r\n").encode()
        while not self.stopping.is_set():
            began = time.monotonic()
            channels, statuses = [], {}
            try:
                for _ in range(READERS):
                    channels.append(socket.create_connection(
                        (HOST, self.deployment.front(self.gateway)), timeout=2.0))
                for channel in channels:
                    channel.sendall(request)
                for channel in channels:
                    status = channel.recv(65_536)[9:12].decode() or "closed"
                    statuses[status] = statuses.get(status, 0) + 1
            except OSError as error:
                statuses[type(error).__name__] = 1
            for channel in channels:
                channel.close()
            self.record.write("reads", gateway=self.gateway, batch=self.batch, statuses=statuses)
            self.stopping.wait(max(0.0, READ_PAUSE_S - (time.monotonic() - began)))

    def stop(self):
        self.stopping.set()
        self.thread.join()


def own_batches(deployment, record, outage):
    """Submit batches of several models until each gateway runs one; returns them by gateway."""
    found = {}
    for number, model in enumerate(MODELS):
        batch = f"{outage}{number:03x}"
        fields = {**submission(batch, 2, "400"), "model": model}
        status, _ = deployment.ask(
            deployment.front(GATEWAYS[number % 2]), "POST", f"/steps/{batch}", fields,
            {"Request-Id": batch, "Content-Type": "application/json"})
        record.write("submitted", batch=batch, status=status)
        status, body = deployment.ask(
            deployment.store_port, "GET", f"/api/objects/batches/{batch}")
        if status == 200:
            found.setdefault(json.loads(body)["spec"]["owner"]["node"], batch)
        if len(found) == len(GATEWAYS):
            break
    assert len(found) == len(GATEWAYS), "one gateway runs no batch submission"
    return found


def slow_engine(server, sock, request):
    """Run an item, of which the next event takes long."""
    return engine(server, sock, request, EVENT_S)


def play(deployment, record, trouble):
    versions = dict.fromkeys(MODELS, 1)
    for number in (1, 2, 3):
        deployment.register(
            Server(record, f"i-{number}", "engines", slow_engine, models=versions, slots=12))
    deployment.write_config()
    for gateway in GATEWAYS:
        deployment.start_gateway(gateway)
    deployment.wait(lambda: all(deployment.ready(gateway) for gateway in GATEWAYS))
    ends = dict.fromkeys(GATEWAYS, 0)
    for outage in range(OUTAGES):
        time.sleep(2.0)
        batches = own_batches(deployment, record, outage)
        readers = [Readers(deployment, record, *each) for each in batches.items()]
        time.sleep(1.5)
        if trouble:
            record.write("store", outage=True)
            deployment.ask(deployment.store_port, "PUT", "/faults", {"outage": True})
        time.sleep(OUTAGE_S)
        deployment.ask(deployment.store_port, "PUT", "/faults", {"outage": False})
        record.write("store", outage=False)
        for each in readers:
            each.stop()
        for gateway in GATEWAYS:
            status = deployment.processes[gateway].poll()
            if status is None:
                continue
            ends[gateway] += 1
            record.write("ended by itself", gateway=gateway, times=ends[gateway],
                         signal=signal.Signals(-status).name if status < 0 else status,
                         last_line=deployment.log(gateway).splitlines()[-1][-300:])
            time.sleep(RESTART_S)
            deployment.start_gateway(gateway)
        deployment.wait(lambda: all(deployment.ready(gateway) for gateway in GATEWAYS))
        for batch in batches.values():
            deployment.ask(deployment.front(GATEWAYS[0]), "DELETE", f"/api/lots/{batch}")
    record.write("ends", **ends)
    if all(times >= OUTAGES for times in ends.values()):
        return [f"FAULT: {len(ends)} of {len(ends)} gateways ended by themselves {OUTAGES} times"]
    return []


if __name__ == "__main__":
    sys.exit(main(play, Path(__file__).resolve().parent))
