"""Guards against a comparison that favours a design by a fault of its own."""

import random

from pistachionotch.bench.crashing_requests import DESIGNS, SCENARIOS, Simulation

SMALL = SCENARIOS[0]
BY_NAME = {design.name: design for design in DESIGNS}


def play(name):
    return Simulation(SMALL, BY_NAME[name], random.Random(1)).run()


def test_without_memory_the_culprit_takes_all_upstreams_and_with_peers_it_leaves_one():
    assert play("within an attempt").most_down == SMALL.upstreams
    assert play("peers").most_down < SMALL.upstreams


def test_a_path_alone_condemns_others():
    assert play("peers, by path").condemned
    assert not play("peers").condemned
