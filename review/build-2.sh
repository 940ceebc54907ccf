#!/usr/bin/env bash
# Builds the programs of the second review: stand-ins and the cases that start them, all in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v go >/dev/null; then
  toolchain=$(.ci/toolchain)
  export PATH="$toolchain:$PATH"
fi
go test -tags review -c -o target/review-rig-2 ./review/rig-2
