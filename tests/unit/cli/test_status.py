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
