"""Retrieval of sample bodies from the agents that generated them."""

from __future__ import annotations

import secrets

import attrs
from gevent.queue import Empty, Queue

from ..samples.sample import Sample
from ..wire.assembly import Assembler
from ..wire.messages import FetchBody, Finished, Piece
from .table import LinkTable

FETCH_TIMEOUT_S = 3.0


@attrs.define
class BodyFetcher:
    """Fetches the body of a sample from the agent that generated it."""

    table: LinkTable

    def __call__(self, sample: Sample) -> bytes | None:
        """Return the body, or None if the agent is not connected or does not deliver it."""
        link = self.table.links.get(sample.agent)
        if link is None:
            return None
        identifier = f"body-{secrets.token_hex(6)}"
        channel: Queue = Queue()
        if not link.send_request(identifier, FetchBody(identifier, sample.sample_id), channel):
            return None
        assembler = Assembler(identifier)
        try:
            while True:
                _link, message = channel.get(timeout=FETCH_TIMEOUT_S)
                if isinstance(message, Piece):
                    assembler.add(message)
                    continue
                if not isinstance(message, Finished):
                    return None
                return assembler.finish(message).map(lambda whole: whole.body).value_or(None)
        except Empty:
            return None
        finally:
            link.discard_answers(identifier)
