#!/bin/sh
# Builds the stand-ins and clients of all cases. Run it in the root of the repository, after the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
for n in 1 2 3; do
	[ -f "review/$n/main.go" ] && go build -o "target/review-$n" "./review/$n"
done
exit 0
