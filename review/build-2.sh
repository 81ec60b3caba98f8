#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the gateways: Python stand-ins, which
# use the libraries and the project's own stand-ins that the build of the deploy file has put into
# target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib2 review/[6-9]/ $([ -d review/10 ] && echo review/10/)
PYTHONPATH=target/deps python3 -c "
import pistachionotch.standins.http
import pistachionotch.standins.platform_store
"
