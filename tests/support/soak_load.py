"""Clients and trainers of the soak, and what they saw."""

import json
import time

import attrs
import gevent

from pistachionotch.http_client import ExchangeError
from pistachionotch.standins.platform_servers import FILLINGS
from tests.support.platform import MODEL, new_id
from tests.support.soak_accounts import FINAL, Callers
from tests.support.soak_crashes import send_deadly
from tests.support.soak_statuses import check_error

CALLERS = 4
TRAINERS = 2
STREAMERS = 6
# Tries of one stream; all gateways together are gone for seconds.
STREAM_TRIES = 12
# A step that is not complete after this time is ended by its trainer.
STEP_S = 20.0
READ_PAUSE_S = 0.3
# Steps whose texts have other characters than ASCII or are large, and the sizes of their events.
ODD_SHARE = 0.3
ODD_SIZES = (500, 10_000, 100_000)
# A page has all results that there are if they take no more than this.
WHOLE_PAGE_BYTES = 800_000
NOT_RUN = (408, 421, 429, 503)


@attrs.define
class Step:
    """Hold what one trainer saw of one step."""

    id: str
    min_version: int
    items: int
    # What its items ask of the engines, and the text that their events get from it.
    prompt: str = "hello"
    accepted: bool = False
    # Whether every try to submit it was answered that it has not run.
    refused: bool = True
    results: dict = attrs.field(factory=dict)
    # When each position was first read.
    read_at: dict = attrs.field(factory=dict)
    accepted_at: float | None = None
    ended_at: float | None = None
    # Without a model, its owner follows from its id.
    model: str = MODEL
    # Whether its trainer gives it up before all its items are listed.
    may_end_early: bool = False


@attrs.define
class Stream:
    """Hold what one client saw of one stream, over all its tries."""

    request: str
    events: list = attrs.field(factory=list)
    # Status, first and last number and the end of each try.
    tries: list = attrs.field(factory=list)
    complete: bool = False


