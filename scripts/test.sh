#!/usr/bin/env bash
# Runs every check of the project; this is also what continuous integration runs.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/bootstrap.sh
export PYTHONPATH="$PWD/src:$PWD"
export PYTHONHASHSEED=0
black --check --quiet src tests
ruff check --quiet src tests
mypy
# Parallel test workers use threads that do not survive gevent's patching of the standard library.
patched="tests/unit/agent tests/unit/wire"
# Hypothesis draws constants from all imported modules, so a fixed search changes with what is
# collected beside it. The searches through whole calls are therefore collected on their own.
calls="tests/unit/calls tests/unit/entry"
apart="--ignore tests/unit/calls --ignore tests/unit/entry"
python -m pytest --numprocesses 6 --ignore tests/unit/agent --ignore tests/unit/wire $apart
python -m pytest --numprocesses 6 $calls
python -m pytest $patched
python -m behave --no-capture --format progress3 tests/features
python -m pistachionotch demo
