"""Example files and damaged variants of them, shared by the configuration's tests."""

import json
from pathlib import Path

from hypothesis import strategies as st

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


INVALID_VALUES = (
    st.none() | st.booleans() | st.integers(-5, 10**6) | st.floats(-2, 2) | st.text(max_size=3)
)
INVALID_VALUES |= st.lists(st.text(max_size=2), max_size=2) | st.dictionaries(
    st.text(max_size=2), st.none()
)


@st.composite
def damaged(draw, name):
    """Return an example file with up to four values replaced, removed or renamed."""
    tree = values(example(draw(st.sampled_from(["bituin", "furao"])), name))
    for _ in range(draw(st.integers(1, 4))):
        target = tree
        while True:
            keys = list(target) if isinstance(target, dict) else range(len(target))
            key = draw(st.sampled_from(list(keys)))
            inner = target[key]
            if isinstance(inner, dict | list) and inner and draw(st.integers(0, 4)):
                target = inner
                continue
            break
        action = draw(st.sampled_from(["replace", "remove", "rename"]))
        if action == "replace":
            target[key] = draw(INVALID_VALUES)
        elif action == "remove":
            del target[key]
        elif isinstance(target, dict):
            target[draw(st.text(max_size=4))] = target.pop(key)
        if not tree:
            break
    return json.dumps(tree, indent=draw(st.sampled_from([None, 1])))
