"""The limits that servers name in the soak, and which gateways knew them.

The platform counts a request against a limit if its gateway had passed on an answer with this limit
some time before, and a restarted gateway has passed on none.
"""

import time
from collections import defaultdict
from datetime import datetime

import attrs

from tests.support.soak_disturbances import placed_requests, read_logs

# Gateways follow a limit from this time after the answer that names it.
KNOWN_S = 0.5
LEARNT = ("limits: rate limit announced", "limits: rate limit received")
STARTED = "gateway: started"


@attrs.define
class KnownLimits:
    """The limits that each process of the gateways knew, by their logs."""

    # By gateway and server, the times from which a limit was known, or none (``False``).
    changes: dict = attrs.field(factory=lambda: defaultdict(list))
    # By gateway, the times at which its processes started.
    starts: dict = attrs.field(factory=lambda: defaultdict(list))
    # By request and server, the gateways that sent it.
    senders: dict = attrs.field(factory=lambda: defaultdict(set))

    @classmethod
    def read(cls, folder):
        """Read the logs of all gateways; their times become monotonic ones of this machine."""
        known = cls()
        offset_s = time.time() - time.monotonic()
        for fields in read_logs(folder):
            known.record(fields, offset_s)
        return known

    def record(self, fields, offset_s):
        """Record what a line of a log says."""
        event, node = fields.get("event", ""), fields.get("node")
        if event == STARTED:
            self.starts[node].append(_time_of(fields) - offset_s)
        if event in LEARNT:
            server = fields["upstream"].partition("@")[0]
            limited = fields["limit"] is not None
            self.changes[node, server].append((_time_of(fields) - offset_s, limited))
        for request in placed_requests(fields):
            self.senders[request, fields["upstream"]].add(node)

    def count(self, server, arrivals):
        """Return how many requests count against the limit of a server.

        A request whose gateway is unknown counts.
        """
        counted = 0
        for at, request in arrivals:
            senders = self.senders.get((request, server), ())
            if not senders or any(self.knew(sender, server, at) for sender in senders):
                counted += 1
        return counted

    def knew(self, gateway, server, at):
        """Return whether a gateway had to follow a limit of a server at a time."""
        started = max((start for start in self.starts[gateway] if start <= at), default=0.0)
        limited = False
        for since, is_limit in self.changes[gateway, server]:
            if started <= since <= at - (KNOWN_S if is_limit else 0.0):
                limited = is_limit
        return limited


def check_limits(name, breaches, known):
    """Check that a server got no more requests in any window than its named limits allow."""
    problems = []
    for breach in breaches:
        counted = known.count(name, breach["arrivals"])
        if counted <= breach["allowed"]:
            continue
        problems.append(
            f"{name}: {counted} requests in 4 s at {breach['at']:.1f}, "
            f"allowed {breach['allowed']:.1f}"
        )
    return problems


def _time_of(fields):
    return datetime.fromisoformat(fields["timestamp"]).timestamp()
