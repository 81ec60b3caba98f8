"""Parser for JSON with comments that records the place of every value and every finding.

Importing lark costs 7.5 MB of resident memory, so it is imported at the first parse. Daemons read
valid input with ``plain.parse_valid`` and use this parser only to locate findings.
"""

from __future__ import annotations

import functools
import json
from collections.abc import Iterator
from importlib import resources
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from ..findings import Finding, Findings, Place
from .located import MAX_DEPTH, Located, Member, has_lone_surrogate, number_of, size_finding

_WORDS = {"true": True, "false": False, "null": None}
_TERMINAL_DESCRIPTIONS = {
    "STRING": "a string",
    "NUMBER": "a number",
    "WORD": "true, false or null",
    "LBRACE": "'{'",
    "RBRACE": "'}'",
    "LSQB": "'['",
    "RSQB": "']'",
    "COLON": "':'",
    "COMMA": "','",
    "$END": "the end of the file",
}
_VALUE_STARTS = frozenset({"STRING", "NUMBER", "WORD", "LBRACE", "LSQB"})


class _TooDeepError(Exception):
    """Raised at the token that exceeds the nesting limit."""

    def __init__(self, token: Any) -> None:
        super().__init__()
        self.token = token


class _DepthLimit:
    """A lark post-lexer that limits the nesting depth."""

    always_accept = ()

    def process(self, stream: Iterator[Any]) -> Iterator[Any]:
        """Yield the tokens, or raise ``_TooDeepError`` at the first one nested too deeply."""
        depth = 0
        for token in stream:
            if token.type in ("LBRACE", "LSQB"):
                depth += 1
            elif token.type in ("RBRACE", "RSQB"):
                depth -= 1
            if depth > MAX_DEPTH:
                raise _TooDeepError(token)
            yield token


@functools.cache
def _parser() -> Any:
    from lark import Lark

    grammar = resources.files(__package__).joinpath("jsonc.lark").read_text()
    return Lark(
        grammar,
        parser="lalr",
        propagate_positions=True,
        maybe_placeholders=False,
        postlex=_DepthLimit(),
    )


def parse_jsonc(text: str, file: str) -> Result[Located, tuple[Finding, ...]]:
    """Parse ``text``, or return all findings; ``file`` is the file name in their places."""
    findings = Findings()
    located = read_jsonc(text, file, findings)
    if located is None or findings:
        return Failure(tuple(sorted(findings.items)))
    return Success(located)


def read_jsonc(text: str, file: str, findings: Findings) -> Located | None:
    """Parse ``text`` and add its findings; return None if it is too large or has a syntax error.

    Despite duplicate keys, bad numbers, bad strings or unknown words a value is returned, so that
    the caller can report these findings together with its own.
    """
    too_large = size_finding(text, file)
    if too_large is not None:
        findings.items.append(too_large)
        return None
    from lark import UnexpectedCharacters, UnexpectedToken

    try:
        tree = _parser().parse(text)
    except UnexpectedCharacters as error:
        place = Place(file, error.line, error.column)
        findings.add(place, _unexpected_characters(text, error.pos_in_stream or 0))
        return None
    except UnexpectedToken as error:
        place = _token_place(error.token, text, file)
        findings.add(place, _unexpected_token(error))
        return None
    except _TooDeepError as error:
        place = _token_place(error.token, text, file)
        findings.add(place, f"nested more than {MAX_DEPTH} levels deep")
        return None
    return _Builder(file, findings).build(tree)


def _token_place(token: Any, text: str, file: str) -> Place:
    if token.type != "$END":
        return Place(file, token.line, token.column)
    line = text.count("\n") + 1
    return Place(file, line, len(text) - (text.rfind("\n") + 1) + 1)


def _unexpected_characters(text: str, position: int) -> str:
    if text.startswith('"', position):
        return "string is not closed on its line"
    if text.startswith("/*", position):
        return "comment is not closed"
    return f"unexpected character {text[position]!r}"


def _unexpected_token(error: Any) -> str:
    accepted = set(error.accepts or error.expected)
    names = [_TERMINAL_DESCRIPTIONS[name] for name in sorted(accepted - _VALUE_STARTS)]
    if accepted >= _VALUE_STARTS:
        names.append("a value")
    else:
        names.extend(_TERMINAL_DESCRIPTIONS[name] for name in sorted(accepted & _VALUE_STARTS))
    wanted = " or ".join(names)
    if error.token.type == "$END":
        return f"file ends where {wanted} is expected"
    return f"expected {wanted}, found {str(error.token)[:40]}"


@attrs.frozen
class _Builder:
    """Converts lark's tree into located values."""

    file: str
    findings: Findings

    def build(self, tree: Any) -> Located:
        """Return the value of ``tree``; the depth limit bounds the recursion."""
        place = Place(self.file, tree.meta.line, tree.meta.column)
        if tree.data == "object":
            return Located(self._members(tree.children), place)
        if tree.data == "array":
            return Located(tuple(self.build(child) for child in tree.children), place)
        token = tree.children[0]
        if tree.data == "string":
            return Located(self._string(token), place)
        if tree.data == "number":
            return Located(self._number(token, place), place)
        return Located(self._word(token, place), place)

    def _members(self, pairs: list[Any]) -> dict[str, Member]:
        members: dict[str, Member] = {}
        for pair in pairs:
            key_token, value_tree = pair.children
            key_place = Place(self.file, key_token.line, key_token.column)
            key = self._string(key_token)
            item = self.build(value_tree)
            first = members.get(key)
            if first is None:
                members[key] = Member(key_place, item)
                continue
            where = first.key_place
            self.findings.add(
                key_place, f"duplicate key {key!r}, first at line {where.line}:{where.column}"
            )
        return members

    def _string(self, token: Any) -> str:
        place = Place(self.file, token.line, token.column)
        try:
            text = json.loads(token)
        except json.JSONDecodeError as error:
            inside = Place(self.file, token.line, token.column + error.pos)
            self.findings.add(inside, f"bad string: {error.msg.lower()}")
            return ""
        if has_lone_surrogate(text):
            self.findings.add(place, "string contains half of a surrogate pair")
            return ""
        return str(text)

    def _number(self, token: Any, place: Place) -> int | float:
        try:
            return number_of(str(token))
        except ValueError as error:
            self.findings.add(place, str(error))
            return 0

    def _word(self, token: Any, place: Place) -> bool | None:
        if token in _WORDS:
            return _WORDS[token]
        self.findings.add(place, f"unknown word '{token[:40]}'; a string needs double quotes")
        return None
