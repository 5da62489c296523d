#!/bin/bash
# The operators' command against entry hosts with jobs: what the demo of jobs
# leaves running is shown, and a job that can't fit is refused.
set -u
cd "$(dirname "$0")/../.."
BIN=${BIN:-build}
NETWORK=89
SERVERS=http://127.$NETWORK.1.253:8082,http://127.$NETWORK.2.253:8082
SERVERS=$SERVERS,http://127.$NETWORK.3.253:8082
CALLS=http://127.$NETWORK.1.253:8080
failed=0

# check WHAT PATTERN COMMAND...: its output holds a line with PATTERN.
check () {
  local what=$1 pattern=$2
  shift 2
  if "$@" 2>&1 | grep -q -- "$pattern"; then
    echo "ok      jobs: $what"
  else
    echo "FAILED  jobs: $what"
    "$@"
    failed=$((failed + 1))
  fi
}

show () { "$BIN/programs/dogwoodpulley" --server "$SERVERS" "$@"; }

hand_in () { # ID CPU
  curl -s -w ' status=%{http_code}\n' -H 'Host: queues.example' \
    -H 'X-Api-Key: key-0' "$CALLS/q0/$1" -d "{\"spec\":\"60000 0\",\"steps\":[
      {\"count\":9,\"cpu\":$2,\"memMb\":100,\"estimateMs\":60000,\"antiAffinity\":1}]}"
}

mkdir -p run/process-jobs
"$BIN/soak/process_soak" --demo --keep --network $NETWORK \
  --program "$BIN/programs/dogwoodpulleyd" \
  --directory run/process-jobs > run/process-jobs/demo.txt 2>&1 &
demo=$!
for _ in $(seq 300); do
  grep -q '^entry hosts' run/process-jobs/demo.txt && break
  sleep 0.2
done
check 'the demo completed its wave' 'maintenance wave: completed' \
  cat run/process-jobs/demo.txt
check 'owners' 'duty=plan state=held' show owners
check 'pools' 'pool=pool-0 stage=active stands=yes' show pools
check 'jobs' 'state=running tasks=3' show jobs
check 'waves' 'wave=1 state=completed' show waves
check 'a job that is larger than any backend server' 'status=429' \
  hand_in 00000000000000ab 50000
check 'a job for all cores of a backend server' 'status=200' \
  hand_in 00000000000000ac 12000
check 'a job' 'job=00000000000000ac' show job 00000000000000ac
check 'why it waits' 'so much room left' show --output json explain 00000000000000ac
check 'a job that nobody knows' 'no entry host that answered knows' \
  show explain 0000000000000000
kill "$demo"
check 'the demo had no violations' 'demo of jobs: 0 violations or crashes' \
  sh -c "while kill -0 $demo; do sleep 0.1; done; cat run/process-jobs/demo.txt"
echo "jobs: $failed failed"
[ "$failed" -eq 0 ]
