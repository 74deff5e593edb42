#!/bin/sh
# Builds the programs of the second review's cases, with the stand-ins in them, into bin/review-2. Run it after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
for n in 6 7 8 9 10; do
	if [ -d "review/$n" ]; then
		go build -buildvcs=false -o "bin/review-2/case$n" "./review/$n"
	fi
done
