"""Guards against processes that start with inconsistent or invalid settings."""

import json
import os
import subprocess
import sys

import pytest
from config_examples import DEPLOYMENTS, EXAMPLES, example, values
from returns.result import Failure

from pistachionotch.config.settings import Role, UpstreamKind, load_settings
from pistachionotch.config.spec import Address


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_examples_load(deployment):
    entry = load_settings(EXAMPLES / deployment / "entry.settings.jsonc").unwrap()
    agent = load_settings(EXAMPLES / deployment / "agent.settings.jsonc").unwrap()
    assert (entry.role, agent.role) == (Role.ENTRY, Role.AGENT)
    assert entry.key == agent.key
    assert agent.upstream.kind in UpstreamKind
    assert entry.peers == (agent.listen.wire,)
    assert entry.deployment_key not in repr(entry)


def write(path, example_role, **changes):
    tree = values(example("bituin", f"{example_role}.settings.jsonc"))
    for name, value in changes.items():
        if value is None:
            del tree[name]
        else:
            tree[name] = value
    path.write_text(json.dumps(tree, indent=1))
    return path


ENGINE = {"kind": "engine", "address": "127.0.0.1:1", "concurrency_limit": 1}
SERVICE = {**ENGINE, "kind": "plain-service", "service": "s"}


@pytest.mark.parametrize(
    ("role", "changes", "key", "message"),
    [
        ("entry", {"listen": {}}, "listen", "an entry needs the address 'http'"),
        ("agent", {"listen": {"http": "127.0.0.1:1"}}, "listen", "needs the address 'wire'"),
        ("entry", {"listen": {"http": "localhost:1"}}, "http", "expected address:port"),
        ("entry", {"listen": {"http": "127.0.0.1:65536"}}, "http", "is not address:port"),
        ("entry", {"listen": {"http": "[::1:80"}}, "http", "expected address:port"),
        ("entry", {"deployment_key": "short"}, "deployment_key", "shorter than 16 bytes"),
        ("entry", {"deployment_key": None}, "{", "exactly one of"),
        ("entry", {"deployment_key_file": "k"}, "deployment_key", "exactly one of"),
        ("entry", {"upstream": ENGINE}, "upstream", "an entry has no upstream"),
        ("agent", {"upstream": None}, "{", "an agent needs 'upstream'"),
        ("agent", {"upstream": ENGINE}, "upstream", "of kind engine needs 'model'"),
        ("agent", {"upstream": {**SERVICE, "model": "m"}}, "model", "has no 'model'"),
        ("agent", {"upstream": {**SERVICE, "checks_fences": True}}, "checks_fences", "only an"),
        ("agent", {"role": "driver"}, "role", "expected one of entry, agent"),
        ("agent", {"peers": ["127.0.0.1:1"] * 2}, "127.0.0.1:1", "is in this array already"),
        ("agent", {"node": "a/b"}, "node", "expected a name"),
    ],
)
def test_settings_that_cannot_work_are_findings_on_their_line(
    tmp_path, role, changes, key, message
):
    path = write(tmp_path / "s.json", role, **changes)
    (finding,) = load_settings(path).failure()
    assert message in finding.message
    assert key in path.read_text().split("\n")[finding.place.line - 1]


def test_key_file_is_read_beside_the_settings(tmp_path):
    path = write(tmp_path / "s.json", "entry", deployment_key=None, deployment_key_file="the.key")
    assert "key file: cannot be read" in load_settings(path).failure()[0].message
    (tmp_path / "the.key").write_text("short\n")
    assert "shorter than 16 bytes" in load_settings(path).failure()[0].message
    (tmp_path / "the.key").write_text("0123456789abcdef\n")
    assert load_settings(path).unwrap().key == b"0123456789abcdef"
    (tmp_path / "the.key").write_bytes(b"\xff" * 20)
    assert isinstance(load_settings(path), Failure)


def test_address_of_version_6_is_read_and_written():
    assert str(Address.parse("[::1]:80")) == "[::1]:80"


def test_valid_settings_and_configuration_are_read_without_lark():
    code = (
        "import sys, pathlib; from pistachionotch.config.settings import load_settings;"
        "from pistachionotch.config.check import read_configuration;"
        "folder = pathlib.Path(sys.argv[1]);"
        "load_settings(folder / 'agent.settings.jsonc').unwrap();"
        "read_configuration((folder / 'configuration.jsonc').read_bytes(), 'f').unwrap();"
        "print([name for name in sys.modules if name.startswith(('lark', 'cattr', 'fire'))])"
    )
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    arguments = [sys.executable, "-c", code, str(EXAMPLES / "bituin")]
    output = subprocess.run(arguments, capture_output=True, text=True, check=True, env=environment)
    assert output.stdout.strip() == "[]"
