"""Guards against two processes of one test deployment that are given the same port."""

from types import SimpleNamespace

from tests.support import deployment


def test_a_port_is_given_once(monkeypatch):
    drawn = iter([20_001, 20_001, 20_001, 20_002])
    repeating = SimpleNamespace(randrange=lambda *_bounds: next(drawn))
    monkeypatch.setattr(deployment.random, "SystemRandom", lambda: repeating)
    monkeypatch.setattr(deployment, "GIVEN_PORTS", {20_001})
    assert deployment.free_port() == 20_002
