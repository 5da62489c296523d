#!/bin/bash
# Run process_soak for RUNS seeds starting at SEED, and then for further seeds
# during MINUTES.  LANES seeds run in parallel, each lane with loopback
# addresses of its own.  Each of the first seeds has the folder run/soak-SEED
# for settings and logs, and the further seeds of a lane share
# run/soak-lane-LANE.  The logs stay only if a seed failed; a lane's further
# seeds end there.
set -u
BIN=${BIN:-build} SEED=${SEED:-1} RUNS=${RUNS:-2} MINUTES=${MINUTES:-0} LANES=${LANES:-2}
FIRST_NETWORK=${FIRST_NETWORK:-91} # lane N uses the addresses 127.(FIRST_NETWORK + N).0.0/16
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
    # The lanes must not run the same further seeds.
    [ "$MINUTES" -gt 0 ] &&
      run_soak --seed $((SEED + RUNS + lane * 10000)) --runs 0 \
        --minutes "$MINUTES" --directory "run/soak-lane-$lane"
    exit $lane_failed
  ) &
  pids="$pids $!"
done
for pid in $pids; do wait "$pid" || failed=1; done
exit $failed
