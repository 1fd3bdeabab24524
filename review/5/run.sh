#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
for program in target/platform review/bin/stand; do
  if [ ! -x "$program" ]; then
    echo "$program is not built" >&2
    exit 2
  fi
done
exec review/bin/stand reused review/5/record.txt
