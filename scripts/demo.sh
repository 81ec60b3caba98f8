#!/usr/bin/env bash
# Sets the project up and runs the demo.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/bootstrap.sh
export PYTHONPATH="$PWD/src"
python -m pistachionotch demo "$@"
