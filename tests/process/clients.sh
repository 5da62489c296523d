#!/bin/bash
# Process tests of clients that hold their connections: a crowd takes more
# connections and more bytes than an entry host may have, and stays open.  Each
# case checks that the process of the entry host lives, that its memory and its
# descriptors have stayed under their bounds, and that an ordinary request is
# answered while the crowd is there.  With ONLY set, run just the case of that
# name.  Print "clients: N passed, M failed"; failures of cases that
# KNOWN-RED.txt lists aren't counted.
#
# The cases of jobs use one entry host each, so that none sees the memory of
# another; so do the three of requests.
set -u
cd "$(dirname "$0")/../.."
. scripts/site.sh

JOBS_NETWORK=87 REQUESTS_NETWORK=40
# Of an entry host for jobs: the limits in its settings, of which 200
# connections follow, and so the bounds of the checks.
MEMORY_MB=64 DESCRIPTORS=700
# Of an entry host for requests, whose settings have no limit of memory.
REQUESTS_MEMORY_MB=160 MAX_REQUESTS=200
CONNECTIONS=260
# The readiness and the admin servers take fewer connections than these.
CONTROL_CONNECTIONS=40 ADMIN_CONNECTIONS=70
BODY_BYTES=250000 # below the limit of jobs, 262144
# These grow by 16 KB or less a connection, so they show whether ordinary
# requests are answered, and not the memory of their bodies.
TINY_CHUNK_BODY_BYTES=20000 HEADER_BYTES=12000
OVER_BODY_BYTES=1000000
ADMIN_BODY_BYTES=4000000 # below the limit of 16 MB
# A request without an answer must not hang the test.
HANG_S=20

JOBS_CASES="whole pieces chunks tiny_chunks announced over headers readiness admin"
REQUESTS_CASES="pieces chunks admin"
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

# Print the largest resident memory that process $1 has had, in MB.
peak_mb () { awk '$1 == "VmHWM:" { print int($2 / 1024) }' "/proc/$1/status"; }

# Print the number of descriptors that process $1 has open.
descriptor_count () { ls "/proc/$1/fd" | wc -l; }

# request_status CURL_ARGUMENT...: print the HTTP status of a request.
request_status () { curl -s -o /dev/null -w '%{http_code}' --max-time $HANG_S "$@"; }

# check_crowd PID MEMORY_MB DESCRIPTORS STATUS REQUEST -- CROWD...: start the
# crowd with the arguments CROWD, and check process PID while it is there;
# the command REQUEST must print STATUS.
check_crowd () {
  local pid=$1 memory_mb=$2 descriptors=$3 status=$4 request=$5 crowd actual
  shift 6
  : > "$RUN_DIR/crowd"
  "$BIN/tests/tools/crowd_client" "$@" > "$RUN_DIR/crowd" 2>&1 &
  crowd=$!
  # The ordinary request must come after the crowd, however late that is.
  for _ in $(seq 600); do
    grep -q '^opened' "$RUN_DIR/crowd" && break
    sleep 0.1
  done
  check "the crowd has its connections" grep -q '^opened' "$RUN_DIR/crowd"
  # Those connections that the server doesn't read from may never send all.
  for _ in $(seq 50); do
    grep -q '^sent' "$RUN_DIR/crowd" && break
    sleep 0.1
  done
  actual=$($request)
  check "an ordinary request is answered" [ "$actual" = "$status" ]
  check "the crowd is still there" kill -0 $crowd
  check "the process lives" kill -0 "$pid"
  echo "    process: $(peak_mb "$pid") MB, $(descriptor_count "$pid") descriptors; crowd: $(paste -sd" " "$RUN_DIR/crowd")"
  check "memory at its peak is under its bound" [ "$(peak_mb "$pid")" -le "$memory_mb" ]
  check "descriptors are under their bound" [ "$(descriptor_count "$pid")" -le "$descriptors" ]
  kill $crowd
  wait $crowd 2> /dev/null
  return 0
}

# finish_case NAME: count the result of the case NAME, which has just run.
finish_case () {
  if [ -z "$CASE_FAILED" ]; then
    passed_count=$((passed_count + 1))
    echo "ok      clients: $1"
  elif grep -q "^test: process/clients/$1\$" KNOWN-RED.txt; then
    echo "known   clients: $1 failed, as listed in KNOWN-RED.txt"
  else
    failed_count=$((failed_count + 1))
    echo "FAILED  clients: $1"
  fi
}

is_selected () { [ -z "${ONLY:-}" ] || [ "$ONLY" = "$1" ]; }

# ---- jobs ----

# Print the process ID of entry host $1 of the jobs, counted from 0.
jobs_pid () {
  local pid
  for pid in $(pgrep -P "$JOBS_PID"); do
    if tr '\0' '\n' < "/proc/$pid/environ" | grep -q "/entry-$1.json\$"; then
      echo "$pid"
    fi
  done
}

