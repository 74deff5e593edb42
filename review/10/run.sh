#!/bin/sh
# See claim.txt. TROUBLE=0 runs the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/bin/review-2/case$(basename "$here")"
[ -x "$program" ] && [ -x "$root/bin/lemonrail" ] || { echo "not built: run the build of the deploy file and review/build-2.sh"; exit 2; }
exec timeout -k 2 -s TERM 118 "$program" "$root" "$here/record.txt"
