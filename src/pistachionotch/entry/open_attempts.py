"""The open attempts of one idempotent call and the race between them."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from gevent.queue import Queue

from ..outcomes import RequestClass
from ..routing.hedge import HedgeRace
from ..wire.assembly import Assembler
from ..wire.messages import Submit
from .attempt import Attempt
from .links import AgentLink


@attrs.define
class OpenAttempts:
    """Attempts of a call that have been sent and have not ended, by identifier."""

    channel: Queue
    by_identifier: dict[str, Attempt] = attrs.field(factory=dict)
    race: HedgeRace = attrs.field(factory=HedgeRace)

    def __len__(self) -> int:
        return len(self.by_identifier)

    def __iter__(self) -> Iterator[Attempt]:
        """Iterate over a copy, so that attempts can be removed meanwhile."""
        return iter(tuple(self.by_identifier.values()))

    def get(self, identifier: str) -> Attempt | None:
        """Return an open attempt, or ``None``."""
        return self.by_identifier.get(identifier)

    def submit(
        self, submit: Submit, link: AgentLink, request_class: RequestClass, now_ms: int
    ) -> bool:
        """Send an attempt to an agent; return ``False`` if its link is lost."""
        if not link.submit(submit, self.channel):
            return False
        identifier = submit.attempt
        self.by_identifier[identifier] = Attempt(identifier, link, Assembler(identifier))
        self.race.start(identifier)
        link.observations.record_sent(identifier, request_class, now_ms)
        return True

    def only_queued(self) -> Attempt | None:
        """Return the attempt that is queued at its agent, or ``None`` if it is not the only one."""
        if self.race.winner is not None or len(self) != 1:
            return None
        attempt = next(iter(self))
        return None if attempt.started else attempt

    def record_first_token(self, attempt: Attempt, now_ms: int) -> None:
        """Record the first output of an attempt, and cancel those that have lost the race."""
        attempt.link.observations.record_first_token(attempt.identifier, now_ms)
        self.cancel(self.race.first_token(attempt.identifier).cancel)

    def finish(self, attempt: Attempt, now_ms: int) -> None:
        """Remove an attempt that is complete, and cancel those that have lost the race."""
        self.cancel(self.race.finished(attempt.identifier).cancel)
        del self.by_identifier[attempt.identifier]
        attempt.link.observations.record_finished(attempt.identifier, attempt.tokens, now_ms)

    def discard(self, attempt: Attempt) -> None:
        """Remove an attempt that has failed; later answers to it are dropped."""
        if self.by_identifier.pop(attempt.identifier, None) is None:
            return
        self.race.failed(attempt.identifier)
        attempt.link.discard_answers(attempt.identifier)
        attempt.link.observations.discard(attempt.identifier)

    def cancel(self, identifiers: tuple[str, ...]) -> None:
        """Cancel attempts at their agents and remove them."""
        for identifier in identifiers:
            attempt = self.by_identifier.pop(identifier, None)
            if attempt is None:
                continue
            attempt.link.cancel(identifier)
            attempt.link.observations.discard(identifier)

    def cancel_all(self) -> None:
        """Cancel all attempts."""
        self.cancel(tuple(self.by_identifier))
