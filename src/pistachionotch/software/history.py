"""History of the origins that streams can have; does no I/O.

Load pattern: for weeks one software version serves a service. Then a release replaces its servers
one by one or all at once, and two versions serve side by side for seconds or for hours. Every
gateway may lose power at any moment of it, and clients take up streams of the version that is gone.

A gateway begins streams at a version only after the version is in the stored history. A history
that is read after a client has named a stream therefore has the stream's origin. If it has only one
origin for the path of the call, that is the stream's.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from .origin import Origin

# An origin without servers stays possible for this time. No client takes up a stream for longer,
# and gateways that the listing doesn't reach know servers that are gone.
LAPSE_MS = 15 * 60_000


@attrs.frozen(order=True)
class Beginning:
    """An origin that may begin the streams of one route, given by its host and path prefix.

    Routes change their names and services, and new routes take over a part of the paths of others,
    so the path of a call decides, whichever route it has now.
    """

    host: str
    prefix: str
    origin: Origin

    def may_have_begun(self, host: str, path: str) -> bool:
        """Return whether a stream with this host and path can have begun like this."""
        return self.host in ("", host) and path.startswith(self.prefix)


# Stands for the entries of a history that can't be read: any origin is possible on every path.
UNREADABLE = Beginning("", "/", Origin("", ""))


@attrs.define
class OriginHistory:
    """All beginnings that can have happened lately."""

    # Unix time since which no server of the origin is listed; None while there is one.
    absent_since_ms: dict[Beginning, int | None] = attrs.field(factory=dict)

    def add(self, beginnings: Iterable[Beginning]) -> bool:
        """Add beginnings; returns whether the history has changed."""
        changed = False
        for beginning in beginnings:
            if self.absent_since_ms.get(beginning, 0) is None:
                continue
            self.absent_since_ms[beginning] = None
            changed = True
        return changed

    def possible_origins(self, host: str, path: str) -> frozenset[Origin]:
        """Return the origins that a stream with this host and path can have."""
        return frozenset(
            beginning.origin
            for beginning in self.absent_since_ms
            if beginning.may_have_begun(host, path)
        )

    def ambiguous_origins(self) -> frozenset[Origin]:
        """Return the origins whose streams can't be told from those of others by their path."""
        if UNREADABLE in self.absent_since_ms:
            return frozenset(beginning.origin for beginning in self.absent_since_ms)
        scopes: dict[tuple[str, str], set[Origin]] = {}
        for beginning in self.absent_since_ms:
            scopes.setdefault((beginning.host, beginning.prefix), set()).add(beginning.origin)
        found: set[Origin] = set()
        for (host, prefix), origins in scopes.items():
            # Two routes share paths only if the prefix of one begins that of the other.
            for shorter in _prefixes(prefix):
                together = origins | scopes.get((host, shorter), set())
                if len(together) > 1:
                    found |= together
        return frozenset(found)

    def update_absent(self, listed: Collection[Origin], now_ms: int) -> bool:
        """Mark origins without servers and forget those that lapsed; returns if it has changed.

        ``now_ms`` is Unix time, which may jump by seconds.
        """
        changed = False
        for beginning, since_ms in list(self.absent_since_ms.items()):
            if beginning.origin in listed:
                # A holder whose listing was outdated may have taken it for absent.
                changed = changed or since_ms is not None
                self.absent_since_ms[beginning] = None
                continue
            if since_ms is None:
                self.absent_since_ms[beginning] = now_ms
                changed = True
            elif now_ms - since_ms >= LAPSE_MS:
                del self.absent_since_ms[beginning]
                changed = True
        return changed


def _prefixes(prefix: str) -> list[str]:
    """Return the path prefixes that begin a prefix, including itself; each ends with a slash."""
    return [prefix[: end + 1] for end, character in enumerate(prefix) if character == "/"]
