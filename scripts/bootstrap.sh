#!/usr/bin/env bash
# Creates .venv with the project and its development tools unless a virtual environment is active.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ -z "${VIRTUAL_ENV:-}" ]; then
  if [ ! -x .venv/bin/python ]; then
    python3 -m venv .venv
  fi
  . .venv/bin/activate
  stamp=.venv/pyproject.installed
  if ! cmp -s pyproject.toml "$stamp"; then
    python -m pip install --quiet --editable '.[dev]'
    cp pyproject.toml "$stamp"
  fi
fi
