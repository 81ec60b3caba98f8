"""Load of a chaos run: callers and trainers that follow docs/callers.md and keep what they saw."""

import json
import time

import attrs
import gevent

from pistachionotch.config.spec import Address
from pistachionotch.http_client import Connection
from tests.support.deployment import HOST
from tests.support.operation_oracle import Exchange
from tests.support.oracle import OrderAnswer, Response

ATTEMPT_S = 20.0
ORDERS_PATH = "/services/storefront/orders"
MAX_OPEN_ORDERS = 40
LONG_SHARE, LONG_TOKENS = 0.2, 600
# An `unknown` that outlasts every fault this often is the final answer of its order.
FINAL_UNKNOWNS = 3
TRAINERS = ("t1", "t2")
GROUPS, SAMPLES, SAMPLE_TOKENS = 3, 4, 12
STALENESS_BOUND = 2  # of the model in the example configuration


@attrs.define
class Reply:
    status: int = 0
    headers: dict = attrs.field(factory=dict)
    body: bytes = b""
    entry: str = ""
    sent_s: float = 0.0
    ended_s: float = 0.0

    def json(self):
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


def exchange(port, method, path, value=None, headers=(), limit_s=ATTEMPT_S):
    """Send one request once; status 0 means that no whole answer came."""
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    body = b"" if value is None else body
    connection = Connection(Address(HOST, port))
    limit_ms = int(limit_s * 1_000)
    reply = Reply()
    try:
        with gevent.Timeout(limit_s):
            connection.open(2_000)
            pairs = [("Host", f"{HOST}:{port}"), *dict(headers).items()]
            connection.send(method, path, pairs, body, limit_ms)
            head = connection.read_head(limit_ms)
            while data := connection.read_part(limit_ms):
                reply.body += data
            reply.headers = dict(head.headers)
            reply.status = head.status
    except (Exception, gevent.Timeout):
        reply.status = 0
    finally:
        connection.close()
    return reply


