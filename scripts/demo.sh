#!/bin/bash
# Demo with real processes on loopback: for each of the two example sites,
# apply its configuration and send requests of several teams while an entry
# host is killed and restarted, a host is drained and an API key is withdrawn.
# The exit status is a failure if a request was lost, or if a request that
# isn't idempotent was run more than once.
#
#   demo.sh         run the demo; with KEEP set, leave the processes running
#   demo.sh stop    stop the processes that were left running
set -u
cd "$(dirname "$0")/.."
. scripts/site.sh

KEEP=${KEEP:-}
lost=0 answered=0 doubled=0 unknown=0
started_s=$(date +%s)

print_heading () { printf '\n== %s\n' "$*"; }

fail () {
  echo "demo: failed: $*" >&2
  tail -n 20 "$SITE_DIR"/entry-*.log >&2
  [ -n "$KEEP" ] || site_stop
  exit 1
}

# start_callers TEAM QUEUE METHOD REQUESTS: start 8 concurrent callers in the
# background, which send REQUESTS requests each.  Adds the process ID to
# CALLER_PIDS.
start_callers () {
  local team=$1 queue=$2 method=$3 requests=$4
  "$BIN/tests/tools/load_caller" --servers "$(site_urls entry_url)" \
    --queue "$queue" --key "$(cat "$SITE_DIR/key.$team")" --method "$method" \
    --prefix "$team-$queue-$method" --callers 8 --requests "$requests" \
    --gap-ms 10 > "$SITE_DIR/calls.$team.$queue.$method" &
  CALLER_PIDS="$CALLER_PIDS $!"
}

# Print the outcomes of the requests for each team, queue and method, and add
# them to the totals.
summarize_calls () {
  local file file_answered file_unknown file_refused file_lost site_not_run site_run_twice
  site_run_counts > "$SITE_DIR/runs"
  printf '%-36s %9s %8s %8s %5s\n' caller answered unknown refused lost
  for file in "$SITE_DIR"/calls.*; do
    file_answered=$(grep -c ' answered ' "$file")
    file_unknown=$(grep -c ' unknown ' "$file")
    file_refused=$(grep -c ' refused ' "$file")
    file_lost=$(grep -c ' lost ' "$file")
    printf '%-36s %9d %8d %8d %5d\n' "${file##*/calls.}" \
      "$file_answered" "$file_unknown" "$file_refused" "$file_lost"
    answered=$((answered + file_answered)) unknown=$((unknown + file_unknown))
    lost=$((lost + file_lost))
  done
  # An answered request that no backend has run counts as lost.  Requests that
  # aren't idempotent (POST) must have run at most once.
  site_not_run=$(cat "$SITE_DIR"/calls.* | awk -v runs="$SITE_DIR/runs" '
    BEGIN { while ((getline line < runs) > 0) { split(line, f, " "); n[f[1]] = f[2] } }
    $2 == "answered" && !($1 in n) { lost++ } END { print lost + 0 }')
  site_run_twice=$(awk '$1 ~ /-POST-/ && $2 > 1 { d++ } END { print d + 0 }' "$SITE_DIR/runs")
  lost=$((lost + site_not_run)) doubled=$((doubled + site_run_twice))
}

# demo_site NAME NETWORK URGENT_QUEUE ARCHIVE_QUEUE TEAMS WITHDRAWN_TEAM
# DRAINED_HOST: run the demo with the fleet of examples/NAME.yaml.  Each team
# sends requests that aren't idempotent (POST) to URGENT_QUEUE, and idempotent
# ones (PUT) to ARCHIVE_QUEUE.
demo_site () {
  local name=$1 network=$2 urgent_queue=$3 archive_queue=$4 teams=$5
  local withdrawn_team=$6 drained_host=$7
  local team pid
  CALLER_PIDS=
  print_heading "$name: platform, $(grep -c address: "examples/$name.yaml") backend servers, 3 entry hosts"
  site_start "run/$name" "examples/$name.yaml" "$network" 3 15
  site_wait_admin
  operator_cli apply "examples/$name.yaml" || fail "apply"
  site_wait_health 200 || fail "not all entry hosts are ready"
  operator_cli check "examples/$name.yaml" || fail "check"
  for team in $teams; do
    operator_cli key grant "$team" > "$SITE_DIR/key.$team" || fail "key grant"
  done
  echo "response to a wrong API key: $(curl -s -X POST -H 'Authorization: Bearer wrong' -d x \
    "$(entry_url 2)/q/$urgent_queue/work")"
  print_heading "$name: sending requests of several teams"
  for team in $teams; do
    start_callers "$team" "$urgent_queue" POST 60
    start_callers "$team" "$archive_queue" PUT 30
  done
  sleep 1
  print_heading "$name: killing entry host 3 (SIGKILL)"
  kill -KILL "$(entry_pid 3)"
  sleep 0.5
  print_heading "$name: draining host $drained_host"
  operator_cli drain "$drained_host" || fail "drain"
  print_heading "$name: withdrawing the API key of team $withdrawn_team"
  operator_cli key withdraw - < "$SITE_DIR/key.$withdrawn_team" || fail "key withdraw"
  echo "response to the withdrawn API key: $(curl -s -X POST \
    -H "Authorization: Bearer $(cat "$SITE_DIR/key.$withdrawn_team")" -d x \
    "$(entry_url 1)/q/$urgent_queue/work")"
  print_heading "$name: restarting entry host 3"
  entry_start 3
  for pid in $CALLER_PIDS; do wait "$pid"; done
  site_wait_health 200 || fail "entry host 3 is not ready after its restart"
  operator_cli hosts | grep -E "^host|$drained_host"
  print_heading "$name: outcomes of the requests"
  summarize_calls
  print_heading "$name: metrics of entry host 1 that are not 0"
  curl -s "$(admin_url 1)/metrics" | grep -v '^#' | grep -v ' 0$' | head -n 40
  if [ -n "$KEEP" ]; then
    print_heading "$name: left running; stop with: make demo-stop"
    echo "entry hosts:     $(site_urls entry_url)"
    echo "admin addresses: $(site_urls admin_url), token in run/$name/admin.token"
    echo "an API key:      run/$name/key.${teams%% *}"
  else
    site_stop
  fi
}

if [ "${1:-}" = stop ]; then
  for name in rangmanch cantabrica; do
    SITE_DIR=run/$name
    site_stop
  done
  exit 0
fi

demo_site rangmanch 31 confirm portfolio "castings weddings theatre" theatre bookings-05
demo_site cantabrica 32 scan archive "yebes technicians contracts" contracts scans-07

print_heading "both sites, in $(($(date +%s) - started_s)) s"
[ "$unknown" -gt 0 ] &&
  echo "$unknown requests ended as unknown: they may have run and were not repeated"
echo "demo: $answered answered, $lost lost, $doubled doubled"
[ "$lost" -eq 0 ] && [ "$doubled" -eq 0 ]
