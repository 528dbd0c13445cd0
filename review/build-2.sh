#!/bin/sh
# Builds the stand-ins and the drivers of the cases in review/6 to review/10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./cmd/chervilstand
for number in 6 7 8 9 10; do
	go build -o "target/review-2/case-$number" "./review/$number"
done
