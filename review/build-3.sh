#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v go >/dev/null || export PATH="$(.ci/toolchain):$PATH"
mkdir -p target
go test -tags review -c -o target/review-rig-3 ./review/rig-3
