#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/lemonrail ] && [ -x bin/review/3 ] || { echo "build first: the line build of deploy/balancer.toml, then review/build.sh" >&2; exit 2; }
exec timeout --kill-after=5 110 bin/review/3
