#!/bin/bash
# Runs process_soak with the seeds SEED to SEED + RUNS - 1 in LANES parallel
# lanes, each with loopback addresses of its own.  Each seed has a folder, in
# which the logs stay if it failed.  With MINUTES, each lane then runs further
# seeds, from a range of its own, for that long.
set -u
BIN=${BIN:-build} SEED=${SEED:-1} RUNS=${RUNS:-2} MINUTES=${MINUTES:-0} LANES=${LANES:-2}
FIRST_NETWORK=91
failed=0 pids=

for lane in $(seq 0 $((LANES - 1))); do
  # A lane runs every LANES-th seed.
  seeds=$(seq $((SEED + lane)) "$LANES" $((SEED + RUNS - 1)))
  [ -n "$seeds$MINUTES" ] || continue
  (
    lane_failed=0
    run_soak () {
      "$BIN/soak/process_soak" --program "$BIN/programs/dogwoodpulleyd" \
        --network $((FIRST_NETWORK + lane)) "$@" || lane_failed=1
    }
    for seed in $seeds; do
      run_soak --seed "$seed" --directory "run/soak-$seed"
    done
    [ "$MINUTES" -gt 0 ] &&
      run_soak --seed $((SEED + RUNS + lane * 10000)) --runs 0 \
        --minutes "$MINUTES" --directory "run/soak-lane-$lane"
    exit $lane_failed
  ) &
  pids="$pids $!"
done
for pid in $pids; do wait "$pid" || failed=1; done
exit $failed
