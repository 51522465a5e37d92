#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/rig ] && [ -x target/flamingod ] || { echo "build target/flamingod and run review/build-3.sh first" >&2; exit 2; }
exec review/bin/rig leaving target/flamingod review/15/record.txt
