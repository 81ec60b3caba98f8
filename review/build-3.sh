#!/usr/bin/env bash
# Checks and compiles the stand-ins and clients of the third review's scripts. The stand-ins of the
# project, which they use too, come with the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for package in pistachionotch gevent attr returns; do
  test -d "../target/deps/$package" || { echo "target/deps/$package is missing"; exit 1; }
done
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
for source in lib3/*.py 1[1-5]/case.py; do
  python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' \
    "$source" "$scratch/checked.pyc"
done
PYTHONPATH=../target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c \
  'import pistachionotch.standins.platform_servers, pistachionotch.standins.platform_store'
