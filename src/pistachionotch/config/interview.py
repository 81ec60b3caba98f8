"""Interactive questionnaire on a terminal or a pipe."""

from __future__ import annotations

from functools import singledispatch
from typing import Any, TextIO

import attrs

from ..findings import Place
from .located import Located, Member, number_of
from .questionnaire import Question, questions
from .reading import Reading, read_value
from .spec import FlagSpec, IntegerSpec, ListSpec, NumberSpec, Spec
from .writer import AnnotatedValue, Tree, Writer

_YES = frozenset({"y", "yes", "true"})
_NO = frozenset({"n", "no", "false"})


class InputEndedError(Exception):
    """Raised when the input ends before the last question is answered."""


@attrs.frozen
class Interview:
    """Writes questions to ``prompts`` and reads one answer per line from ``replies``."""

    replies: TextIO
    prompts: TextIO

    def run(self) -> dict[str, Any]:
        """Return the answers to all questions, or raise ``InputEndedError``."""
        return self._record(questions())

    def _record(self, members: tuple[Question, ...]) -> dict[str, Any]:
        return {question.name: self._answer(question) for question in members}

    def _answer(self, question: Question) -> Any:
        if question.kind == "records":
            return self._records(question)
        while True:
            reply = self._reply(_prompt(question))
            if not reply and question.has_default:
                return question.default
            try:
                return _validated(question.spec(), reply)
            except ValueError as error:
                self.prompts.write(f"  {error}\n")

    def _records(self, question: Question) -> list[dict[str, Any]]:
        records: list[dict[str, Any]] = []
        while len(records) < question.minimum or self._wants_another(question, len(records)):
            self.prompts.write(f"{question.text}, number {len(records) + 1}:\n")
            record = self._record(question.members)
            if self._has_duplicate_key(question, record, records):
                continue
            records.append(record)
        return records

    def _wants_another(self, question: Question, count: int) -> bool:
        while True:
            reply = self._reply(f"{question.text}: add {'another' if count else 'one'}? (y/n)")
            if reply.lower() in _YES:
                return True
            if reply.lower() in _NO or not reply:
                return False

    def _has_duplicate_key(
        self, question: Question, record: dict[str, Any], records: list[dict[str, Any]]
    ) -> bool:
        for item in question.members:
            if item.key and any(record[item.name] == other[item.name] for other in records):
                self.prompts.write(f"  '{record[item.name]}' was entered already\n")
                return True
        return False

    def _reply(self, prompt: str) -> str:
        self.prompts.write(f"{prompt}: ")
        self.prompts.flush()
        line = self.replies.readline()
        if not line:
            raise InputEndedError
        return line.strip()


def _prompt(question: Question) -> str:
    hints = []
    if question.choices:
        hints.append("one of " + ", ".join(question.choices))
    if question.kind in ("names", "methods"):
        hints.append("separated by commas")
    if question.kind == "flag":
        hints.append("y/n")
    if question.has_default:
        hints.append(f"empty for {question.default}")
    return question.text + (f" ({'; '.join(hints)})" if hints else "")


def _validated(spec: Spec, reply: str) -> Any:
    """Parse and validate a reply, or raise ``ValueError`` with the reason."""
    value = _parse(spec, reply)
    reading = Reading()
    read_value(spec, _located(value), (), reading)
    if reading.findings:
        raise ValueError(reading.findings.items[0].message)
    return value


@singledispatch
def _parse(spec: Spec, reply: str) -> Any:
    return reply


@_parse.register(IntegerSpec)
@_parse.register(NumberSpec)
def _parse_number(spec: IntegerSpec | NumberSpec, reply: str) -> Any:
    return number_of(reply)


@_parse.register
def _parse_flag(spec: FlagSpec, reply: str) -> Any:
    if reply.lower() in _YES | _NO:
        return reply.lower() in _YES
    raise ValueError("expected y or n")


@_parse.register
def _parse_list(spec: ListSpec, reply: str) -> Any:
    return [item.strip() for item in reply.split(",") if item.strip()]


def _located(value: Any) -> Located:
    place = Place("answer")
    if isinstance(value, list | tuple):
        return Located(tuple(_located(item) for item in value), place)
    if isinstance(value, dict):
        return Located({key: Member(place, _located(item)) for key, item in value.items()}, place)
    return Located(value, place)


def answers_text(answers: dict[str, Any]) -> str:
    """Format answers as JSON with the text of each question as a comment."""
    writer = Writer()
    writer.comment("Answers to the questionnaire; 'pistachionotch generate' reads them.")
    writer.write(_annotated_record(questions(), answers))
    return writer.text()


def _annotated_record(members: tuple[Question, ...], answers: dict[str, Any]) -> Tree:
    tree: dict[str, Tree] = {}
    for question in members:
        value = answers[question.name]
        if question.kind == "records":
            tree[question.name] = [_annotated_record(question.members, item) for item in value]
            continue
        tree[question.name] = AnnotatedValue(value, question.text)
    return tree
