"""Guards against a status report that hides why a process gave no answer."""

import json

from pistachionotch.cli import status as command
from pistachionotch.cli.output import ExitCode

REPLIES = {
    "10.0.0.1:80": command.Reply(500, "broken"),
    "10.0.0.2:80": command.Reply(0, None, "10.0.0.2:80: refused"),
}


def test_each_process_without_an_answer_is_named_with_its_reason(monkeypatch, capsys):
    monkeypatch.setattr(command, "request", lambda address, *_rest: REPLIES[address])
    assert command.status(*REPLIES, json=True) == ExitCode.UNAVAILABLE
    printed = json.loads(capsys.readouterr().out)
    assert printed["missing"] == ["10.0.0.1:80: status 500", "10.0.0.2:80: refused"]


def test_engines_that_a_roll_out_gave_up_are_named(monkeypatch, capsys):
    rollout = {"model": "fitting", "zone": "cebu", "version": 7, "done": 1, "waiting": 0}
    state = {"role": "entry", "node": "e", "zone": "cebu", "state": "serving", "config_revision": 1}
    state["rollouts"] = [{**rollout, "failed": ["agent-2"]}]
    monkeypatch.setattr(command, "request", lambda *_arguments: command.Reply(200, state))
    command.status("10.0.0.1:80")
    assert "version 7 on 1, 0 to go, given up: agent-2" in capsys.readouterr().out
