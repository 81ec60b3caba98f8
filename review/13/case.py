"""A gateway gets SIGTERM while clients still read the answers that it sends them."""

import base64
import json
import signal
import socket
import threading
import time

import fleet
from fleet import HOST, HOSTNAME, MODEL, ask

# An answer of a server, and the size of the text of each of ten results of a batch.
CALL_BYTES = 900_000
ITEMS = 10
EVENTS = 50
EVENT_BYTES = 1_800
# Bytes per second that a client reads. The slowest needs 6 s and is done 2 s before the grace ends.
PACES = (150_000, 200_000)
PART_BYTES = 10_000
BUDGET_MS = 10_000
GRACE_S = 8.0
# Settings of the site that differ from those of ``fleet``.
SITE = {
    "limits.memory_mb": 200,
    "bounds.ack_ms": 6000,
    "bounds.catch_up_s": 6,
    "bounds.drain_ms": 4000,
    "bounds.config_apply_ms": 4000,
    "bounds.recovery_s": 15,
    "bounds.pass_ms": 300,
    "fault_tolerance.machines": 2,
}


class SlowClient:
    """A client that reads one answer at a constant pace."""

    def __init__(self, port, pace, request):
        self.pace = pace
        self.received = b""
        self.end = ""
        self.took_s = 0.0
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        self.sock.connect((HOST, port))
        self.sock.settimeout(15)
        self.sock.sendall(request)
        self.thread = threading.Thread(target=self._read, daemon=True)
        self.thread.start()

    def _read(self):
        began = time.monotonic()
        try:
            while not self.is_whole():
                part = self.sock.recv(PART_BYTES)
                if not part:
                    self.end = "the channel was closed"
                    break
                self.received += part
                left_s = began + len(self.received) / self.pace - time.monotonic()
                time.sleep(max(0.0, left_s))
        except OSError as error:
            self.end = type(error).__name__
        self.took_s = time.monotonic() - began
        self.sock.close()

    def length(self):
        """Return the announced length of the body, or -1 before the end of the head."""
        head, separator, _body = self.received.partition(b"\r\n\r\n")
        if not separator:
            return -1
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return int(line.partition(b":")[2])
        return -1

    def body_bytes(self):
        """Return how much of the body has come."""
        return len(self.received.partition(b"\r\n\r\n")[2])

    def is_whole(self):
        """Return whether the whole answer has come."""
        return self.length() >= 0 and self.body_bytes() >= self.length()


def finished_batch(deployment, name):
    """Submit a batch of 800 KB of text and wait until all its results are listed."""
    play_text = f"play event_ms=2 events={EVENTS} ascii={EVENT_BYTES}".encode()
    items = []
    for number in range(ITEMS):
        items.append(
            {
                "id": f"item-{number}",
                "path": "/steps/1",
                "headers": {"Model": MODEL},
                "body": base64.b64encode(play_text).decode(),
                "token_count": 100,
                "group_id": f"group-{number // 5}",
            }
        )
    fields = {"train_step": 1, "model": MODEL, "min_version": 1, "desired": 2, "items": items}
    body = json.dumps(fields).encode()
    port = deployment.ports[name][0]
    if ask(port, "POST", "/steps/1", {"Request-Id": "step-1"}, body)[0] != 202:
        raise SystemExit(2)

    def listed():
        status, _headers, page = ask(port, "GET", f"/api/lots/step-1?after={ITEMS - 1}")
        return status == 200 and len(json.loads(page)["results"]) == 1

    deployment.wait("all results are listed", listed)


def play(deployment, trouble):
    """Play the case; returns whether an answer was cut off."""
    deployment.start_standin("store", "store")
    deployment.start_standin("plain", "shop-1")
    deployment.start_standin("engine", "engine-1")
    routes = [
        fleet.route("shop", "safe", "shop", "/shop/"),
        fleet.route("steps", "rollout", "engines", "/steps/"),
    ]
    engine = {"slots": 12, "models": [{"name": MODEL}]}
    services = [
        {"name": "shop", "max_conns": 100},
        {"name": "engines", "max_conns": 150, "engine": engine},
    ]
    deployment.configure(1, routes, services)
    deployment.register("shop-1", "shop", slots=6)
    deployment.register("engine-1", "engines", models=[{"name": MODEL, "version": 1}])
    deployment.start_gateway("edge-a", **SITE)
    deployment.start_gateway("edge-b", **SITE)
    time.sleep(2)
    finished_batch(deployment, "edge-a")
    port = deployment.ports["edge-a"][0]
    call = (
        f"POST /shop/a HTTP/1.1\r\nHost: {HOSTNAME}\r\nRequest-Id: call-%d\r\n"
        f"Deadline-Ms: {BUDGET_MS}\r\nContent-Length: {CALL_BYTES}\r\n\r\n"
    )
    page = f"GET /api/lots/step-1?after=0 HTTP/1.1\r\nHost: {HOSTNAME}\r\n\r\n".encode()
    clients = {}
    for number, pace in enumerate(PACES):
        request = (call % number).encode() + b"x" * CALL_BYTES
        clients[f"call at {pace} B/s"] = SlowClient(port, pace, request)
        clients[f"results at {pace} B/s"] = SlowClient(port, pace, page)
    time.sleep(0.5)
    for name, client in clients.items():
        deployment.note(f"{name}: {client.body_bytes()} of {client.length()} bytes so far")
        if client.length() < 0:
            raise SystemExit(2)
    stopped_at = time.monotonic()
    if trouble:
        deployment.processes["edge-a"].send_signal(signal.SIGTERM)
        deployment.note("SIGTERM to edge-a")
        deployment.processes["edge-a"].wait()
        deployment.note(f"edge-a ended {time.monotonic() - stopped_at:.2f} s after SIGTERM")
    cut = 0
    for name, client in clients.items():
        client.thread.join()
        cut += not client.is_whole()
        end = "whole" if client.is_whole() else f"incomplete, {client.end}"
        deployment.note(
            f"{name}: {client.body_bytes()} of {client.length()} bytes in {client.took_s:.1f} s, "
            f"{end}"
        )
        if client.took_s > GRACE_S:
            raise SystemExit(2)
    return cut > 0


fleet.run(".", play)
