"""How much work each model's steps bring, as the gateways tell each other."""

from __future__ import annotations

import json
from typing import Any

import attrs
from returns.result import Failure

from ..objects.api import ObjectStore, StoredObject, VersionConflict

DEMANDS_PREFIX = "demands/"
# A step whose work differs from what is known by less than this share is no news.
CHANGE_SHARE = 0.3


@attrs.define
class ModelDemands:
    """Know the work of a model's steps in expected tokens, and tell the others of changes."""

    store: ObjectStore
    log: Any
    tokens: dict[str, int] = attrs.field(factory=dict)

    def record_step(self, model: str, tokens: int) -> None:
        """Take in the work of a step; writes it if it is news."""
        known = self.tokens.get(model)
        if tokens <= 0 or (known and abs(tokens - known) <= CHANGE_SHARE * known):
            return
        # An average keeps single odd steps from moving engines between models.
        tokens = tokens if known is None else (tokens + known) // 2
        self.tokens[model] = tokens
        key = DEMANDS_PREFIX + model
        value = json.dumps({"tokens": tokens}).encode()
        written = self.store.put(key, value, None)
        if isinstance(written, Failure):
            error = written.failure()
            if isinstance(error, VersionConflict) and error.current is not None:
                written = self.store.put(key, value, error.current.version)
        self.log.info(
            "demand changed",
            model=model,
            tokens=tokens,
            former=known,
            stored=not isinstance(written, Failure),
        )

    def apply_listing(self, objects: dict[str, StoredObject], _revision: int) -> None:
        """Take over a newer listing."""
        for key, stored in objects.items():
            try:
                tokens = int(json.loads(stored.value)["tokens"])
            except (ValueError, KeyError, TypeError) as error:
                self.log.warning("unreadable demand", key=key, error=repr(error))
                continue
            self.tokens[key.removeprefix(DEMANDS_PREFIX)] = tokens
