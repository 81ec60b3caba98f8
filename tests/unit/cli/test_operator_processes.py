"""Guards against commands that fail as real processes with the object API stand-in."""

import os
import shutil
import sys
from pathlib import Path

import pytest
from gevent import subprocess

from pistachionotch.cli.output import ExitCode
from pistachionotch.objects.memory import MemoryStore
from pistachionotch.standins.object_store import ObjectStoreApp, serve

EXAMPLE = Path(__file__).parents[3] / "examples" / "bituin" / "configuration.jsonc"
TIMEOUT_S = 60


@pytest.fixture
def app():
    return ObjectStoreApp(MemoryStore())


@pytest.fixture
def operator(app):
    """Return a function that starts a command of an operator."""
    server = serve(app)
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}

    def start(*arguments):
        command = [sys.executable, "-m", "pistachionotch", *arguments]
        command.append(f"--object-api=127.0.0.1:{server.server_port}")
        return subprocess.Popen(
            command, env=environment, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
        )

    yield start
    server.stop(timeout=1)


def finish(process):
    output, complaint = process.communicate(timeout=TIMEOUT_S)
    return process.returncode, output + complaint


def test_of_operators_who_apply_at_the_same_time_exactly_one_wins(app, operator, tmp_path):
    paths = [tmp_path / f"operator-{number}.jsonc" for number in range(3)]
    shutil.copy(EXAMPLE, tmp_path / "first.jsonc")
    assert finish(operator("apply", str(tmp_path / "first.jsonc")))[0] == ExitCode.DONE
    for path in paths:
        assert finish(operator("fetch", str(path)))[0] == ExitCode.DONE
    for number, path in enumerate(paths, 3):
        text = path.read_text()
        path.write_text(text.replace('"staleness_bound": 2', f'"staleness_bound": {number}'))
    outcomes = [finish(process) for process in [operator("apply", str(path)) for path in paths]]
    codes = [code for code, _ in outcomes]
    assert sorted(codes) == [ExitCode.DONE, ExitCode.CONFLICT, ExitCode.CONFLICT]
    winner = codes.index(ExitCode.DONE) + 3
    for code, text in outcomes:
        if code == ExitCode.CONFLICT:
            assert f"models.fitting.staleness_bound: 2 -> {winner}" in text
    assert app.store.revision == 2


def test_a_lost_answer_is_settled_and_an_outage_is_reported(app, operator, tmp_path):
    path = tmp_path / "mine.jsonc"
    shutil.copy(EXAMPLE, path)
    app.store.faults.lose_answers = 1
    assert finish(operator("apply", str(path))) == (ExitCode.DONE, f"{path}: revision 1, applied\n")
    app.store.set_outage(True)
    code, text = finish(operator("apply", str(path)))
    assert code == ExitCode.UNAVAILABLE
    assert "nothing was applied" in text
