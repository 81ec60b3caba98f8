"""Messages between entries and agents.

Fields travel by position, so a field is only ever added at the end and with a default. Durations
are remaining milliseconds, because the clocks of two VMs need not agree.
"""

from __future__ import annotations

import attrs

from ..admission.load import LoadReport
from ..outcomes import Execution, RequestClass
from ..prefixes.cache_estimate import CacheReport
from ..samples.spans import VersionSpan

PROTOCOL_VERSION = 2
# Header of a completion's final message: why the engine ended it.
FINISH_REASON_HEADER = "X-Finish-Reason"


@attrs.frozen
class Hello:
    """Open a session; both sides send it before anything is proved."""

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
    """Prove knowledge of the deployment key over both hellos."""

    mac: bytes


@attrs.frozen
class Heartbeat:
    """Show that the peer is alive and say what it knows."""

    sequence: int
    config_revision: int
    load: LoadReport | None = None
    # When the next heartbeat is due at the latest; the receiver judges silence by it.
    interval_ms: int = 2000
    # From agents: what has changed in the engine's prefix cache.
    cache: CacheReport | None = None


@attrs.frozen
class Submit:
    """Ask an agent to run one attempt of a request."""

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
    # What the entry read of the caller's key when it received the request; see ``idempotency``.
    epoch: int = 0
    # The attempt goes on with a stream that another agent has begun.
    continues: bool = False
    # Name of the prompt's prefix in reports on the engine's cache.
    prefix: bytes = b""


@attrs.frozen
class Refused:
    """Answer a submit that was not accepted or was given up."""

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
    """Tell the entry that the attempt left the queue and is being sent to the upstream."""

    attempt: str


@attrs.frozen
class Piece:
    """Carry one part of a response; ``version`` is the engine's weight version or -1 if none."""

    attempt: str
    sequence: int
    data: bytes
    version: int
    tokens: int


@attrs.frozen
class Finished:
    """End a response and state what it must add up to."""

    attempt: str
    pieces: int
    size_bytes: int
    checksum: int
    status: int
    headers: tuple[tuple[str, str], ...]
    spans: tuple[VersionSpan, ...]
    execution: Execution
    reason: str = ""
    # Tokens of the prompt that the engine had cached and had to serve; -1 where it does not tell.
    cached_tokens: int = -1
    prompt_tokens: int = -1


@attrs.frozen
class Cancel:
    """Withdraw an attempt; non-idempotent work that was sent runs on."""

    attempt: str


@attrs.frozen
class Withdraw:
    """Ask for an attempt back that still waits; it is refused as not run, or else goes on."""

    attempt: str


@attrs.frozen
class IssueKey:
    """Ask the agent for an idempotency key that only this incarnation may run."""

    attempt: str
    scope: str


@attrs.frozen
class KeyIssued:
    """Return an issued idempotency key."""

    attempt: str
    key: str


@attrs.frozen
class Leaving:
    """Announce that the agent takes no new work from now on."""

    reason: str


@attrs.frozen
class ConfigOffer:
    """Announce the highest configuration revision that the sender holds."""

    revision: int


@attrs.frozen
class ConfigFetch:
    """Ask for the body of a configuration revision."""

    revision: int


@attrs.frozen
class ConfigBody:
    """Carry a configuration revision."""

    revision: int
    body: bytes


@attrs.frozen
class Order:
    """Order the agent's engine to serve a weight version, under a fencing number."""

    order: str
    fence: int
    kind: str
    model: str
    version: int
    duty: str = ""
    shard: str = ""


@attrs.frozen
class OrderResult:
    """Report an order and the version that the engine serves afterwards."""

    order: str
    accepted: bool
    version: int
    reason: str = ""


@attrs.frozen
class FetchBody:
    """Ask for a retained response; the answer comes as pieces, or is refused."""

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
