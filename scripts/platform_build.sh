#!/usr/bin/env bash
# Puts the program and its libraries into target/deps, where the users' platform looks for them.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/pyproject.installed
if ! cmp -s pyproject.toml "$stamp"; then
  rm -rf target/deps
  python3 -m pip install --quiet --upgrade --target target/deps .
  cp pyproject.toml "$stamp"
fi
rm -rf target/deps/pistachionotch build
cp -r src/pistachionotch target/deps/
# The platform may read the folder only, so the byte code has to be there already.
python3 -m compileall -q target/deps > /dev/null || true
