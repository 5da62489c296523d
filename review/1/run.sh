#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run.  With TROUBLE=0, the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case-1 ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/bin/case-1 review/1 target/programs/dogwoodpulleyd
