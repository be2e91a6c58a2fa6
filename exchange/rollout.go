package exchange

import (
	"maps"

	"rattanline.example/rattanline/rollout"
)

// addRollouts adds evidence to the sums.
func addRollouts(sums, added map[string]rollout.Evidence) {
	for service, e := range added {
		sums[service] = sums[service].With(e)
	}
}

// rolloutsWithout returns the sums minus evidence that was added to them before.
func rolloutsWithout(sums, removed map[string]rollout.Evidence) map[string]rollout.Evidence {
	rest := maps.Clone(sums)
	for service, e := range removed {
		rest[service] = rest[service].Without(e)
	}
	return rest
}
