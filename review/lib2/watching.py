"""Ordinary callers of a gateway, and its readiness probe, while something else goes on."""

import threading
import time

# Time budget of an ordinary call, and how long the platform's probe waits here.
BUDGET_MS = 3_000
PROBE_S = 3.0
PAUSE_S = 0.25


class Callers:
    """Send one ordinary call and one probe after the other, and record the answers."""

    def __init__(self, deployment, record, gateway):
        self.deployment, self.record, self.gateway = deployment, record, gateway
        self.stopping = threading.Event()
        # Calls without any answer in their time budget: how many, and the most in a row.
        self.calls = self.unanswered = self.in_a_row = self.most_in_a_row = 0
        self.probes_missed = 0
        self.thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_error):
        self.stopping.set()
        self.thread.join()

    def _run(self):
        front, probes = self.deployment.ports[self.gateway][:2]
        while not self.stopping.is_set():
            self.calls += 1
            started = time.monotonic()
            status, _ = self.deployment.ask(
                front, "POST", "/safe/order", b"order",
                {"Request-Id": f"0rd{self.calls:05}", "Deadline-Ms": str(BUDGET_MS)},
                timeout=BUDGET_MS / 1000)
            took_ms = round((time.monotonic() - started) * 1000)
            probe, _ = self.deployment.ask(probes, "GET", "/api/readyz", timeout=PROBE_S)
            self.record.write("ordinary call", number=self.calls, status=status, took_ms=took_ms,
                              probe=probe)
            self.probes_missed += probe != 200
            self.in_a_row = 0 if status else self.in_a_row + 1
            self.unanswered += not status
            self.most_in_a_row = max(self.most_in_a_row, self.in_a_row)
            self.stopping.wait(PAUSE_S)
