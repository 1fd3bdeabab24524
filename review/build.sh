#!/usr/bin/env bash
# Builds the stand-ins of the cases; the system itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off go build -o ../bin/stand .
