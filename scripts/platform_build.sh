#!/usr/bin/env bash
# Puts the program and its libraries into target/deps, where the users' platform looks for them.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/pyproject.installed
if ! cmp -s pyproject.toml "$stamp"; then
  rm -rf target/deps
  python3 -m pip install --quiet --upgrade --target target/deps .
  rm -rf build target/deps/pistachionotch
  cp pyproject.toml "$stamp"
fi
# Processes that still run from an earlier build of the same sources keep their files.
if ! diff -rq --exclude=__pycache__ src/pistachionotch target/deps/pistachionotch > /dev/null 2>&1; then
  rm -rf target/deps/pistachionotch
  cp -r src/pistachionotch target/deps/
fi
# The platform may read the folder only, so the byte code has to be there already.
python3 -m compileall -q target/deps > /dev/null || true
