#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rattanlined ] && [ -x target/review-second ] || { echo "build first: deploy/system.toml and review/build-2.sh"; exit 2; }
exec target/review-second kills review/9
