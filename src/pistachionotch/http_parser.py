"""Parser of HTTP/1.1 responses on client connections."""

from __future__ import annotations

from geventhttpclient.response import HTTPParseError, HTTPResponse

# Codes with which a response may begin. The parser below has checked that they have three digits.
MIN_STATUS = 100
FINAL_STATUS = 200
MAX_STATUS = 599


class ClosedEarlyError(HTTPParseError):  # type: ignore[misc, unused-ignore]
    """The peer closed the connection before the end of the response."""


def is_closed(error: Exception) -> bool:
    """Return whether the peer has closed the connection, rather than sent a malformed response."""
    return isinstance(error, ConnectionError | ClosedEarlyError)


class ResponseParser(HTTPResponse):  # type: ignore[misc, unused-ignore]
    """A parser that stops after one response; the base class would parse the next one too.

    It is the one place that decides which status lines begin an answer. All others are malformed.
    """

    has_excess_bytes = False

    @property
    def has_final_head(self) -> bool:
        """Whether the head of the final response is complete; interim ones come before it."""
        return bool(self.headers_complete and self.get_code() >= FINAL_STATUS)

    def _on_message_begin(self) -> None:
        if self.message_complete and self.get_code() >= FINAL_STATUS:
            self.has_excess_bytes = True
            raise HTTPParseError("bytes after the end of the response")
        super()._on_message_begin()

    def _on_status(self, msg: str) -> None:
        self._check_status()
        super()._on_status(msg)

    def _on_headers_complete(self) -> int | bool | None:
        # A status line without a reason phrase is not reported by itself.
        self._check_status()
        return super()._on_headers_complete()

    def _check_status(self) -> None:
        if not MIN_STATUS <= self.get_code() <= MAX_STATUS:
            raise HTTPParseError(f"the status {self.get_code():03} is none of an answer")
