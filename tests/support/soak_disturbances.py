"""Times in which faults of the soak kept gateways from the store, and what they excuse."""

import enum
import json
import time

import attrs

# The store is stable again this long after an outage (``bounds.contact_ms``).
CONTACT_S = 4.0
# What a gateway was about to send may still arrive this long after a thaw or the repair of a link
# (``bounds.thaw_ms``).
THAW_S = 0.3


class Kind(enum.Enum):
    """What happened to the gateway."""

    ENDED = "killed or stopped"
    FROZEN = "frozen"
    CUT = "cut off from the store"
    OUTAGE = "the store is down"


@attrs.define
class Disturbance:
    """One fault; ``gateway`` is empty if it concerns all of them."""

    kind: Kind
    gateway: str
    start: float
    # Right before and right after the repair; infinite until then.
    repair: float = float("inf")
    end: float = float("inf")

    def end_with(self, function, *arguments):
        """Repair the fault by calling ``function``, and record when that happened."""
        repair = time.monotonic()
        function(*arguments)
        self.repair, self.end = repair, time.monotonic()

    def concerns(self, gateway):
        return self.gateway in ("", gateway)


@attrs.define
class Disturbances:
    """All faults of a soak that disturbed a gateway."""

    faults: list = attrs.field(factory=list)

    def begin(self, kind, gateway=""):
        """Record that a fault begins now; the caller ends it."""
        fault = Disturbance(kind, gateway, time.monotonic())
        self.faults.append(fault)
        return fault

    def excuses(self, gateway, at):
        """Return whether a gateway may have an old state at a time: up to 4 s after a fault."""
        return any(
            fault.concerns(gateway) and fault.start <= at <= fault.end + CONTACT_S
            for fault in self.faults
        )

    def is_calm(self, gateway, start):
        """Return whether nothing has disturbed a gateway since ``start``, nor shortly before."""
        return not any(
            fault.concerns(gateway) and fault.end + CONTACT_S >= start for fault in self.faults
        )

    def steady_s(self, start, end):
        """Return how long between two times no gateway was excused."""
        steady, at = 0.0, start
        for fault in sorted(self.faults, key=lambda fault: fault.start):
            steady += max(0.0, min(fault.start, end) - at)
            at = max(at, fault.end + CONTACT_S)
        return steady + max(0.0, end - at)

    def resumed_recently(self, gateway, at):
        """Return whether a thaw of a gateway, or the repair of its link, was right before."""
        return any(
            fault.kind in (Kind.FROZEN, Kind.CUT)
            and fault.concerns(gateway)
            and fault.repair <= at <= fault.end + THAW_S
            for fault in self.faults
        )


def read_logs(folder):
    """Yield the fields of the lines of all gateways' logs, in the order of each log."""
    for path in folder.glob("gateway-*.log"):
        for line in path.read_text(errors="replace").splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                # A killed gateway may leave a part of a line.
                continue


def placed_requests(fields):
    """Return the requests that a line says to be sent to the server ``upstream``."""
    if not fields.get("event", "").endswith(" placed"):
        return set()
    return {fields[name] for name in ("request", "item") if name in fields}


def gateways_that_sent(folder, run):
    """Return the gateways whose logs say that they sent a run's request to its server."""
    return {
        fields["node"]
        for fields in read_logs(folder)
        if run["request"] in placed_requests(fields) and fields["upstream"] == run["server"]
    }
