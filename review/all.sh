#!/usr/bin/env bash
# Builds the program and the harness, and runs the cases of the review: the four scripts, and the
# day of review/4 on three seeds. Exits with the number of cases that broke or couldn't run. The
# day needs the bench: FLEETBENCH is its path, FLEETBENCH_SITE that of the site chikugo-hq; it is
# left out if they aren't set.
cd "$(dirname "$0")/.." || exit 99
mkdir -p target
go build -ldflags=-linkmode=external -o target/ ./cmd/rattanlined || exit 99
review/build.sh || exit 99
broke=0
for script in review/*/run.sh; do
	"$script"
	status=$?
	echo "$script: exit $status"
	[ $status -eq 0 ] || broke=$((broke + 1))
done
if [ -z "$FLEETBENCH" ] || [ -z "$FLEETBENCH_SITE" ]; then
	echo "review/4/day.toml: left out, FLEETBENCH or FLEETBENCH_SITE is not set"
	exit $broke
fi
for seed in 1 2 3; do
	output=$("$FLEETBENCH" run "$FLEETBENCH_SITE" review/4/day.toml --seed $seed --jobs 1 --why "make review" 2>&1)
	status=$?
	echo "$output" | head -n 3
	echo "$output" | grep -q "BROKEN:" && status=1
	echo "review/4/day.toml, seed $seed: exit $status"
	[ $status -eq 0 ] || broke=$((broke + 1))
done
exit $broke
