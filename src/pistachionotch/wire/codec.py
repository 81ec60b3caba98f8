"""CBOR encoding of messages as arrays of a type number and the fields in declaration order."""

from __future__ import annotations

from typing import Any

import attrs
import cattrs
import cbor2
from cattrs import UnstructureStrategy

from ..admission.load import LoadReport
from ..outcomes import Execution, RequestClass
from ..prefixes.cache_estimate import CacheChange, CacheReport
from ..samples.spans import VersionSpan
from . import messages

# Type numbers are permanent: the number of a removed type is never reused.
_TYPE_NUMBERS: dict[type, int] = {
    messages.Hello: 1,
    messages.Proof: 2,
    messages.Heartbeat: 3,
    messages.Submit: 4,
    messages.Refused: 5,
    messages.Started: 6,
    messages.Piece: 7,
    messages.Finished: 8,
    messages.Cancel: 9,
    messages.IssueKey: 12,
    messages.KeyIssued: 13,
    messages.Leaving: 14,
    messages.ConfigOffer: 15,
    messages.ConfigFetch: 16,
    messages.ConfigBody: 17,
    messages.Order: 18,
    messages.OrderResult: 19,
    messages.FetchBody: 20,
    messages.Withdraw: 21,
}
_MESSAGE_TYPES = {number: kind for kind, number in _TYPE_NUMBERS.items()}
# Classes are sent as numbers because a heartbeat names each class in use three times. These
# numbers are permanent as well.
_CLASS_NUMBERS = {
    RequestClass.STOREFRONT: 1,
    RequestClass.CONFIRMATION: 2,
    RequestClass.TRAINING: 3,
    RequestClass.LONG: 4,
}
_REQUEST_CLASSES = {number: name for name, number in _CLASS_NUMBERS.items()}

MAX_MESSAGE_BYTES = 1024 * 1024
MAX_UNAUTHENTICATED_BYTES = 4096


class MalformedMessageError(Exception):
    """The peer sent bytes that are not a message of this protocol."""


def _check_type(value: Any, kind: type) -> Any:
    if type(value) is not kind:
        raise ValueError(f"expected {kind.__name__}, got {type(value).__name__}")
    return value


def _structure_float(value: Any, _kind: type) -> float:
    if type(value) not in (int, float):
        raise ValueError(f"expected float, got {type(value).__name__}")
    return float(value)


def _structure_enum(value: Any, kind: type) -> Any:
    return kind(_check_type(value, str))


def _structure_request_class(value: Any, _kind: type) -> RequestClass:
    return _REQUEST_CLASSES[_check_type(value, int)]


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        unstruct_strat=UnstructureStrategy.AS_TUPLE, detailed_validation=False
    )
    # Without these hooks cattrs would coerce values, for example accept "1" as 1.
    for kind in (int, str, bytes, bool):
        converter.register_structure_hook(kind, _check_type)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(Execution, _structure_enum)
    converter.register_structure_hook(RequestClass, _structure_request_class)
    converter.register_unstructure_hook(RequestClass, _CLASS_NUMBERS.__getitem__)
    for record in (*_MESSAGE_TYPES.values(), LoadReport, VersionSpan, CacheChange, CacheReport):
        # All modules postpone annotations as strings; the converter needs the resolved types.
        attrs.resolve_types(record)
    return converter


_CONVERTER = _make_converter()


def encode(message: messages.Message) -> bytes:
    """Return the encoded frame of a message."""
    number = _TYPE_NUMBERS[type(message)]
    return cbor2.dumps([number, *_CONVERTER.unstructure(message)])


def decode(frame: bytes | str) -> messages.Message:
    """Return the message in a frame; raise ``MalformedMessageError`` if it is invalid."""
    if isinstance(frame, str):
        raise MalformedMessageError("not a whole binary frame")
    if len(frame) > MAX_MESSAGE_BYTES:
        raise MalformedMessageError(f"frame of {len(frame)} bytes exceeds {MAX_MESSAGE_BYTES}")
    try:
        fields = cbor2.loads(frame)
        kind = _MESSAGE_TYPES[fields[0]]
        return _CONVERTER.structure(tuple(fields[1:]), kind)
    except Exception as error:  # the libraries raise many exception types on invalid input
        raise MalformedMessageError(f"{type(error).__name__}: {error}") from error
