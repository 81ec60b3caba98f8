"""Estimates of the work in each model's steps, shared by the gateways through the store."""

from __future__ import annotations

import json
from typing import Any

import attrs
from returns.result import Failure

from ..malformed import MALFORMED, clamp_integer, load_utf8_json
from ..objects.api import ObjectStore, StoredObject, VersionConflict
from ..objects.odd_objects import OddObjects

DEMANDS_PREFIX = "demands/"
# A step updates the estimate only if its work differs by more than this share.
CHANGE_SHARE = 0.3


@attrs.define
class ModelDemands:
    """The expected tokens per step of each model; changes are written to the store."""

    store: ObjectStore
    log: Any
    tokens: dict[str, int] = attrs.field(factory=dict)
    odd: OddObjects = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.odd = OddObjects(self.log)

    def record_step(self, model: str, tokens: int) -> None:
        """Update the estimate with the work of a step, and store it if it changed enough."""
        known = self.tokens.get(model)
        tokens = clamp_integer(tokens)
        if tokens <= 0 or (known and abs(tokens - known) <= CHANGE_SHARE * known):
            return
        # Averaging keeps a single unusual step from moving engines between models.
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
        """Apply a newer listing of the stored estimates."""
        for key, stored in objects.items():
            try:
                tokens = int(load_utf8_json(stored.value)["tokens"])
            except MALFORMED as error:
                self.odd.report(key, stored.version, error)
                continue
            self.odd.forget(key)
            self.tokens[key.removeprefix(DEMANDS_PREFIX)] = tokens