submit_job () {
  request_status -H 'Host: queues.example' -H 'X-Api-Key: key-0' \
    "http://$JOBS_ADDRESS:8080/q0/00000000000000aa" -d '{"spec":"100 0",
      "steps":[{"count":1,"cpu":100,"memMb":100,"estimateMs":100}]}'
}

check_readiness () { request_status "http://$JOBS_ADDRESS:8081/ready"; }

read_metrics () { request_status "http://$JOBS_ADDRESS:8082/metrics"; }

# Run the case $1 of jobs at entry host $2.
run_jobs_case () {
  local case=$1 pid port=8080 connections=$CONNECTIONS bytes=$BODY_BYTES kind request=submit_job
  kind=$(echo "$case" | tr _ -)
  JOBS_ADDRESS=127.$JOBS_NETWORK.$(($2 + 1)).253
  pid=$(jobs_pid "$2")
  case $case in
    tiny_chunks) bytes=$TINY_CHUNK_BODY_BYTES ;;
    headers) bytes=$HEADER_BYTES ;;
    announced | over) bytes=$OVER_BODY_BYTES ;;
    readiness) port=8081 kind=headers bytes=$HEADER_BYTES connections=$CONTROL_CONNECTIONS request=check_readiness ;;
    admin) port=8082 kind=announced bytes=$OVER_BODY_BYTES connections=$CONTROL_CONNECTIONS request=read_metrics ;;
  esac
  CASE_FAILED=
  check_crowd "$pid" $MEMORY_MB $DESCRIPTORS 200 $request -- \
    --address "$JOBS_ADDRESS:$port" --path /q0/00000000000000bb --host queues.example \
    --header 'X-Api-Key: key-0' --kind "$kind" --connections "$connections" --bytes "$bytes"
  finish_case "jobs_$case"
}

run_jobs_cases () {
  local case host=0
  RUN_DIR=run/clients-jobs
  mkdir -p $RUN_DIR
  : > $RUN_DIR/soak.txt
  "$BIN/soak/process_soak" --idle --network $JOBS_NETWORK --hosts "$(echo $JOBS_CASES | wc -w)" \
    --memory-mb $MEMORY_MB --descriptors $DESCRIPTORS --program "$BIN/programs/dogwoodpulleyd" \
    --directory $RUN_DIR > $RUN_DIR/soak.txt 2>&1 &
  JOBS_PID=$!
  for _ in $(seq 300); do
    grep -q '^entry hosts' $RUN_DIR/soak.txt && break
    sleep 0.2
  done
  for case in $JOBS_CASES; do
    is_selected "jobs_$case" && run_jobs_case "$case" $host
    host=$((host + 1))
  done
  kill "$JOBS_PID"
  wait "$JOBS_PID" 2> /dev/null
}

# ---- requests ----

post_as_red () { request_status "$(entry_url "$HOST")/q/jobs/x" -d x -H "Authorization: Bearer $RED"; }

check_health () { request_status "$(admin_url "$HOST")/healthz"; }

# Run the case $1 of requests at entry host $2.
run_requests_case () {
  local case=$1 port=8080 connections=$CONNECTIONS bytes=$BODY_BYTES kind=$1 request=post_as_red
  HOST=$2
  case $case in
    pieces) bytes=$OVER_BODY_BYTES ;;
    admin) port=8081 kind=pieces bytes=$ADMIN_BODY_BYTES connections=$ADMIN_CONNECTIONS request=check_health ;;
  esac
  CASE_FAILED=
  check_crowd "$(entry_pid "$HOST")" $REQUESTS_MEMORY_MB $DESCRIPTORS 200 $request -- \
    --address "127.0.$SITE_NETWORK.$((200 + HOST)):$port" --path /q/jobs/y \
    --kind "$kind" --connections "$connections" --bytes "$bytes"
  finish_case "requests_$case"
}

run_requests_cases () {
  local case host=1
  RUN_DIR=run/clients-requests
  sed "s/NETWORK/$REQUESTS_NETWORK/" tests/process/small.yaml > run/small-$REQUESTS_NETWORK.yaml
  SITE_MAX_REQUESTS=$MAX_REQUESTS site_start $RUN_DIR run/small-$REQUESTS_NETWORK.yaml \
    $REQUESTS_NETWORK "$(echo $REQUESTS_CASES | wc -w)" 10
  site_wait_admin
  operator_cli apply run/small-$REQUESTS_NETWORK.yaml > /dev/null
  site_wait_health 200
  RED=$(operator_cli key grant red)
  for case in $REQUESTS_CASES; do
    is_selected "requests_$case" && run_requests_case "$case" $host
    host=$((host + 1))
  done
  site_stop
}

mkdir -p run
run_jobs_cases
run_requests_cases
echo "clients: $passed_count passed, $failed_count failed"
[ $failed_count -eq 0 ]
