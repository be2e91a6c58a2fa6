#!/usr/bin/env bash
# Builds what the cases 6 to 10 start besides the program of the deploy file: their stand-ins, which
# are one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-second ./review/second
