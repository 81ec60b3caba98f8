"""Guards against two processes of one test deployment that are given the same port."""

import random

from tests.support import deployment


def test_a_port_is_given_once(monkeypatch):
    class Repeating(random.Random):
        drawn = [20_001, 20_001, 20_001, 20_002]

        def randrange(self, *_bounds):
            return self.drawn.pop(0)

    monkeypatch.setattr(deployment.random, "SystemRandom", Repeating)
    monkeypatch.setattr(deployment, "GIVEN_PORTS", {20_001})
    assert deployment.free_port() == 20_002
