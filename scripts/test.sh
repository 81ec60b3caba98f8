#!/usr/bin/env bash
# Runs every check of the project; this is also what continuous integration runs.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/bootstrap.sh
if ! command -v spin > /dev/null; then
  echo "installing spin from the distribution's packages"
  apt-get update -qq
  apt-get install -y -qq spin
fi
export PYTHONPATH="$PWD/src:$PWD"
export PYTHONHASHSEED=0
black --check --quiet src tests
ruff check --quiet src tests
mypy
scripts/model_check.sh
# Parallel test workers use threads that do not survive gevent's patching of the standard library.
patched="tests/unit/agent tests/unit/wire"
gateways="tests/unit/batches tests/unit/gateway tests/unit/platform"
python -m gevent.monkey --module pytest $patched
# Tests with a known fault are passed over; the end of this script prints them.
known=$(sed -n 's/^test: \(tests\/[^ ]*\.py::[^ ]*\)$/--deselect \1/p' KNOWN-RED.txt)
python -m gevent.monkey --module pytest $gateways $known
python -m behave --no-capture --format progress3 tests/features
scripts/build.sh
python dist/pistachionotch demo
python scripts/process_slopes.py idle
python -m pytest --numprocesses 6 $(printf -- " --ignore %s" $patched $gateways) $known
# One at a time and after all others: each of these tests nearly fills a process's memory.
python -m pytest tests/overload $known
# Known faults that wait for their mending; the soak above printed the problems of theirs that it met.
if [ -s KNOWN-RED.txt ]; then
  echo "known to be red:"
  cat KNOWN-RED.txt
fi
