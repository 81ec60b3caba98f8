#!/usr/bin/env bash
# Builds dist/pistachionotch, one executable file with all libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/bootstrap.sh
mkdir -p dist
# The zipapp unpacks to a cache folder on its first start and then runs in one process.
shiv --quiet --compressed --console-script pistachionotch --output-file dist/pistachionotch .
ls -l dist/pistachionotch
