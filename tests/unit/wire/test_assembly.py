"""Guards against incomplete, reordered or foreign pieces passing as a complete response."""

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from pistachionotch.outcomes import Execution
from pistachionotch.wire.assembly import Assembler, PieceCounter
from pistachionotch.wire.messages import Finished, Piece


def _response(parts, attempt="a"):
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
    return assembler.finish(finished).map(lambda whole: whole.body).value_or(None)


PARTS = st.lists(st.binary(max_size=6), max_size=6)


@settings(derandomize=True, deadline=None)
@given(PARTS)
def test_complete_response_is_returned_unchanged(parts):
    assert _assemble(*_response(parts)) == b"".join(parts)


@settings(max_examples=300)
@given(PARTS, PARTS, st.data())
def test_disturbed_responses_are_never_complete_with_other_bytes(parts, others, data):
    """Pieces of two responses are dropped, repeated, crossed and reordered at will."""
    pieces, finished = _response(parts)
    foreign, _ = _response(others, attempt="b")
    pool = pieces + foreign
    arrived = data.draw(st.lists(st.sampled_from(pool), max_size=8)) if pool else []
    body = _assemble(arrived, finished)
    assert body is None or body == b"".join(parts)


def test_changed_byte_is_noticed_by_the_checksum():
    pieces, finished = _response([b"ab", b"cd"])
    assert _assemble([pieces[0], Piece("a", 1, b"cx", -1, 0)], finished) is None


def test_missing_last_piece_is_noticed():
    pieces, finished = _response([b"ab", b"cd"])
    assert _assemble(pieces[:1], finished) is None
