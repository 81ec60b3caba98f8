"""Guards against interviews that accept invalid answers or lose valid ones."""

import io

import pytest
from config_examples import DEPLOYMENTS, example
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from pistachionotch.config.generate import generate
from pistachionotch.config.interview import InputEndedError, Interview, answers_text
from pistachionotch.config.questionnaire import questions, read_answers


def replies_for(members, answers):
    """Return the lines that a user would type to give ``answers``."""
    lines = []
    for question in members:
        value = answers[question.name]
        if question.kind == "records":
            for index, record in enumerate(value):
                lines += ["y"] * (index >= question.minimum)
                lines += replies_for(question.members, record)
            lines.append("n")
        elif question.kind in ("names", "methods"):
            lines.append(" , ".join(value))
        elif question.kind == "flag":
            lines.append("yes" if value else "no")
        else:
            lines.append(str(value))
    return lines


def ask(lines):
    prompts = io.StringIO()
    return Interview(io.StringIO("\n".join(lines) + "\n"), prompts).run(), prompts.getvalue()


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_typed_answers_generate_the_same_values_as_the_file(deployment):
    from_file = read_answers(example(deployment, "answers.jsonc"), "f").unwrap()
    typed, _ = ask(replies_for(questions(), from_file.values))
    read_back = read_answers(answers_text(typed), "f").unwrap()
    assert read_back.values == from_file.values
    without_notes = [text.split("  //")[0] for text in generate(read_back).split("\n")]
    assert without_notes == [text.split("  //")[0] for text in generate(from_file).split("\n")]


def test_wrong_replies_are_explained_and_asked_again():
    from_file = read_answers(example("bituin", "answers.jsonc"), "f").unwrap()
    lines = replies_for(questions(), from_file.values)
    wrong = ["", "two words", *lines[:2], "a, a", *lines[2:]]
    typed, prompts = ask(wrong)
    assert answers_text(typed) == answers_text(ask(lines)[0])
    assert prompts.count("expected a name") == 2
    assert "is in this array already" in prompts


def test_a_repeated_name_is_refused():
    from_file = read_answers(example("bituin", "answers.jsonc"), "f").unwrap()
    lines = replies_for(questions(), from_file.values)
    with_repeated_region = [*lines[:3], "y", lines[1], "x", *lines[3:]]
    typed, prompts = ask(with_repeated_region)
    assert "'visayas' was entered already" in prompts
    assert len(typed["regions"]) == 2


@settings(max_examples=100)
@given(st.lists(st.sampled_from(["", "y", "n", "a", "1", "-1", "1e999", "a,b", "{", "é"])))
def test_any_input_ends_in_answers_or_in_a_clear_end(lines):
    try:
        typed, _ = ask(lines)
    except InputEndedError:
        return
    assert isinstance(read_answers(answers_text(typed), "f"), Success)
