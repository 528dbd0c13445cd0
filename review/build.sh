#!/bin/sh
# Builds the programs that the scripts start, beside the deploy file's own build: each is the test
# of one case with the project's stand-ins linked in.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for dir in review/[1-5]; do
	if [ -f "$dir/main.go" ]; then
		go build -buildvcs=false -o "target/review/case$(basename "$dir")" "./$dir"
	fi
done
