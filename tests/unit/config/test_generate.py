"""Guards against generated configurations that differ from the examples, lack the source of a value
or hide a wrong answer."""

import json

import pytest
from config_examples import DEPLOYMENTS, damaged, example, values
from hypothesis import given, settings
from returns.result import Success

from pistachionotch.config.check import check
from pistachionotch.config.generate import generate, generate_checked
from pistachionotch.config.questionnaire import questions, read_answers


def all_questions(members):
    for question in members:
        yield question
        yield from all_questions(question.members)


def test_question_ids_have_parents_and_known_kinds():
    asked = list(all_questions(questions()))
    assert len({question.id for question in asked}) == len(asked)
    for question in asked:
        assert question.text
        question.spec()
        assert (question.kind == "records") == bool(question.members)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_examples_are_what_their_answers_generate(deployment):
    text = example(deployment, "answers.jsonc")
    generated = generate_checked(text, "answers.jsonc").unwrap()
    assert generated == example(deployment, "configuration.jsonc")
    assert generated == generate(read_answers(text, "answers.jsonc").unwrap())
    assert isinstance(check(generated, "f"), Success)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_every_generated_value_names_its_answer_or_default(deployment):
    for line in example(deployment, "configuration.jsonc").split("\n"):
        is_value = line.strip() and not line.strip().startswith("//")
        if not is_value or line.rstrip().endswith(("{", "[", "}", "]", "},", "],")):
            continue
        assert "  // answer " in line or "  // default" in line


def answers(**changes):
    tree = {**values(example("bituin", "answers.jsonc")), **changes}
    return json.dumps(tree, indent=1)


@pytest.mark.parametrize(
    ("changes", "on_line", "message"),
    [
        ({"object_api_region": "panay"}, "panay", "unknown region 'panay'"),
        ({"between_regions_latency_ms": 5000}, "deadline_ms", "not above the slowest round trip"),
        ({"between_regions_mbit_per_s": 0}, "mbit_per_s", "0 is not above 0"),
        ({"retry_budjet": 1}, "retry_budjet", "did you mean 'retry_budget'?"),
        ({"deployment": ""}, "deployment", "expected a name"),
        ({"request_classes": []}, "request_classes", "at least 1 needed"),
        (
            {"other_links": [{"between": ["cebu", "luzon"], "latency_ms": 1, "mbit_per_s": 1}]},
            "between",
            "unknown region 'cebu'",
        ),
        (
            {"regions": [{"name": "visayas", "zones": ["a"]}, {"name": "visayas", "zones": ["b"]}]},
            "visayas",
            "'visayas' is the name of an earlier entry",
        ),
    ],
)
def test_a_wrong_answer_is_reported_in_the_answers_file(changes, on_line, message):
    text = answers(**changes)
    findings = generate_checked(text, "answers").failure()
    matching = [item for item in findings if message in item.message]
    assert matching, findings
    assert matching[0].place.file == "answers"
    assert on_line in text.split("\n")[matching[0].place.line - 1]


@settings(max_examples=200)
@given(damaged("answers.jsonc"))
def test_damaged_answers_give_findings_inside_the_answers_file(text):
    lines = text.split("\n")
    result = generate_checked(text, "answers")
    if isinstance(result, Success):
        return
    assert result.failure()
    for finding in result.failure():
        assert finding.place.file == "answers"
        assert 1 <= finding.place.line <= len(lines)
        assert 1 <= finding.place.column <= len(lines[finding.place.line - 1])


def test_links_take_their_own_answers_before_the_general_ones():
    text = answers(
        other_links=[{"between": ["luzon", "visayas"], "latency_ms": 40, "mbit_per_s": 100}]
    )
    configuration = check(generate_checked(text, "f").unwrap(), "f").unwrap()
    assert configuration.network.latency_ms("visayas", "luzon") == 40


def test_retention_covers_the_longest_retry_horizon():
    configuration = check(example("furao", "configuration.jsonc"), "f").unwrap()
    longest = max(caller.retry_horizon_ms for caller in configuration.callers.values())
    assert configuration.claims.retention_ms >= 2 * longest
