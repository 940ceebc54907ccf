#!/usr/bin/env bash
# Builds what the scripts of the review start, besides the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -tags review -c -o target/review-rig ./review/rig