@attrs.define
class Load:
    """Run callers until ``stopping``, then wait for final answers until ``give_up_s``."""

    entries: dict
    rng: object
    unready: set
    exchanges: list = attrs.field(factory=list)
    answers: list = attrs.field(factory=list)
    responses: list = attrs.field(factory=list)
    pulled: list = attrs.field(factory=list)
    wanted: dict = attrs.field(factory=dict)
    unsettled: list = attrs.field(factory=list)
    published: int = 1
    stopping: bool = False
    give_up_s: float = float("inf")
    open_orders: int = 0
    jobs: list = attrs.field(factory=list)

    def start(self):
        loops = [self.orders, self.publish]
        loops += [lambda trainer=trainer: self.train(trainer) for trainer in TRAINERS]
        loops += [lambda: self.complete(False)] * 4 + [lambda: self.complete(True)] * 4
        self.jobs = [gevent.spawn(loop) for loop in loops]

    def finish(self, limit_s):
        self.give_up_s = time.monotonic() + limit_s
        self.stopping = True
        gevent.joinall(list(self.jobs), raise_error=True)
        gevent.joinall(list(self.jobs), raise_error=True)

    def send(self, method, path, value=None, headers=()):
        ready = [entry for entry in self.entries if entry not in self.unready]
        entry = self.rng.choice(ready or list(self.entries))
        sent_s = time.monotonic()
        reply = exchange(self.entries[entry], method, path, value, headers)
        reply.entry, reply.sent_s, reply.ended_s = entry, sent_s, time.monotonic()
        return reply

    def keep(self, request, reply, cut, lost):
        seen = Exchange(request, reply.entry, reply.sent_s, reply.ended_s, cut, lost)
        self.exchanges.append(seen)

    def over(self):
        return time.monotonic() > self.give_up_s

    # Orders

    def orders(self):
        number = 0
        while not self.stopping:
            gevent.sleep(self.rng.uniform(0.02, 0.2))
            if self.open_orders >= MAX_OPEN_ORDERS:
                continue
            number += 1
            kind = self.rng.choice(("own", "own", "issued", "keyless"))
            self.jobs.append(gevent.spawn(self.order, f"{kind}-{number}", kind))

    def order(self, order, kind):
        self.open_orders += 1
        try:
            headers = {"X-Request-Timeout-Ms": "6000"}
            if kind == "own":
                headers["Idempotency-Key"] = f"key-of-{order}"
            elif kind == "issued":
                headers["Idempotency-Key"] = self.issue_key()
                if not headers["Idempotency-Key"]:
                    return
            self.order_until_final(order, headers, once=kind == "keyless")
        finally:
            self.open_orders -= 1

    def issue_key(self):
        issued = self.send("POST", "/v1/keys", {"service": "storefront"})
        return issued.json()["key"] if issued.status == 201 else ""

    def order_until_final(self, order, headers, once):
        number = unknowns = 0
        while True:
            number += 1
            answer = self.attempt(order, {**headers, "X-Request-Id": f"{order}-{number}"})
            if once or 200 <= answer.status < 300:
                return
            final = self.stopping and answer.status == 502 and answer.execution == "unknown"
            unknowns = unknowns + 1 if final else 0
            if unknowns == FINAL_UNKNOWNS:
                return
            if self.over():
                self.unsettled.append(f"order {order} has no final answer, the last is {answer}")
                return
            gevent.sleep(self.rng.uniform(0.3, 1.0))
            if answer.new_key:
                headers["Idempotency-Key"] = self.issue_key() or headers["Idempotency-Key"]

    def attempt(self, order, headers):
        reply = self.send("POST", ORDERS_PATH, {"order": order}, headers)
        fields = reply.json()
        received = ""
        if 200 <= reply.status < 300:
            received = json.loads(fields.get("received", "{}")).get("order", "")
        execution = fields.get("execution", "") if reply.status >= 400 else ""
        answer = OrderAnswer(
            order,
            headers["X-Request-Id"],
            reply.sent_s,
            reply.ended_s,
            reply.status,
            execution,
            received,
            fields.get("new_key", False),
        )
        self.answers.append(answer)
        cut = reply.status == 0
        self.keep(answer.request, reply, cut, cut or execution == "unknown")
        return answer

    # Completions

    def complete(self, streamed):
        while not self.stopping:
            number = self.rng.getrandbits(31)
            wanted = {"model": "fitting", "prompt": f"which saddle {number} ", "seed": number}
            # Some streams last for seconds, so that each shutdown has work in flight.
            long = streamed and self.rng.random() < LONG_SHARE
            wanted["max_tokens"] = LONG_TOKENS if long else self.rng.randrange(5, 60)
            headers = {"X-Request-Id": f"c-{number}", "X-Request-Timeout-Ms": "12000"}
            reply = self.send("POST", "/v1/completions", {**wanted, "stream": streamed}, headers)
            read = read_stream if streamed else read_whole
            text, complete, spans, execution = read(reply)
            cut = not complete and not execution and b"event: error" not in reply.body
            self.keep(f"c-{number}", reply, cut, not complete and execution != "not-run")
            self.responses.append(
                Response(
                    f"c-{number}",
                    wanted["prompt"],
                    number,
                    wanted["max_tokens"],
                    text,
                    complete,
                    spans,
                    execution,
                )
            )
            gevent.sleep(0.05)

    # Trainer

    def publish(self):
        version = 1
        while not self.stopping:
            gevent.sleep(self.rng.uniform(2, 5))
            # A jump beyond the staleness bound makes samples in production stale.
            version += self.rng.choice((1, 1, 3))
            while not self.stopping:
                reply = self.send("POST", "/v1/weights", {"model": "fitting", "version": version})
                if reply.status == 200:
                    self.published = version
                if reply.status in (200, 409):
                    break
                gevent.sleep(0.5)

    def train(self, trainer):
        step = 0
        while not self.stopping:
            step += 1
            name = f"{trainer}-{step}"
            request = {
                "trainer": trainer,
                "step": step,
                "model": "fitting",
                "groups": GROUPS,
                "samples_per_group": SAMPLES,
                "staleness_bound": STALENESS_BOUND,
                "deadline_ms": 60_000,
                "prompts": [prompt_of(name, group) for group in range(GROUPS)],
                "sampling": {"max_tokens": SAMPLE_TOKENS},
            }
            while self.send("POST", "/v1/steps", request).status != 201:
                if self.over():
                    self.unsettled.append(f"step {name} could not be created")
                    return
                gevent.sleep(0.3)
            self.wanted[name] = {(group, n) for group in range(GROUPS) for n in range(SAMPLES)}
            self.pull_step(trainer, step)

    def pull_step(self, trainer, step):
        cursor, attempt = 0, 1
        while not self.over():
            newest = self.published
            path = f"/v1/steps/{trainer}/{step}/samples"
            query = f"?cursor={cursor}&attempt={attempt}&limit=5"
            reply = self.send("GET", path + query)
            if reply.status == 409 and "next_attempt" in reply.json():
                attempt = reply.json()["next_attempt"]
                continue
            if reply.status != 200:
                gevent.sleep(0.2)
                continue
            batch = reply.json()
            self.pulled += [(f"{trainer}-{step}", newest, sample) for sample in batch["samples"]]
            if batch["complete"]:
                return
            if batch["samples"]:
                cursor, attempt = cursor + 1, 1


def prompt_of(step, group):
    return f"prompt {group} of step {step} "


def read_spans(fields):
    spans = fields.get("weight_versions", fields.get("spans", ()))
    return tuple((span["version"], span["tokens"]) for span in spans)


def read_whole(reply):
    fields = reply.json()
    if reply.status != 200:
        return "", False, (), fields.get("execution", "")
    return fields["choices"][0]["text"], True, read_spans(fields), ""


def read_stream(reply):
    """Return the text so far; only ``[DONE]`` marks a stream as complete."""
    if not reply.body.startswith(b"data: "):
        return "", False, (), reply.json().get("execution", "")
    blocks = reply.body.decode().split("\n\n")[:-1]
    complete = blocks[-1] == "data: [DONE]"
    chunks = [json.loads(block[6:]) for block in blocks if block.startswith("data: {")]
    text = "".join(chunk["choices"][0]["text"] for chunk in chunks)
    return text, complete, read_spans(chunks[-1]) if complete else (), ""
