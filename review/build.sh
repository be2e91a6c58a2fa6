#!/usr/bin/env bash
# Builds the program that runs the cases and holds their stand-ins. It needs only Go's
# standard library. target/rattanlined comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness"
go build -o ../../target/review-harness .
