#!/bin/bash
# Run all measurements.  The scheduling policies, the decision core, the owner
# of a pool and the starts in doubt that hosts tell each other are measured
# first, in virtual time: the figures of the policies are the same on every run.
# The request path follows, with real processes on loopback: compare only ratios
# within a run, since times depend on the machine and its load.  With PATH_ONLY set, only the request path is measured.
set -u
cd "$(dirname "$0")/.."
. scripts/site.sh
mkdir -p run

[ -n "${PATH_ONLY:-}" ] || "$BIN/bench/measure_policy"
echo
[ -n "${PATH_ONLY:-}" ] || "$BIN/bench/bench_core"
echo
[ -n "${PATH_ONLY:-}" ] || "$BIN/bench/bench_pool"
echo
[ -n "${PATH_ONLY:-}" ] || "$BIN/bench/bench_doubts"
echo
[ -n "${PATH_ONLY:-}" ] || "$BIN/bench/bench_pool" events
echo
[ -n "${PATH_ONLY:-}" ] || "$BIN/bench/bench_http_client"
echo
site_start run/measure bench/measure.yaml 51 1 0
trap site_stop EXIT
site_wait_admin
operator_cli apply bench/measure.yaml > /dev/null || exit 1
site_wait_health 200 || exit 1
key=$(operator_cli key grant red)
sleep 1
direct_url=http://127.0.51.1:9000/work
entry_host_url=$(entry_url 1)/q/jobs/work
# Print the resident memory of entry host 1.
resident_kb () { awk '$1 == "VmRSS:" { print $2 }' "/proc/$(entry_pid 1)/status"; }
echo "entry host memory before the load: $(resident_kb) kB resident"
echo "| connections | direct requests/s | via entry host requests/s | ratio | direct median us | via entry host median us | added us | via entry host 99th percentile us |"
echo "|---|---|---|---|---|---|---|---|"
for connections in 1 8 32 64; do
  direct=$("$BIN/bench/http_load" "$direct_url" $connections 2) || exit 1
  via_entry=$("$BIN/bench/http_load" "$entry_host_url" $connections 2 "$key") || exit 1
  echo "$connections $direct $via_entry" | awk '{
    printf "| %d | %d | %d | %.2f | %d | %d | %d | %d |\n", $1, $2, $5, $5 / $2, $3, $6, $6 - $3, $7 }'
done
echo "entry host memory after the load: $(resident_kb) kB resident"
echo "table operations of an idle entry host, counters at the start and the end of 10 s:"
curl -s -X POST "$PLATFORM_URL/control"
sleep 10
curl -s -X POST "$PLATFORM_URL/control"
