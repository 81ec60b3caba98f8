"""Guards against messages altered by the codec and malformed frames that it accepts."""

import contextlib

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachionotch.admission.load import LoadReport
from pistachionotch.outcomes import Execution, RequestClass
from pistachionotch.samples.spans import VersionSpan
from pistachionotch.wire import codec, messages

SUBMIT = messages.Submit(
    "a-1",
    "r-1",
    RequestClass.STOREFRONT,
    500,
    False,
    "services/storefront",
    "key",
    "POST",
    "/orders",
    (("accept", "text/plain"),),
    b"\x00\xff",
    0,
)
FINISHED = messages.Finished(
    "a-1", 2, 10, 77, 200, (), (VersionSpan(3, 4), VersionSpan(4, 1)), Execution.DONE
)
HEARTBEAT = messages.Heartbeat(
    1, 9, LoadReport({RequestClass.LONG: 2}, {}, {RequestClass.LONG: 30}, 8, 40.5)
)


@pytest.mark.parametrize("message", [SUBMIT, FINISHED, HEARTBEAT, messages.Leaving("drain")])
def test_messages_round_trip(message):
    assert codec.decode(codec.encode(message)) == message


def test_missing_trailing_fields_take_their_defaults():
    fields = cbor2.loads(codec.encode(FINISHED))[:-1]
    assert codec.decode(cbor2.dumps(fields)) == FINISHED


@settings(max_examples=300)
@given(st.binary(max_size=200))
def test_random_bytes_raise_only_the_malformed_message_error(frame):
    with contextlib.suppress(codec.MalformedMessageError):
        codec.decode(frame)


JSON_LIKE = st.recursive(
    st.none() | st.integers() | st.text(max_size=5) | st.binary(max_size=5) | st.floats(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=2),
    max_leaves=10,
)


@settings(max_examples=500)
@given(st.integers(0, 25), st.lists(JSON_LIKE, max_size=14))
def test_wrong_fields_are_rejected_and_never_coerced(number, fields):
    try:
        message = codec.decode(cbor2.dumps([number, *fields]))
    except codec.MalformedMessageError:
        return
    assert codec.decode(codec.encode(message)) == message


def test_text_for_a_number_is_rejected():
    with pytest.raises(codec.MalformedMessageError):
        codec.decode(cbor2.dumps([16, "7"]))


def test_oversized_frame_is_rejected_before_decoding():
    with pytest.raises(codec.MalformedMessageError, match="exceeds"):
        codec.decode(b"\x00" * (codec.MAX_MESSAGE_BYTES + 1))
