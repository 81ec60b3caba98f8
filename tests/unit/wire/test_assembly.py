"""Guards against incomplete, reordered or mixed-up pieces accepted as a complete response."""

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from pistachionotch.outcomes import Execution
from pistachionotch.wire.assembly import Assembler, PieceCounter
from pistachionotch.wire.messages import Finished, Piece


def _make_response(parts, attempt="a"):
    counter = PieceCounter()
    pieces = [Piece(attempt, counter.add(data), data, -1, 0) for data in parts]
    finished = Finished(
        attempt, counter.pieces, counter.size_bytes, counter.checksum, 200, (), (), Execution.DONE
    )
    return pieces, finished


def _assemble(pieces, finished):
    assembler = Assembler("a")
    for piece in pieces:
        if not isinstance(assembler.add(piece), Success):
            return None
    return assembler.finish(finished).map(lambda complete: complete.body).value_or(None)


PARTS = st.lists(st.binary(max_size=6), max_size=6)


@settings(derandomize=True, deadline=None)
@given(PARTS)
def test_complete_response_is_returned_unchanged(parts):
    assert _assemble(*_make_response(parts)) == b"".join(parts)


@settings(max_examples=300)
@given(PARTS, PARTS, st.data())
def test_corrupted_responses_are_never_accepted_with_other_bytes(parts, others, data):
    """Drop, repeat, mix and reorder pieces of two responses arbitrarily."""
    pieces, finished = _make_response(parts)
    foreign, _ = _make_response(others, attempt="b")
    pool = pieces + foreign
    arrived = data.draw(st.lists(st.sampled_from(pool), max_size=8)) if pool else []
    body = _assemble(arrived, finished)
    assert body is None or body == b"".join(parts)


def test_checksum_detects_a_changed_byte():
    pieces, finished = _make_response([b"ab", b"cd"])
    assert _assemble([pieces[0], Piece("a", 1, b"cx", -1, 0)], finished) is None


def test_missing_last_piece_is_detected():
    pieces, finished = _make_response([b"ab", b"cd"])
    assert _assemble(pieces[:1], finished) is None
