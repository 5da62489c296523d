#!/bin/bash
# Seeds of process_soak, LANES of them at a time, each with addresses and a
# folder of its own.  Logs of a seed that failed stay in its folder.
set -u
BIN=${BIN:-build} SEED=${SEED:-1} RUNS=${RUNS:-2} MINUTES=${MINUTES:-0} LANES=${LANES:-2}
FIRST_NETWORK=91
failed=0 pids=

for lane in $(seq 0 $((LANES - 1))); do
  # Lane L plays every LANES-th seed.
  seeds=$(seq $((SEED + lane)) "$LANES" $((SEED + RUNS - 1)))
  [ -n "$seeds$MINUTES" ] || continue
  (
    bad=0
    play () {
      "$BIN/soak/process_soak" --program "$BIN/programs/dogwoodpulleyd" \
        --network $((FIRST_NETWORK + lane)) "$@" || bad=1
    }
    for seed in $seeds; do
      play --seed "$seed" --directory "run/soak-$seed"
    done
    [ "$MINUTES" -gt 0 ] &&
      play --seed $((SEED + RUNS + lane * 10000)) --runs 0 \
        --minutes "$MINUTES" --directory "run/soak-lane-$lane"
    exit $bad
  ) &
  pids="$pids $!"
done
for pid in $pids; do wait "$pid" || failed=1; done
exit $failed
