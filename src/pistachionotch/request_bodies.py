"""Reading of request bodies within limits on their size, their time and their total memory."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from io import BytesIO
from typing import Any

import attrs
from gevent.pywsgi import _InvalidClientInput

from .limits.byte_budget import ByteBudget, Holding, NoRoomError, Purpose
from .limits.connection_table import Stage
from .server import (
    BODY_TIMEOUT_S,
    CHUNKED_PART_BYTES,
    CLIENT_SOCKET,
    CONNECTION,
    time_limit,
)
from .time_slice import TimeSlice

PART_BYTES = 64 * 1024


class BodyTooLargeError(Exception):
    """The body exceeds its limit."""


class IncompleteBodyError(Exception):
    """The sender did not send the whole body in time."""


@attrs.define
class BodyReader:
    """Reads the bodies of one port, and holds room for those whose requests are open."""

    max_body_bytes: int
    budget: ByteBudget
    purpose: Purpose
    timeout_s: float = BODY_TIMEOUT_S

    @contextmanager
    def read(self, environ: dict[str, Any]) -> Iterator[bytes]:
        """Provide the body of a request for as long as the block needs it.

        Raises ``BodyTooLargeError``, ``IncompleteBodyError`` or ``NoRoomError``, and ``OSError`` if
        the chunks are malformed; the connection cannot be used again then.
        """
        holding, body = self.receive(environ, environ.get("REMOTE_ADDR", ""))
        try:
            yield body
        finally:
            holding.release()

    def receive(self, environ: dict[str, Any], label: str) -> tuple[Holding, bytes]:
        """Return the body of a request and its holding, which the caller releases; see ``read``."""
        # Its value is returned without a copy, and enlarging it moves no memory once it is large.
        buffer = BytesIO()

        def cut() -> None:
            buffer.close()
            if CLIENT_SOCKET in environ:
                environ[CLIENT_SOCKET].stop_receiving()

        holding = self.budget.hold(self.purpose, label, cut)
        try:
            self._read_parts(environ, buffer, holding)
            body = buffer.getvalue()
        except BaseException:
            holding.release()
            raise
        holding.settle()
        if CONNECTION in environ:
            environ[CONNECTION].enter(Stage.RUNNING)
        return holding, body

    def _read_parts(self, environ: dict[str, Any], buffer: BytesIO, holding: Holding) -> None:
        source = environ["wsgi.input"]
        is_chunked = getattr(source, "chunked_input", False)
        part_bytes = CHUNKED_PART_BYTES if is_chunked else PART_BYTES
        time_slice = TimeSlice()
        try:
            with time_limit(self.timeout_s):
                while part := source.read(part_bytes):
                    if holding.held_bytes + len(part) > self.max_body_bytes:
                        raise BodyTooLargeError(f"the body has over {self.max_body_bytes} bytes")
                    holding.grow(len(part))
                    holding.move(len(part))
                    buffer.write(part)
                    if is_chunked:
                        time_slice.end_if_over()
        except OSError as error:
            if holding.is_cut:
                raise NoRoomError("the client was too slow while others needed room") from error
            if isinstance(error, _InvalidClientInput):
                raise
            raise IncompleteBodyError(str(error)) from error
