"""Messages between entries and agents.

Fields are encoded by position, so new fields must be added at the end and have a default. Time
limits are sent as remaining milliseconds, because the clocks of two VMs may differ.
"""

from __future__ import annotations

import attrs

from ..admission.load import LoadReport
from ..outcomes import Execution, RequestClass
from ..prefixes.cache_estimate import CacheReport
from ..samples.spans import VersionSpan

PROTOCOL_VERSION = 2
# Header in the final message of a completion that tells why the engine ended it.
FINISH_REASON_HEADER = "X-Finish-Reason"


@attrs.frozen
class Hello:
    """Opens a session; both sides send it before they authenticate each other."""

    protocol: int
    deployment: str
    node: str
    role: str
    zone: str
    incarnation: str
    nonce: bytes
    upstream: str = ""


@attrs.frozen
class Proof:
    """MAC over both hellos that proves knowledge of the deployment key."""

    mac: bytes


@attrs.frozen
class Heartbeat:
    """Shows that the sender is alive and reports its current state."""

    sequence: int
    config_revision: int
    load: LoadReport | None = None
    # Maximum time until the next heartbeat; the receiver derives its timeout from it.
    interval_ms: int = 2000
    # Changes in the engine's prefix cache; only agents send them.
    cache: CacheReport | None = None


@attrs.frozen
class Submit:
    """Asks an agent to run one attempt of a request."""

    attempt: str
    request: str
    request_class: RequestClass
    remaining_ms: int
    idempotent: bool
    scope: str
    key: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    expected_tokens: int
    tenant: str = ""
    # The agent keeps the response under this name, so that another entry can fetch it.
    retain: str = ""
    # Epoch of the caller's key that the entry read when it received the request; see
    # ``idempotency``.
    epoch: int = 0
    # The attempt continues a stream that another agent started.
    continues: bool = False
    # Name of the prompt's prefix in the engine's cache reports.
    prefix: bytes = b""


@attrs.frozen
class Refused:
    """Reports that a submitted attempt was not accepted or was abandoned."""

    attempt: str
    reason: str
    execution: Execution
    retry_after_ms: int
    home: str = ""
    # The agent knows that no earlier call with the same idempotency key ran either.
    not_run_proved: bool = False
    # The key was revoked: no attempt of this request can run any more.
    revoked: bool = False


@attrs.frozen
class Started:
    """Tells the entry that the attempt left the queue and is being sent to the upstream."""

    attempt: str


@attrs.frozen
class Piece:
    """One part of a response; ``version`` is the engine's weight version or -1 if none."""

    attempt: str
    sequence: int
    data: bytes
    version: int
    tokens: int
    # Version of the engine's software, in the first piece only; empty if the engine names none.
    software: str = ""


@attrs.frozen
class Finished:
    """Ends a response and states its piece count, size and checksum."""

    attempt: str
    pieces: int
    size_bytes: int
    checksum: int
    status: int
    headers: tuple[tuple[str, str], ...]
    spans: tuple[VersionSpan, ...]
    execution: Execution
    reason: str = ""
    # Number of prompt tokens that the engine had cached, and in total; -1 if it does not report it.
    cached_tokens: int = -1
    prompt_tokens: int = -1
    # Whether the upstream ended during the call and accepts no connections any more.
    crashed: bool = False


@attrs.frozen
class Cancel:
    """Cancels an attempt; non-idempotent work already sent to the upstream continues."""

    attempt: str


@attrs.frozen
class Withdraw:
    """Withdraws a queued attempt; it is refused as not run, or continues if it has started."""

    attempt: str


@attrs.frozen
class IssueKey:
    """Asks the agent for an idempotency key whose requests only this incarnation may run."""

    attempt: str
    scope: str


@attrs.frozen
class KeyIssued:
    """Returns an issued idempotency key."""

    attempt: str
    key: str


@attrs.frozen
class Leaving:
    """Announces that the agent accepts no new work from now on."""

    reason: str


@attrs.frozen
class ConfigOffer:
    """Announces the highest configuration revision that the sender has."""

    revision: int


@attrs.frozen
class ConfigFetch:
    """Requests the body of a configuration revision."""

    revision: int


@attrs.frozen
class ConfigBody:
    """A configuration revision with its body."""

    revision: int
    body: bytes


@attrs.frozen
class Order:
    """Orders the agent's engine to serve a weight version; ``fence`` is the fencing token."""

    order: str
    fence: int
    kind: str
    model: str
    version: int
    duty: str = ""
    shard: str = ""


@attrs.frozen
class OrderResult:
    """Reports the result of an order and the version that the engine serves afterwards."""

    order: str
    accepted: bool
    version: int
    reason: str = ""


@attrs.frozen
class FetchBody:
    """Requests a retained response, which is sent as pieces or refused."""

    attempt: str
    name: str


Message = (
    Hello
    | Proof
    | Heartbeat
    | Submit
    | Refused
    | Started
    | Piece
    | Finished
    | Cancel
    | IssueKey
    | KeyIssued
    | Leaving
    | ConfigOffer
    | ConfigFetch
    | ConfigBody
    | Order
    | OrderResult
    | FetchBody
    | Withdraw
)
