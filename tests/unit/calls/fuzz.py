"""Run the state machine of calls for longer and print its seed; see ``scripts/fuzz.sh --help``."""

import argparse
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from call_machine import SETTINGS, CallMachine  # noqa: E402
from call_world import Log  # noqa: E402
from hypothesis import Phase, seed, settings  # noqa: E402
from hypothesis.stateful import run_state_machine_as_test  # noqa: E402


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(2**32))
    parser.add_argument("--examples", type=int, default=2000)
    parser.add_argument("--steps", type=int, default=SETTINGS.stateful_step_count)
    parser.add_argument("--no-shrink", action="store_true")
    parser.add_argument("--trace", action="store_true")
    options = parser.parse_args()
    print(f"seed {options.seed}, {options.examples} examples of {options.steps} steps", flush=True)
    Log.trace = options.trace
    phases = [Phase.generate] if options.no_shrink else [Phase.generate, Phase.shrink]
    longer = settings(
        SETTINGS,
        derandomize=False,
        deadline=None,
        database=None,
        max_examples=options.examples,
        stateful_step_count=options.steps,
        phases=phases,
    )
    run_state_machine_as_test(seed(options.seed)(CallMachine), settings=longer)
    print("no fault found")


if __name__ == "__main__":
    main()
