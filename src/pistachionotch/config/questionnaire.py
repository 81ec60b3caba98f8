"""The questionnaire: its questions, and the reading of answers."""

from __future__ import annotations

import functools
from importlib import resources
from typing import Any

import attrs
from returns.result import Result

from ..findings import Finding, Place
from .document import parse_and_build, read_document
from .located import Located, plain
from .plain import parse_valid
from .reading import REJECTED, Reading, ValuePath
from .schema import METHOD, ROUTE_PATH
from .spec import (
    NAME,
    ChoiceSpec,
    FieldSpec,
    FlagSpec,
    IntegerSpec,
    ListSpec,
    NumberSpec,
    RecordSpec,
    Spec,
)

_NO_DEFAULT = object()


@attrs.frozen
class Question:
    """A question; one of kind ``records`` asks its ``members`` for each record.

    The answer to a ``key`` question must be unique among the records.
    """

    id: str
    kind: str
    text: str
    minimum: float = 0
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    default: Any = _NO_DEFAULT
    key: bool = False
    members: tuple[Question, ...] = ()

    @property
    def name(self) -> str:
        """Return the key of the answer."""
        return self.id.rpartition(".")[2]

    @property
    def has_default(self) -> bool:
        """Return whether the answer may be omitted."""
        return self.default is not _NO_DEFAULT

    def spec(self) -> Spec:
        """Return the specification of the answer."""
        key = next((member.name for member in self.members if member.key), None)
        whole_maximum = None if self.maximum is None else int(self.maximum)
        specs: dict[str, Spec] = {
            "name": NAME,
            "names": ListSpec(NAME, int(self.minimum), distinct=True),
            "path": ROUTE_PATH,
            "methods": ListSpec(METHOD, int(self.minimum), distinct=True),
            "integer": IntegerSpec(int(self.minimum), whole_maximum),
            "number": NumberSpec(self.minimum, self.maximum),
            "flag": FlagSpec(),
            "choice": ChoiceSpec(self.choices),
            "records": ListSpec(record_spec(self.members), int(self.minimum), key=key),
        }
        return specs[self.kind]


@attrs.frozen
class Answers:
    """Checked answers by the names of their questions, with the place of each."""

    values: dict[str, Any]
    reading: Reading

    def place_of(self, path: ValuePath) -> Place:
        """Return the place of an answer, or of the closest value around an omitted one."""
        return self.reading.place_of(path)


@functools.cache
def questions() -> tuple[Question, ...]:
    """Return the questions of the data file, each with its members."""
    text = resources.files(__package__).joinpath("questions.jsonc").read_text()
    located = parse_valid(text, "questions.jsonc")
    if located is None:
        raise ValueError("questions.jsonc is not valid JSON with comments")
    flat = [_question(item) for item in plain(located)]
    return _children("", flat)


def _question(item: dict[str, Any]) -> Question:
    default = item.get("default", _NO_DEFAULT)
    if isinstance(default, list):
        default = tuple(default)
    choices = tuple(item.get("choices", ()))
    return Question(**{**item, "default": default, "choices": choices})


def _children(parent: str, flat: list[Question]) -> tuple[Question, ...]:
    children = []
    for question in flat:
        if question.id.rpartition(".")[0] != parent:
            continue
        children.append(attrs.evolve(question, members=_children(question.id, flat)))
    return tuple(children)


def record_spec(members: tuple[Question, ...]) -> RecordSpec:
    """Return the specification of an object with one member for each question."""
    fields = {}
    for question in members:
        default = question.default if question.has_default else attrs.NOTHING
        fields[question.name] = FieldSpec(question.spec(), default)
    return RecordSpec(fields)


def read_answers(text: str, file: str) -> Result[Answers, tuple[Finding, ...]]:
    """Return the answers in ``text``, or all findings."""
    return parse_and_build(text, file, _build)


def locate_answers(text: str, file: str) -> Answers:
    """Read valid answers again, with the places that ``read_answers`` omits."""
    from .jsonc import parse_jsonc

    reading = Reading()
    answers = _build(parse_jsonc(text, file).unwrap(), reading)
    if answers is None:
        raise ValueError(f"{file} has findings")
    return answers


def _build(located: Located, reading: Reading) -> Answers | None:
    values = read_document(record_spec(questions()), located, reading)
    if values is REJECTED:
        return None
    return Answers(values, reading)
