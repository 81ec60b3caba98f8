"""Guards against exit codes and base files that mislead an operator or a script."""

import json
from pathlib import Path

import pytest

from pistachionotch.cli import execute, store
from pistachionotch.cli.output import ExitCode
from pistachionotch.clock import ManualClock
from pistachionotch.objects.memory import MemoryStore

EXAMPLES = Path(__file__).parents[3] / "examples"
API = "--object-api=127.0.0.1:7000"


@pytest.fixture
def memory(monkeypatch):
    memory = MemoryStore(clock=ManualClock())
    monkeypatch.setattr(store, "open_store", lambda address: memory)
    return memory


@pytest.fixture
def mine(tmp_path):
    path = tmp_path / "mine.jsonc"
    path.write_text((EXAMPLES / "bituin" / "configuration.jsonc").read_text())
    return path


def edit(path, before, after):
    text = path.read_text()
    assert before in text
    path.write_text(text.replace(before, after))


def test_operators_race_and_the_loser_includes_the_changes(memory, mine, tmp_path, capsys):
    theirs = tmp_path / "theirs.jsonc"
    assert execute(["apply", str(mine), API]) == ExitCode.DONE
    assert execute(["fetch", str(theirs), API]) == ExitCode.DONE
    edit(theirs, '"staleness_bound": 2', '"staleness_bound": 3')
    assert execute(["apply", str(theirs), API]) == ExitCode.DONE
    edit(mine, '"retry_budget": 0.1,  // default of answer retry_budget\n      "checks', '"checks')
    edit(mine, '"checks_fences"', '"retry_budget": 0.3, "checks_fences"')
    capsys.readouterr()
    assert execute(["apply", str(mine), API]) == ExitCode.CONFLICT
    complaint = capsys.readouterr().err
    assert "based on revision 1, now revision 2" in complaint
    assert "models.fitting.staleness_bound: 2 -> 3" in complaint
    assert "retry_budget:" not in complaint
    assert execute(["apply", str(mine), API, "--json"]) == ExitCode.CONFLICT
    report = json.loads(capsys.readouterr().out)
    assert (report["error"], report["current_revision"]) == ("conflict", 2)
    edit(mine, '"staleness_bound": 2', '"staleness_bound": 3')
    assert execute(["apply", str(mine), API, "--revision=2", "--json"]) == ExitCode.DONE
    assert json.loads(capsys.readouterr().out) == {"revision": 3, "changed": True}
    assert execute(["apply", str(mine), API]) == ExitCode.DONE
    assert memory.revision == 3


def test_exit_codes_of_failures(memory, mine, tmp_path, capsys):
    assert execute(["apply", str(mine)]) == ExitCode.USAGE
    assert execute(["apply", str(mine), "--object-api=nowhere"]) == ExitCode.USAGE
    memory.faults.lose_writes = 5
    assert execute(["apply", str(mine), API]) == ExitCode.UNKNOWN
    memory.faults.outage = True
    assert execute(["apply", str(mine), API]) == ExitCode.UNAVAILABLE
    assert execute(["fetch", str(mine), API]) == ExitCode.UNAVAILABLE
    memory.faults.outage = False
    edit(mine, '"staleness_bound": 2', '"staleness_bound": 0')
    assert execute(["apply", str(mine), API]) == ExitCode.FINDINGS
    assert "0 is below 1" in capsys.readouterr().err
    Path(f"{mine}.base").write_text("[]")
    assert execute(["apply", str(mine), API]) == ExitCode.FINDINGS
    assert "not a base file" in capsys.readouterr().err
    assert memory.revision == 0


def test_fetch_of_nothing_keeps_the_file_and_allows_a_first_apply(memory, mine):
    text = mine.read_text()
    assert execute(["fetch", str(mine), API]) == ExitCode.DONE
    assert mine.read_text() == text
    assert execute(["apply", str(mine), API]) == ExitCode.DONE


def test_settings_name_the_object_api(memory, mine):
    settings = EXAMPLES / "bituin" / "entry.settings.jsonc"
    assert execute(["apply", str(mine), f"--settings={settings}"]) == ExitCode.DONE


def test_answers_lead_to_the_example_configuration(tmp_path, capsys, monkeypatch):
    answers = EXAMPLES / "furao" / "answers.jsonc"
    complete, output = tmp_path / "answers.jsonc", tmp_path / "configuration.jsonc"
    asked = ["ask", f"--answers={answers}", f"--output={complete}"]
    assert execute(asked) == ExitCode.DONE
    assert execute(["generate", str(complete), "--output", str(output)]) == ExitCode.DONE
    assert execute(["check", str(output), "--json"]) == ExitCode.DONE
    assert json.loads(capsys.readouterr().out) == {"findings": []}
    assert execute(["generate", str(answers)]) == ExitCode.DONE
    expected = (EXAMPLES / "furao" / "configuration.jsonc").read_text()
    assert capsys.readouterr().out == expected
    assert execute(["ask", f"--answers={answers}", "--json"]) == ExitCode.DONE
    assert json.loads(capsys.readouterr().out)["deployment"] == "furao"
    edit(complete, '"object_api_region": "recife"', '"object_api_region": "natal"')
    assert execute(["generate", str(complete)]) == ExitCode.FINDINGS
    unwritable = tmp_path / "absent" / "file"
    assert execute(["generate", str(answers), f"--output={unwritable}"]) == ExitCode.UNAVAILABLE


def test_asking_on_an_input_that_ends_writes_nothing(tmp_path, monkeypatch, capsys):
    replies = tmp_path / "replies"
    replies.write_text("demo\n")
    with replies.open() as stream:
        monkeypatch.setattr("sys.stdin", stream)
        assert execute(["ask", f"--output={tmp_path / 'answers'}"]) == ExitCode.USAGE
    assert not (tmp_path / "answers").exists()
