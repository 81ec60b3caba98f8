#!/usr/bin/env bash
# Checks the Promela specifications with spin. Each true specification must have no error, and each
# variant without a protecting step must have one.
set -euo pipefail
cd "$(dirname "$0")/.."
specifications="$PWD/spec"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
PARALLEL=4
MEMORY_MB=2048

# check <directory> <pass|fail> <specification> [macro...]
check() {
  local directory="$1" expected="$2" name="$3"
  shift 3
  local label="$name${*:+ $*}"
  mkdir "$directory"
  cd "$directory"
  if ! { spin -a "${@/#/-D}" "$specifications/$name.pml" \
    && gcc -w -O1 -DSAFETY -DCOLLAPSE -DMEMLIM="$MEMORY_MB" -o pan pan.c; } > build.log 2>&1; then
    echo "WRONG $label: cannot be built"
    cat build.log
    return 1
  fi
  # pan ends with an error status when it finds an error, so its report decides.
  ./pan -m200000 -w22 > pan.log 2>&1 || true
  local errors states outcome=pass
  errors="$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)"
  states="$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)"
  if [ "$errors" != 0 ]; then
    outcome=fail
  elif grep -qi 'search not completed\|search depth too small' pan.log; then
    outcome=incomplete
  fi
  if [ "$outcome" != "$expected" ]; then
    echo "WRONG $label: expected $expected, was $outcome"
    cat pan.log
    return 1
  fi
  echo "$label: ${errors:-no} errors, ${states:-no} states, as expected"
}

checks=(
  "pass claim"
  "fail claim WITHOUT_SETTLING"
  "fail claim WITHOUT_OWNER_CHECK"
  "fail claim WITHOUT_RELEASING_PHASE"
  "fail claim WITHOUT_NEW_TOKEN"
  "pass claim REFUSALS=1 RELEASES=1"
  "pass claim REFUSALS=2 RELEASES=1 ATTEMPTS=1"
  "fail claim REFUSALS=1 RELEASES=1 ATTEMPTS=1 WITHOUT_EPOCH"
  "fail claim REFUSALS=1 RELEASES=1 ATTEMPTS=1 WITHOUT_CONFIRMING"
  "pass claim ISSUED"
  "fail claim ISSUED WITHOUT_INCARNATION_CHECK"
  "fail claim ISSUED WITHOUT_REVOKING"
  "pass lease"
  "fail lease WITHOUT_MARGIN"
  "fail lease WITHOUT_EARLY_START"
  "fail lease WITHOUT_WAITING"
  "pass lease ORDERS"
  "fail lease ORDERS WITHOUT_NEW_FENCE"
  "fail lease ORDERS WITHOUT_FENCE_CHECK"
  "fail lease ORDERS WITHOUT_READING_THE_FENCE"
  "pass batch_log"
  "fail batch_log FORGET_PENDING"
  "fail batch_log OVERWRITE"
  "fail batch_log AFTER_END"
  "pass tenure"
  "fail tenure WITHOUT_TENURE"
  "fail tenure WITHOUT_HOLD"
  "fail tenure CONFIRMED_LATE"
  "fail tenure EARLY_CHECK"
)

jobs_started=()
running=0
for number in "${!checks[@]}"; do
  if [ "$running" -ge "$PARALLEL" ]; then
    wait -n || true
    running=$((running - 1))
  fi
  # shellcheck disable=SC2086
  (check "$work/$number" ${checks[$number]}) > "$work/$number.txt" 2>&1 &
  jobs_started+=("$!")
  running=$((running + 1))
done
failures=0
for number in "${!checks[@]}"; do
  wait "${jobs_started[$number]}" || failures=$((failures + 1))
  cat "$work/$number.txt"
done
if [ "$failures" != 0 ]; then
  echo "$failures of ${#checks[@]} checks are wrong"
  exit 1
fi