@attrs.define
class SoakLoad:
    """Keep calls and steps going until told to stop."""

    platform: object
    rng: object
    stopping: bool = False
    # By request: kind, status (0 without an answer), headers, body.
    calls: dict = attrs.field(factory=dict)
    steps: list = attrs.field(factory=list)
    streams: list = attrs.field(factory=list)
    problems: list = attrs.field(factory=list)
    # Whether nothing is disturbed yet.
    calm: bool = True
    # Late requests on connections that were open before a planned stop.
    late: list = attrs.field(factory=list)
    # Which keys the calls had.
    callers: Callers = attrs.field(factory=Callers)

    def start(self):
        tasks = [gevent.spawn(self._call) for _ in range(CALLERS)]
        tasks += [gevent.spawn(self._stream) for _ in range(STREAMERS)]
        tasks.append(gevent.spawn(send_deadly, self))
        return tasks + [gevent.spawn(self._train, number) for number in range(TRAINERS)]

    def stop(self):
        self.stopping = True

    def _call(self):
        while not self.stopping:
            kind = self.rng.choice(("safe", "unsafe"))
            request = new_id()
            name = self.rng.choice(self.platform.names)
            try:
                key = self.callers.choose_key(request, self.platform.version)
                sent = self.callers.send(request, name)
                body = request.encode()
                answer = self.platform.call(name, f"/{kind}/x", request, body, 1_500, key)
            except ExchangeError as error:
                answer = (0, {}, b"")
                self.problems += check_error(request, error)
            sent.answer(answer[0])
            self.calls[request] = (kind, *answer)
            gevent.sleep(self.rng.uniform(0.02, 0.2))

    def _stream(self):
        """Ask for streams, and take up those that break off at any gateway."""
        while not self.stopping:
            stream = Stream(new_id())
            self.streams.append(stream)
            for _ in range(STREAM_TRIES):
                if self._try_stream(stream):
                    break
                gevent.sleep(self.rng.uniform(0.02, 0.8))
            gevent.sleep(self.rng.uniform(0.0, 0.1))

    def _try_stream(self, stream):
        """Begin or take up a stream; returns whether it has ended for its client."""
        name = self.rng.choice(self.platform.names)
        last = stream.events[-1][0] if stream.events else None
        request = new_id() if stream.tries else stream.request
        status, events, complete = self.platform.stream(name, request, stream.request, last)
        stream.tries.append((status, last, [number for number, _text in events], complete))
        if not stream.events:
            # The try that brings the first event is the one that the later ones name.
            stream.request = request
        stream.events += events
        stream.complete = status == 200 and complete
        # Status 421 says that the stream can only begin anew.
        return stream.complete or (status == 421 and last is not None)

    def _train(self, number):
        count = 0
        while not self.stopping:
            count += 1
            prompt = "hello"
            if self.rng.random() < ODD_SHARE:
                kind = self.rng.choice(sorted(FILLINGS))
                prompt = f"play event_ms=40 {kind}={self.rng.choice(ODD_SIZES)}"
            step = Step(f"t{number}-{count}-{new_id()[:6]}", 1, 6, prompt)
            self.steps.append(step)
            self._submit(step)
            if step.accepted:
                self.collect(step)

    def _ask(self, function, *arguments):
        name = self.rng.choice(self.platform.names)
        try:
            return function(name, *arguments)
        except ExchangeError:
            return None

    def _submit(self, step):
        end = time.monotonic() + STEP_S
        while time.monotonic() < end and not self.stopping:
            status = self._ask(self._submit_at, step)
            if status == 202:
                step.accepted, step.accepted_at = True, time.monotonic()
                step.refused = False
                return
            if status in FINAL:
                self.problems.append(f"{step.id}: {status} with a key that is always in force")
            if status not in NOT_RUN:
                # No answer and other statuses promise nothing.
                step.refused = False
            gevent.sleep(READ_PAUSE_S)

    def _submit_at(self, name, step):
        return self.platform.submit(
            name, step.id, step.items // 2, 2, prompt=step.prompt, model=step.model
        )

    def submit(self, step):
        """Submit a step and return whether it was accepted."""
        self.steps.append(step)
        self._submit(step)
        return step.accepted

    def read(self, step, name, after=0):
        """Read a page of a step at one gateway."""
        asked = time.monotonic()
        try:
            page = self.platform.read(name, step.id, after)
        except ExchangeError:
            return None
        if isinstance(page, dict):
            self._take(step, after, page, asked, name)
        elif page in FINAL:
            self.problems.append(f"{step.id}: read as {page} with a key that is always in force")
        return page

    def collect(self, step):
        """Read a step until it is complete or its time is up, and end it."""
        end = time.monotonic() + STEP_S
        position = 0
        while time.monotonic() < end:
            # Now and then a trainer reads from an earlier position.
            after = position if self.rng.random() < 0.8 else self.rng.randrange(position + 1)
            page = self.read(step, self.rng.choice(self.platform.names), after)
            if page == 404:
                self.problems.append(f"{step.id}: an accepted step is called absent")
            if isinstance(page, dict):
                position = max(position, page["next_token"])
                if len(step.results) == step.items:
                    break
            gevent.sleep(READ_PAUSE_S)
        for _ in range(40):
            if self.end(step, self.rng.choice(self.platform.names)):
                return
            gevent.sleep(READ_PAUSE_S)

    def end(self, step, name):
        """End a step at one gateway; returns whether that was acknowledged."""
        try:
            acknowledged = self.platform.end(name, step.id) == 200
        except ExchangeError:
            return False
        if acknowledged and step.ended_at is None:
            step.ended_at = time.monotonic()
        return acknowledged

    def _take(self, step, after, page, asked, name):
        missing = after + len(page["results"])
        known = [*page["results"], *([step.results[missing]] if missing in step.results else [])]
        # A page is limited in bytes.
        fits = len(json.dumps(known)) <= WHOLE_PAGE_BYTES
        if step.read_at.get(missing, asked) < asked and (fits or not page["results"]):
            self.problems.append(
                f"{step.id}: position {missing}, read before, is missing at {name}"
            )
        if page["total"] != step.items:
            self.problems.append(f"{step.id}: total {page['total']}")
        for place, result in enumerate(page["results"], start=after):
            step.read_at.setdefault(place, time.monotonic())
            known = step.results.setdefault(place, result)
            if known != result:
                self.problems.append(f"{step.id}: position {place} has changed")

    def read_again(self, step):
        """Read a step from its start at every gateway, and end it, after the faults."""
        if step.ended_at is None and not self.end(step, self.platform.names[0]):
            self.problems.append(f"{step.id}: cannot be ended after the faults")
        for name in self.platform.names:
            answer = self.platform.client(name).ask("GET", f"/api/lots/{step.id}?after=0")
            if answer[0] != 200:
                self.problems.append(f"{step.id}: status {answer[0]} at {name} after the faults")
                continue
            self._take(step, 0, json.loads(answer[2]), time.monotonic(), name)
