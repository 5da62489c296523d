#!/bin/bash
# Process test of jobs: start the job demo of process_soak, which keeps its
# entry hosts running.  Check the state that the operators' command shows of
# them, and that a job too large for every backend server is refused.  Print
# "jobs: N failed".
set -u
cd "$(dirname "$0")/../.."
BIN=${BIN:-build}
NETWORK=89
ADMIN_URLS=http://127.$NETWORK.1.253:8082,http://127.$NETWORK.2.253:8082
ADMIN_URLS=$ADMIN_URLS,http://127.$NETWORK.3.253:8082
CLIENT_URL=http://127.$NETWORK.1.253:8080
failed=0

# check DESCRIPTION PATTERN COMMAND...: fail unless a line of the output of
# COMMAND matches PATTERN.
check () {
  local description=$1 pattern=$2
  shift 2
  if "$@" 2>&1 | grep -q -- "$pattern"; then
    echo "ok      jobs: $description"
  else
    echo "FAILED  jobs: $description"
    "$@"
    failed=$((failed + 1))
  fi
}

# Run the operators' command with the arguments "$@".
operator_cli () { "$BIN/programs/dogwoodpulley" --server "$ADMIN_URLS" "$@"; }

# submit_job ID CPU: submit a job of nine tasks that must run on different
# backend servers for a minute, and that need CPU thousandths of a core each.
# Print the response and its HTTP status.
submit_job () {
  curl -s -w ' status=%{http_code}\n' -H 'Host: queues.example' \
    -H 'X-Api-Key: key-0' "$CLIENT_URL/q0/$1" -d "{\"spec\":\"60000 0\",\"steps\":[
      {\"count\":9,\"cpu\":$2,\"memMb\":100,\"estimateMs\":60000,\"antiAffinity\":1}]}"
}

mkdir -p run/process-jobs
rm -f run/process-jobs/demo.txt # the loop below must not see that of a run before
"$BIN/soak/process_soak" --demo --keep --network $NETWORK \
  --program "$BIN/programs/dogwoodpulleyd" \
  --directory run/process-jobs > run/process-jobs/demo.txt 2>&1 &
demo=$!
for _ in $(seq 300); do
  grep -q '^entry hosts' run/process-jobs/demo.txt && break
  sleep 0.2
done
check 'the demo completed its maintenance wave' 'maintenance wave: completed' \
  cat run/process-jobs/demo.txt
check 'the owner of the planning duty is shown' 'duty=plan state=held' operator_cli owners
check 'an active pool is shown' 'pool=pool-0 stage=active stands=yes' operator_cli pools
check 'a running job is shown in the list of jobs' 'state=running tasks=3' operator_cli jobs
check 'the completed wave is shown' 'wave=1 state=completed' operator_cli waves
check 'a job that is larger than any backend server is refused' 'status=429' \
  submit_job 00000000000000ab 50000
check 'a job with an impossible number is refused with its cause' \
  'steps\[0\].cpu.*status=400' submit_job 00000000000000ad 1e300
check 'the odd entries among the backend servers are logged' \
  '"event":"entries-skipped","list":"backend-servers"' \
  cat run/process-jobs/entry-0.log run/process-jobs/entry-1.log run/process-jobs/entry-2.log
check 'no job is refused because of an odd capacity' '^0$' \
  sh -c 'cat run/process-jobs/entry-*.log | grep -c backlog.is.too.long'
check 'a job that needs all cores of nine backend servers is accepted' 'status=200' \
  submit_job 00000000000000ac 12000
check 'a single job is shown by its ID' 'job=00000000000000ac' operator_cli job 00000000000000ac
check 'the reason why a job waits is shown' 'so much room left' operator_cli --output json explain 00000000000000ac
check 'an unknown job is reported as unknown' 'no entry host that answered knows' \
  operator_cli explain 0000000000000000
kill "$demo"
check 'the demo had no violations' 'demo of jobs: 0 violations or crashes' \
  sh -c "while kill -0 $demo; do sleep 0.1; done; cat run/process-jobs/demo.txt"
echo "jobs: $failed failed"
[ "$failed" -eq 0 ]
