"""Ordinary callers of a gateway, and its readiness probe, while something else goes on."""

import http.client
import threading
import time

from harness import HOST, HOSTNAME

CALLERS = 12
# The route's timeout_ms, and the time after it by which RULES.md wants a final answer.
TIMEOUT_S, SLACK_S = 2.0, 0.5
# Time budget of a call, after which its client leaves.
BUDGET_S = 3.0
PAUSE_S = 0.5
# The rule counts from this number of late answers on.
LEAST_OVERDUE = 8


class Callers:
    """Send calls that may run once only, from some clients at once, and record the answers.

    Clients wait for these calls until their time budget is over, also if the gateway hasn't read
    them. ``late`` are those without a final answer at the route's time-out, and ``overdue`` those
    without one half a second after it.
    """

    def __init__(self, deployment, record, gateway):
        self.deployment, self.record, self.gateway = deployment, record, gateway
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.calls = self.late = self.overdue = self.probes_missed = 0
        work = [lambda caller=caller: self._call(caller) for caller in range(CALLERS)]
        self.threads = [threading.Thread(target=each, daemon=True) for each in [*work, self._probe]]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_error):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _call(self, caller):
        number = 0
        while not self.stopping.is_set():
            number += 1
            name = f"0{caller:02x}{number:04x}"
            started = time.monotonic()
            status = 0
            connection = http.client.HTTPConnection(HOST, self.deployment.front(self.gateway),
                                                    timeout=BUDGET_S)
            headers = {"Host": HOSTNAME, "Request-Id": name,
                       "Deadline-Ms": str(int(BUDGET_S * 1000))}
            try:
                connection.request("POST", "/unsafe/order", b"order", headers)
                connection.sock.settimeout(max(0.01, started + BUDGET_S - time.monotonic()))
                answer = connection.getresponse()
                answer.read()
                status = answer.status
            except (OSError, http.client.HTTPException):
                status = 0
            finally:
                connection.close()
            took_s = time.monotonic() - started
            with self.lock:
                self.calls += 1
                self.late += took_s >= TIMEOUT_S
                self.overdue += took_s >= TIMEOUT_S + SLACK_S
            self.record.write("call", id=name, status=status, took_ms=round(took_s * 1000))
            self.stopping.wait(PAUSE_S)

    def _probe(self):
        while not self.stopping.is_set():
            status, _ = self.deployment.ask(self.deployment.ports[self.gateway][1], "GET",
                                            "/api/readyz", timeout=1.0)
            self.probes_missed += status != 200
            if status != 200:
                self.record.write("probe", status=status)
            self.stopping.wait(1.0)

    def breaches(self):
        """Return what breaks the rule, after the end of all calls."""
        self.record.write("calls", calls=self.calls, late=self.late, overdue=self.overdue,
                          probes_missed=self.probes_missed)
        if self.overdue >= LEAST_OVERDUE and 2 * self.overdue > self.late:
            return [f"CONFIG: of {self.late} calls without an answer at their route's time-out, "
                    f"{self.overdue} have none half a second later; {self.calls} calls in all, "
                    f"{self.probes_missed} readiness probes missed"]
        return []
