#!/bin/sh
# Case 2: a standing job is given up because workers were cut off.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out; KEEP=1 keeps the logs of the boxes. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/willowpoint ] || exit 2
sh review/build.sh || exit 2
target/review/standin cut-off review/2 &
pid=$!
trap 'pkill -KILL -P $pid; kill -KILL $pid; exit 2' INT TERM
wait $pid
code=$?
[ $code -le 2 ] || code=2
exit $code
