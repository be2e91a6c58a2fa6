#!/usr/bin/env bash
# Builds the program that runs the scripts of the third review, with its stand-ins. The daemon is
# built by the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/third"
go build -o ../../target/review-third .
