#!/bin/sh
# Builds the programs of the cases, with their stand-ins, into bin/review. It needs no network once the build of the deploy file has run.
cd "$(dirname "$0")/.." || exit 2
rm -rf bin/review
mkdir -p bin/review || exit 2
for main in review/[1-3]/main.go; do
	case=$(basename "$(dirname "$main")")
	go build -o "bin/review/$case" "./review/$case" || exit 2
done
