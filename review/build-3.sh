#!/usr/bin/env bash
# Builds the program that the cases of the third review start. It runs the stand-ins in its own process and the daemons as processes of
# target/flamingod, which the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/rig ./review/rig
