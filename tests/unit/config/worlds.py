"""Texts that several tests of the configuration start from."""

import json
from pathlib import Path

from pistachionotch.config.located import plain
from pistachionotch.config.plain import parse_valid

ROOT = Path(__file__).parents[3]
EXAMPLES = ROOT / "examples"
DEPLOYMENTS = ("bituin", "furao")


def example(deployment, name):
    return (EXAMPLES / deployment / name).read_text()


def values(text):
    return plain(parse_valid(text, "f"))


def changed(path, value):
    """Return Bituin's configuration as JSON with one value replaced, or removed when None."""
    tree = values(example("bituin", "configuration.jsonc"))
    target = tree
    for step in path[:-1]:
        target = target[step]
    if value is None:
        del target[path[-1]]
    else:
        target[path[-1]] = value
    return json.dumps(tree, indent=1)
