"""Registration of an agent, written at its start or when missing, never as a heartbeat."""

from __future__ import annotations

import json
import secrets
from typing import Any

import attrs
from returns.result import Failure

from ..clock import Clock
from ..malformed import load_json
from ..objects.api import ObjectStore, VersionConflict
from ..objects.read_back import put_with_read_back
from .directory import Member, decode_members

MEMBERS_PREFIX = "members/"
RETRY_MS = 1000
# A registration can be deleted while its VM is cut off from the platform, see
# ``stale_registrations``, so it is checked at this interval and written again if missing.
RECHECK_MS = 600_000


def encode_registration(member: Member, token: str) -> bytes:
    """Encode the value of a member object."""
    return json.dumps({"member": attrs.asdict(member), "writer": token}).encode()


def decode_registration(value: bytes) -> Member | None:
    """Decode the value of a member object; return None if it is malformed."""
    try:
        item = load_json(value)["member"]
        return decode_members(json.dumps([item]).encode())[0]
    except (ValueError, KeyError, TypeError):
        return None


@attrs.define
class Registration:
    """The member object of one agent, written until it is withdrawn."""

    store: ObjectStore
    member: Member
    clock: Clock
    log: Any
    registered: bool = False
    withdrawn: bool = False

    def run(self) -> None:
        """Check the registration regularly, and write it if missing, until it is withdrawn."""
        while not self.withdrawn:
            self.clock.sleep_ms(RECHECK_MS if self.ensure_registered() else RETRY_MS)

    def ensure_registered(self) -> bool:
        """Write the registration if it is missing; return whether it is in the store."""
        key = MEMBERS_PREFIX + self.member.node
        read = self.store.get(key)
        if isinstance(read, Failure):
            return False
        current = read.unwrap()
        if current is not None and self.registered:
            # If it names another incarnation, that one is later and must not be replaced.
            return True
        if self.withdrawn:
            return False
        token = secrets.token_hex(8)
        value = encode_registration(self.member, token)
        version = current.version if current else None
        written = put_with_read_back(self.store, key, value, version, token)
        if isinstance(written, Failure):
            self.log.info("registration not written", reason=str(written.failure()))
            return False
        self.registered = True
        self.log.info("registered", node=self.member.node, incarnation=self.member.incarnation)
        return True

    def withdraw(self) -> None:
        """Remove the member object, unless a newer incarnation has replaced it."""
        self.withdrawn = True
        key = MEMBERS_PREFIX + self.member.node
        read = self.store.get(key)
        current = read.value_or(None)
        if current is None:
            return
        registered_member = decode_registration(current.value)
        if registered_member is None or registered_member.incarnation != self.member.incarnation:
            return
        deleted = self.store.delete(key, current.version)
        if isinstance(deleted, Failure) and not isinstance(deleted.failure(), VersionConflict):
            self.log.info("registration not removed", reason=str(deleted.failure()))
