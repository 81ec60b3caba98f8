#!/usr/bin/env bash
# Fuzzes the entry and agent code for longer than the test suite does, and prints the seed.
# Usage: scripts/fuzz.sh [--seed N] [--examples N]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/bootstrap.sh
export PYTHONPATH="$PWD/src:$PWD"
export PYTHONHASHSEED=0
exec python tests/unit/calls/fuzz.py "$@"
