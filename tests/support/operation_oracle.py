"""Oracle of the chaos run for guarantees 7, 8 and 9: departures and the configuration.

Times are of the machine's monotonic clock, in seconds, as in the oracle of calls and samples.
"""

from collections import Counter, defaultdict

import attrs

NO_NEW_WORK_S = 3.0
IN_FORCE_S = 12.0
# A silent connection is noticed after 6 s, so a failure has effects for at least as long.
EFFECTS_S = 8.0
# The load sends work to an entry until the balancer has seen that it is not ready.
BALANCER_S = 0.5
# A caller may notice a closed connection a little after the process has ended.
NOTICED_S = 1.0
GRACEFUL = ("drain", "leave")
STORE = "object-store"
STORE_DOES_NOT_ANSWER = ("outage", "slow-writes")


@attrs.frozen
class Disturbance:
    """A failure brought about at one process."""

    name: str
    kind: str
    from_s: float
    to_s: float

    def overlaps(self, from_s, to_s):
        return self.from_s <= to_s and from_s <= self.to_s


@attrs.frozen
class Departure:
    """A process told to leave; ``code`` is None if it had to be killed.

    ``announced`` means that the VM list said so first, a while before the SIGTERM.
    """

    name: str
    upstream: str
    asked_s: float
    ended_s: float
    code: int | None
    announced: bool = False


@attrs.frozen
class Arrival:
    """A request that an agent gave to its upstream."""

    agent: str
    upstream: str
    request: str
    at_s: float


@attrs.frozen
class Exchange:
    """What a caller saw of one request: ``lost`` without success, ``cut`` without an answer.

    A refusal that says ``not-run`` is no loss, since the caller can send the request again.
    """

    request: str
    entry: str
    sent_s: float
    ended_s: float
    cut: bool = False
    lost: bool = False


def check_departures(departures, arrivals, exchanges, disturbances):
    found = []
    made = defaultdict(list)
    for arrival in arrivals:
        made[arrival.request].append(arrival)
    for departure in departures:
        name = departure.name
        if departure.code != 0:
            found.append(f"{name} ended with code {departure.code} after SIGTERM")
        late = _late_arrivals(departure, arrivals)
        if late and not (departure.announced and _notice_hindered(departure, disturbances)):
            found.append(f"{name} was leaving, but gave its upstream {late[0].request} after 3 s")
        for exchange in exchanges:
            if _interrupted(departure, exchange, made[exchange.request], disturbances):
                found.append(f"the shutdown of {name} interrupted {exchange.request}")
    return found


def _late_arrivals(departure, arrivals):
    from_s = departure.asked_s + NO_NEW_WORK_S
    return [
        each
        for each in arrivals
        if each.upstream == departure.upstream and from_s < each.at_s < departure.ended_s
    ]


def _notice_hindered(departure, disturbances):
    """Return whether the entries could not learn of the VM list through the object API."""
    from_s, to_s = departure.asked_s - EFFECTS_S, departure.asked_s + NO_NEW_WORK_S
    return any(
        each.overlaps(from_s, to_s) and (each.name == STORE or each.name.startswith("entry"))
        for each in disturbances
    )


def _interrupted(departure, exchange, made, disturbances):
    """Return whether a shutdown took an answer away; ``made`` are the arrivals of the request.

    What an agent has given to its upstream is in flight until the caller has its answer, which may
    be after the agent ended.
    """
    if not exchange.lost or exchange.ended_s < departure.asked_s:
        return False
    if departure.upstream:
        given = [each.at_s for each in made if each.upstream == departure.upstream]
        if not given or min(given) > departure.ended_s:
            return False
    else:
        sent_before = exchange.sent_s <= departure.asked_s + BALANCER_S
        ended_with = exchange.ended_s <= departure.ended_s + NOTICED_S
        if exchange.entry != departure.name or not sent_before or not ended_with:
            return False
        if exchange.cut:
            return True
    involved = {STORE, exchange.entry, departure.name}
    for each in made:
        involved |= {each.upstream, each.agent}
    from_s = exchange.sent_s - EFFECTS_S
    return not any(
        each.name in involved and each.overlaps(from_s, exchange.ended_s)
        # The departure is recorded as a disturbance as well.
        and (each.name != departure.name or each.to_s < departure.asked_s)
        for each in disturbances
    )


def check_recovery(used, agents):
    """Check that each entry uses all agents once the failures are over; ``used`` is by entry."""
    return [
        f"{entry} does not use {agent} again"
        for entry, ready in used.items()
        for agent in agents
        if agent not in ready
    ]


@attrs.frozen
class Applied:
    """A change of an operator that was accepted."""

    operator: str
    base: int | None
    revision: int
    at_s: float


@attrs.frozen
class Sighting:
    """The revision in force on one process, not older than ``at_s``."""

    process: str
    incarnation: str
    revision: int
    at_s: float


def check_configuration(applied, sightings, disturbances):
    found = []
    for base, count in Counter(each.base for each in applied).items():
        if count > 1:
            found.append(f"{count} changes of revision {base} were accepted")
    for revision, count in Counter(each.revision for each in applied).items():
        if count > 1:
            found.append(f"{count} changes became revision {revision}")
    for each in applied:
        if each.base is not None and each.revision <= each.base:
            found.append(f"revision {each.revision} replaced the newer {each.base}")
    by_process = defaultdict(list)
    for sighting in sightings:
        by_process[sighting.process].append(sighting)
    entries = [process for process in by_process if process.startswith("entry")]
    for process, seen in by_process.items():
        found.extend(_reversions(process, seen))
        found.extend(_delays(process, seen, applied, entries, disturbances))
    return found


def _reversions(process, seen):
    for before, after in zip(seen, seen[1:], strict=False):
        if before.incarnation == after.incarnation and after.revision < before.revision:
            yield f"{process} went back from revision {before.revision} to {after.revision}"


def _delays(process, seen, applied, entries, disturbances):
    reported = set()
    for sighting in seen:
        free_s = _free_since(process, sighting.at_s, entries, disturbances)
        for each in applied:
            due_s = max(each.at_s, free_s) + IN_FORCE_S
            if sighting.revision >= each.revision or sighting.at_s <= due_s:
                continue
            if each.revision not in reported:
                reported.add(each.revision)
                yield f"revision {each.revision} was not in force on {process} after 12 s"


def _free_since(process, at_s, entries, disturbances):
    """Return since when a process could learn of the configuration until ``at_s``.

    An agent learns of it from the entries, so one of them has to be free.
    """
    own = [each for each in disturbances if each.name == process and each.kind != "silence"]
    free_s = _last_end(own, at_s)
    if process in entries:
        store = [each for each in disturbances if each.name == STORE]
        store = [each for each in store if each.kind in STORE_DOES_NOT_ANSWER]
        return max(free_s, _last_end(store, at_s))
    others = [_free_since(entry, at_s, entries, disturbances) for entry in entries]
    return max(free_s, min(others, default=0.0))


def _last_end(disturbances, at_s):
    return max((each.to_s for each in disturbances if each.from_s <= at_s), default=0.0)
