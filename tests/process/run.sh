#!/bin/bash
# Process tests: run each case of cases.sh on a site of its own, with real
# processes on loopback.  With ONLY set, run just the case of that name.  Print
# "N passed, M failed"; failures of cases that KNOWN-RED.txt lists aren't
# counted.
set -u
cd "$(dirname "$0")/../.."
. scripts/site.sh
. tests/process/cases.sh

passed_count=0 failed_count=0

# check DESCRIPTION COMMAND...: if COMMAND fails, report it and let the current
# case fail at its end.
check () {
  local description=$1
  shift
  if "$@"; then return 0; fi
  echo "    check failed: $description ($*)"
  CASE_FAILED=1
}

# start_case_site NAME NETWORK [SERVICE_TIME_MS]: start a site of three entry
# hosts with the fleet of small.yaml, and set RED and BLUE to API keys of its
# teams.
start_case_site () {
  sed "s/NETWORK/$2/" tests/process/small.yaml > "run/small-$2.yaml"
  site_start "run/$1" "run/small-$2.yaml" "$2" 3 "${3:-10}"
  site_wait_admin
  operator_cli apply "run/small-$2.yaml" > /dev/null &&
    site_wait_health 200 &&
    RED=$(operator_cli key grant red) && BLUE=$(operator_cli key grant blue)
}

# run_case NAME NETWORK: run case_NAME on a site with the addresses
# 127.0.NETWORK.x, unless ONLY names another case, and count its result.
run_case () {
  local name=$1 network=$2 started_s=$SECONDS
  [ -n "${ONLY:-}" ] && [ "$ONLY" != "$name" ] && return
  CASE_FAILED=
  if start_case_site "process-$name" "$network" && "case_$name" && [ -z "$CASE_FAILED" ]; then
    passed_count=$((passed_count + 1))
    echo "ok      $name ($((SECONDS - started_s)) s)"
    site_stop
  elif grep -q "^test: process/$name\$" KNOWN-RED.txt; then
    echo "known   $name failed, as listed in KNOWN-RED.txt"
    site_stop
  else
    failed_count=$((failed_count + 1))
    echo "FAILED  $name"
    tail -n 15 "$SITE_DIR"/entry-*.log
    site_stop
  fi
}

mkdir -p run
# Each case uses addresses of its own, 127.0.NETWORK.x.
network=41
for name in $CASES; do
  run_case "$name" "$network"
  network=$((network + 1))
done
echo "$passed_count passed, $failed_count failed"
[ "$failed_count" -eq 0 ]
