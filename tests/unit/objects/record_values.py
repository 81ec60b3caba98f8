"""Odd numbers and texts, and the way of a value through the platform's store."""

import json

from hypothesis import settings
from hypothesis import strategies as st

from pistachionotch.batches.model import (
    ItemResult,
    LogEntry,
    Owner,
    PartialResult,
    TextPiece,
)
from pistachionotch.config.spec import Address
from pistachionotch.malformed import MAX_INTEGER, MIN_INTEGER
from pistachionotch.platform.tolerant_json import dump_value, load_tolerantly
from pistachionotch.software.origin import Origin

EXAMPLES = settings(max_examples=60)
# Any text that UTF-8 can hold: NUL, line separators, characters outside the basic plane, quotes.
TEXTS = st.text(max_size=8) | st.sampled_from(
    ["\x00", "\u2028", "\U0001f600", '"\\', "%7E", "=a", "~/"]
)
INTEGERS = st.sampled_from(
    [0, 1, -1, 2**31, 2**53 + 1, 2**63, 2**64, MAX_INTEGER, MIN_INTEGER]
) | st.integers(MIN_INTEGER, MAX_INTEGER)
COUNTS = st.integers(0, MAX_INTEGER)
TIMES = st.integers(0, 10**14)
# Ids and paths of items are sent in request lines.
WORDS = st.text(st.characters(min_codepoint=0x21, max_codepoint=0x7E), min_size=1, max_size=8)
ADDRESSES = st.builds(Address, st.just("10.0.0.1"), st.integers(1, 65_535))
OWNERS = st.builds(Owner, node=TEXTS, incarnation=TEXTS, address=ADDRESSES)
ORIGINS = st.builds(Origin, TEXTS, TEXTS)


RESULTS = st.builds(
    ItemResult,
    id=WORDS,
    done=st.booleans(),
    text=TEXTS,
    versions=st.lists(INTEGERS, max_size=3).map(tuple),
    reward=TEXTS,
    pieces=st.just(""),
)
PARTIAL = st.builds(
    PartialResult,
    id=WORDS,
    texts=st.lists(TEXTS, max_size=3).map(tuple),
    last_event=st.none() | INTEGERS,
    versions=st.lists(INTEGERS, max_size=3).map(tuple),
    failures=COUNTS,
    failed_at=st.lists(TEXTS, max_size=2).map(tuple),
    complete=st.booleans(),
    reward_failures=COUNTS,
    origin=st.none() | ORIGINS,
)
ENTRIES = st.builds(
    LogEntry,
    token=TEXTS,
    results=st.lists(RESULTS, max_size=2).map(tuple),
    texts=st.lists(PARTIAL, max_size=2).map(tuple),
    piece=st.none() | st.builds(TextPiece, WORDS, WORDS, TEXTS),
    owner=st.none() | OWNERS,
    former_silent=st.booleans(),
    ended=st.booleans(),
)


def through_platform(value):
    """Return a value as a gateway reads it that has been written to the platform's store."""
    body = {"metadata": {"name": "n", "revision": 1}, "spec": json.loads(value)}
    answer = json.dumps(body, separators=(",", ":")).encode()
    return dump_value(load_tolerantly(answer)["spec"])
