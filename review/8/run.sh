#!/bin/sh
# Runs this case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build first: the build of the deploy file, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
number=8
program="target/review-2/case-$number"
if [ ! -x "$program" ] || [ ! -x target/release/sandgw ]; then
    echo "build first: the build of the deploy file, then review/build-2.sh" >&2
    exit 2
fi
# If this script is ended, the program ends too, and the relays end with it.
"$program" "review/$number/record.txt" &
process=$!
trap 'kill $process 2>/dev/null; exit 2' INT TERM HUP
wait $process
code=$?
grep "verdict:" "review/$number/record.txt"
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
