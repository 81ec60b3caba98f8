"""Guards against wrong fits, against objects that outgrow the object API, and stale raw points."""

import json
from pathlib import Path

import pytest

from pistachionotch.bench.slopes import sizes
from pistachionotch.bench.slopes.fit import Slope, save
from pistachionotch.bench.slopes.run import MEASURES
from pistachionotch.objects.api import MAX_VALUE_BYTES

DOCS = Path(__file__).parents[3] / "docs"
RAW = sorted((DOCS / "capacity").glob("*.json"))


def test_fit_recovers_a_line():
    slope = Slope("memory", "connection", "kB", [(0, 5), (10, 25), (20, 45)])
    line = slope.line()
    assert (line.slope, line.intercept, line.r_squared) == (2, 5, 1)


def test_constant_points_fit_perfectly():
    line = Slope("puts", "contender", "calls/s", [(1, 0.5), (4, 0.5)]).line()
    assert (line.slope, line.intercept, line.r_squared) == (0, 0.5, 1)


def test_saved_points_keep_their_fit(tmp_path):
    slope = Slope("gets", "lease", "calls/s", [(1, 1), (2, 3)])
    save(tmp_path / "gets.json", [slope])
    kept = json.loads((tmp_path / "gets.json").read_text())
    assert kept == json.loads(json.dumps([slope.to_json()]))


def test_objects_fit_the_object_api_at_target_scale():
    fits = {slope.name: slope.line() for slope in sizes.measure()}
    for name, count in (("directory object", 1_100), ("step ledger, all slots ready", 2_048)):
        line = fits[name]
        assert line.intercept + line.slope * count < MAX_VALUE_BYTES / 2


@pytest.mark.parametrize("path", RAW, ids=lambda path: path.stem)
def test_raw_points_give_the_recorded_fit_and_are_cited(path):
    assert path.name in (DOCS / "CAPACITY.md").read_text()
    for recorded in json.loads(path.read_text()):
        points = [tuple(point) for point in recorded["points"]]
        slope = Slope(recorded["name"], recorded["x"], recorded["y"], points)
        assert slope.to_json()["fit"] == pytest.approx(recorded["fit"])


def test_every_measurement_is_described():
    text = (DOCS / "cli.md").read_text()
    for name in MEASURES:
        assert f"`{name}`" in text
