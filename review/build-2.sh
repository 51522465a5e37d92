#!/bin/bash
# Builds what the scripts of the second review start, beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 6 7 8 9 10; do
	if [ -f "review/$n/main.go" ]; then
		go build -o "review/bin/case-$n" "./review/$n"
	fi
done
