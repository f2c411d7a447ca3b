#!/bin/sh
# Messages of bad clients that never end take the scheduler over its limit of memory.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
timeout -k 5 110 ../../bin/rig2 memory "$PWD" &
rig=$!
# Whoever ends this script ends the rig, which ends all that it started.
trap 'kill "$rig"; wait "$rig"; exit 2' HUP INT TERM
wait "$rig"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
