#!/usr/bin/env bash
# Runs every check of the project; this is also what continuous integration runs.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/bootstrap.sh
export PYTHONPATH="$PWD/src"
export PYTHONHASHSEED=0
black --check --quiet src tests
ruff check src tests
mypy
python -m pytest
