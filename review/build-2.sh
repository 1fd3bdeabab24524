#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. Run it after the build of deploy/system.toml; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o ../../target/review-stand-2 .
