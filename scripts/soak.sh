#!/usr/bin/env bash
# Runs the fault soak of gateways: scripts/soak.sh [SEED...] [--seconds N].
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/bootstrap.sh
export PYTHONPATH="$PWD/src:$PWD"
exec python -m tests.support.soak "$@"
